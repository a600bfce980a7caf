/*
 * The merged time line as text and as one self-contained HTML page with a lane per process.
 */
package org.toucanspur.cli

import java.time.Instant
import org.toucanspur.schema.Event

private const val LANE_PIXELS = 180
private const val ROW_PIXELS = 18
private const val MARGIN_PIXELS = 10
private const val MARK_PIXELS = 4

/** One line per event. */
fun timelineText(events: List<Event>): String = events.joinToString("\n") { event ->
    "${Instant.ofEpochMilli(
        event.wallMillis
    )}+${event.counter}  ${event.vm.value.padEnd(VM_CHARS)} " +
        "E${event.code}  ${event.message}${subject(event)}"
}

private const val VM_CHARS = 18

private fun subject(event: Event): String = listOfNotNull(
    event.revision?.let { "revision=$it" },
    event.release?.let { "release=${it.value.take(SHORT_CHARS)}" },
    event.requestId?.let { "request=$it" }
).joinToString(" ").let { if (it.isEmpty()) "" else "  [$it]" }

private const val SHORT_CHARS = 12

/** A page with a lane per VM. */
fun timelineHtml(events: List<Event>): String {
    val lanes = events.map { it.vm.value }.distinct().sorted()
    val width = lanes.size * LANE_PIXELS
    val height = (events.size + 2) * ROW_PIXELS
    return buildString {
        append("<!doctype html><meta charset=\"utf-8\"><title>time line</title>")
        append(
            "<style>svg{font:11px sans-serif}line{stroke:#ccc}text.lane{font-weight:bold}</style>"
        )
        append("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"$width\" height=\"$height\">")
        lanes.forEachIndexed { index, vm -> append(lane(index, vm, height)) }
        events.forEachIndexed { row, event ->
            append(mark(lanes.indexOf(event.vm.value), row, event))
        }
        append("</svg>")
    }
}

private fun lane(index: Int, vm: String, height: Int): String {
    val x = index * LANE_PIXELS + MARGIN_PIXELS
    return "<text class=\"lane\" x=\"$x\" y=\"14\">${escape(vm)}</text>" +
        "<line x1=\"$x\" y1=\"20\" x2=\"$x\" y2=\"$height\"/>"
}

private fun mark(lane: Int, row: Int, event: Event): String {
    val x = lane * LANE_PIXELS + MARGIN_PIXELS
    val y = (row + 2) * ROW_PIXELS
    val title =
        escape(
            "${Instant.ofEpochMilli(
                event.wallMillis
            )} E${event.code} ${event.message}${subject(event)}"
        )
    return "<g><title>$title</title><circle cx=\"$x\" cy=\"${y - MARK_PIXELS}\" r=\"4\"/>" +
        "<text x=\"${x + 2 * MARK_PIXELS}\" y=\"$y\">E${event.code} ${escape(
            event.message.take(LABEL_CHARS)
        )}</text></g>"
}

private const val LABEL_CHARS = 24

private fun escape(text: String): String =
    text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;")
