package org.toucanspur.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.coroutines.delay
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.toucanspur.schema.ProcessStatus
import org.toucanspur.schema.VmRecord

private const val REFRESH_INTERVAL_MILLIS = 1000L
private const val SHORT_DIGEST_CHARS = 12
private const val CLEAR_SCREEN = "\u001b[2J\u001b[H"

/** `toucanspur status`: shows the status of every process and endpoint. */
class StatusCommand : CliktCommand(name = "status") {
    private val watch by option("--watch", help = "Refresh every second until interrupted").flag()
    private val json by option("--json", help = "Print the statuses as JSON").flag()
    private val platform by PlatformOptions()

    override fun help(context: Context): String =
        "Shows revision, release and load of every process. " +
            "Exit code 4 when one does not respond.\n\n" +
            "Example: toucanspur status --watch"

    override fun run() = platform.use { clients ->
        while (watch) {
            echo(CLEAR_SCREEN + statusTable(clients.statuses()))
            delay(REFRESH_INTERVAL_MILLIS)
        }
        val statuses = clients.statuses()
        if (json) {
            echo(
                Json.encodeToString(
                    ListSerializer(ProcessStatus.serializer()),
                    statuses.mapNotNull {
                        it.second
                    }
                )
            )
        } else {
            echo(statusTable(statuses))
        }
        if (statuses.any { it.second == null }) throw ProgramResult(ExitCode.UNAVAILABLE.code)
    }
}

/** Renders [statuses] as a table. */
internal fun statusTable(statuses: List<Pair<VmRecord, ProcessStatus?>>): String {
    val header =
        listOf("VM", "ROLE", "ZONE", "REVISION", "READY", "RELEASE", "CHUNKS", "RUNNING", "LIMIT")
    val rows = statuses.sortedBy { it.first.vm.value }.map { (vm, status) -> statusRow(vm, status) }
    val widths = header.indices.map { column ->
        (rows + listOf(header)).maxOf { it[column].length }
    }
    return (listOf(header) + rows).joinToString("\n") { row ->
        row.indices.joinToString("  ") { row[it].padEnd(widths[it]) }.trimEnd()
    }
}

private fun statusRow(vm: VmRecord, status: ProcessStatus?): List<String> {
    val role = vm.role.name.lowercase()
    if (status ==
        null
    ) {
        return listOf(vm.vm.value, role, vm.zone.value, "?", "no response", "", "", "", "")
    }
    val endpoint = status.endpoint
    val release = endpoint?.loaded?.value?.take(SHORT_DIGEST_CHARS).orEmpty()
    return listOf(
        vm.vm.value,
        role,
        vm.zone.value,
        status.revision.toString(),
        if (status.ready) "yes" else "no",
        if (status.rolloutStopped) "$release (rollout stopped)" else release,
        if (status.chunksTotal > 0) "${status.chunksHeld}/${status.chunksTotal}" else "",
        endpoint?.running?.toString().orEmpty(),
        endpoint?.limit?.toString().orEmpty()
    )
}
