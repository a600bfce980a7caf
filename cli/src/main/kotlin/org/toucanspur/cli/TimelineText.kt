/*
 * Renders the merged timeline as text and as a self-contained HTML page.
 */
package org.toucanspur.cli

import java.time.Instant
import org.toucanspur.schema.Event

private const val LANE_PIXELS = 180
private const val ROW_PIXELS = 18
private const val MARGIN_PIXELS = 10
private const val MARKER_PIXELS = 4

/** Renders [events] as text with one line per event. */
fun timelineText(events: List<Event>): String = events.joinToString("\n") { event ->
    "${Instant.ofEpochMilli(
        event.wallMillis
    )}+${event.counter}  ${event.vm.value.padEnd(VM_COLUMN_CHARS)} " +
        "E${event.code}  ${event.message}${eventContext(event)}"
}

private const val VM_COLUMN_CHARS = 18

private fun eventContext(event: Event): String = listOfNotNull(
    event.revision?.let { "revision=$it" },
    event.release?.let { "release=${it.value.take(SHORT_DIGEST_CHARS)}" },
    event.requestId?.let { "request=$it" }
).joinToString(" ").let { if (it.isEmpty()) "" else "  [$it]" }

private const val SHORT_DIGEST_CHARS = 12

/** Renders [events] as an HTML page with one lane per VM. */
fun timelineHtml(events: List<Event>): String {
    val lanes = events.map { it.vm.value }.distinct().sorted()
    val width = lanes.size * LANE_PIXELS
    val height = (events.size + 2) * ROW_PIXELS
    return buildString {
        append("<!doctype html><meta charset=\"utf-8\"><title>timeline</title>")
        append(
            "<style>svg{font:11px sans-serif}line{stroke:#ccc}text.lane{font-weight:bold}</style>"
        )
        append("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"$width\" height=\"$height\">")
        lanes.forEachIndexed { index, vm -> append(lane(index, vm, height)) }
        events.forEachIndexed { row, event ->
            append(eventMarker(lanes.indexOf(event.vm.value), row, event))
        }
        append("</svg>")
    }
}

private fun lane(index: Int, vm: String, height: Int): String {
    val x = index * LANE_PIXELS + MARGIN_PIXELS
    return "<text class=\"lane\" x=\"$x\" y=\"14\">${escapeHtml(vm)}</text>" +
        "<line x1=\"$x\" y1=\"20\" x2=\"$x\" y2=\"$height\"/>"
}

private fun eventMarker(lane: Int, row: Int, event: Event): String {
    val x = lane * LANE_PIXELS + MARGIN_PIXELS
    val y = (row + 2) * ROW_PIXELS
    val title =
        escapeHtml(
            "${Instant.ofEpochMilli(
                event.wallMillis
            )} E${event.code} ${event.message}${eventContext(event)}"
        )
    return "<g><title>$title</title><circle cx=\"$x\" cy=\"${y - MARKER_PIXELS}\" r=\"4\"/>" +
        "<text x=\"${x + 2 * MARKER_PIXELS}\" y=\"$y\">E${event.code} ${escapeHtml(
            event.message.take(LABEL_CHARS)
        )}</text></g>"
}

private const val LABEL_CHARS = 24

private fun escapeHtml(text: String): String =
    text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;")
