package org.toucanspur.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.long
import java.time.Clock
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.toucanspur.core.events.mergeTimelines
import org.toucanspur.schema.Event

private const val MILLIS_PER_SECOND = 1000L

/** `toucanspur timeline`: merges the events of all processes. */
class TimelineCommand : CliktCommand(name = "timeline") {
    private val request by option("--request", metavar = "ID", help = "Only events of this request")
    private val release by option(
        "--release",
        metavar = "DIGEST",
        help = "Only events of this release (or a prefix)"
    )
    private val vm by option("--vm", metavar = "VM", help = "Only events of this VM")
    private val sinceSeconds by option(
        "--since",
        metavar = "SECONDS",
        help = "Only events of the last SECONDS seconds"
    ).long()
    private val format by option(
        "--format",
        help = "Output format"
    ).choice("text", "json", "html").default("text")
    private val platform by PlatformOptions()

    override fun help(context: Context): String =
        "Shows the decisions of all processes in hybrid clock order.\n\n" +
            "Example: toucanspur timeline --since 60 --format html > timeline.html"

    override fun run() {
        val collected = platform.use { it.events() }
        collected.filter {
            it.second == null
        }.forEach { echo("no response from ${it.first.vm}", err = true) }
        val events = mergeTimelines(collected.mapNotNull { it.second }).filter(::matchesFilters)
        echo(
            when (format) {
                "json" -> Json.encodeToString(ListSerializer(Event.serializer()), events)
                "html" -> timelineHtml(events)
                else -> timelineText(events)
            }
        )
    }

    private fun matchesFilters(event: Event): Boolean {
        val since = sinceSeconds?.let { Clock.systemUTC().millis() - it * MILLIS_PER_SECOND }
        val releasePrefix = release
        return (request == null || event.requestId?.value == request) &&
            (releasePrefix == null || event.release?.value?.startsWith(releasePrefix) == true) &&
            (vm == null || event.vm.value == vm) &&
            (since == null || event.wallMillis >= since)
    }
}
