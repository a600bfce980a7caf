package org.toucanspur.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.types.choice
import org.toucanspur.core.events.mergeTimelines
import org.toucanspur.schema.ProcessStatus
import org.toucanspur.schema.VmRecord

/** `toucanspur explain`: tells why an endpoint, request or release is where it is. */
class ExplainCommand : CliktCommand(name = "explain") {
    private val kind by argument(
        "KIND",
        help = "endpoint, request or release"
    ).choice("endpoint", "request", "release")
    private val id by argument("ID", help = "VM, request id or digest (a prefix will do)")
    private val platform by PlatformOptions()

    override fun help(context: Context): String =
        "Tells the state of one endpoint, request or release and the decisions behind it.\n\n" +
            "Example: toucanspur explain endpoint writer-2"

    override fun run() = platform.use { clients ->
        val statuses = clients.statuses()
        val lines = when (kind) {
            "endpoint" -> statuses.filter {
                it.first.vm.value == id
            }.map { explainEndpoint(it.first, it.second) }
            "release" -> statuses.mapNotNull { (vm, status) ->
                status?.let { explainRelease(vm, it, id) }
            }
            else -> emptyList()
        }
        val events = mergeTimelines(clients.events().mapNotNull { it.second }).filter { event ->
            when (kind) {
                "endpoint" -> event.vm.value == id && event.requestId == null
                "release" -> event.release?.value?.startsWith(id) == true
                else -> event.requestId?.value == id
            }
        }
        if (lines.isEmpty() && events.isEmpty()) {
            fail(
                "nothing is known of $kind \"$id\"; events are kept for a limited time",
                ExitCode.NOT_FOUND
            )
        }
        lines.forEach { echo(it) }
        echo(timelineText(events))
    }
}

/** Why an endpoint does or does not take requests. */
internal fun explainEndpoint(vm: VmRecord, status: ProcessStatus?): String {
    val endpoint = status?.endpoint
    val why = when {
        status == null -> "does not answer; see whether the VM lives"
        endpoint == null -> "is no endpoint but an entry"
        endpoint.accepting ->
            "takes requests: ${endpoint.running} of ${endpoint.limit} run, ${endpoint.held} held"
        status.chunksTotal == 0 && status.releaseWanted != null ->
            "waits for the manifest of its release"
        status.chunksHeld < status.chunksTotal ->
            "transfers weights: ${status.chunksHeld} of ${status.chunksTotal} chunks"
        status.rolloutStopped -> "keeps its release, because the rollout was stopped"
        endpoint.loaded == null && status.releaseWanted != null ->
            "waits for its engine to confirm the release"
        else -> "takes no requests: its zone is out or it is leaving"
    }
    return "${vm.vm} in ${vm.zone} $why"
}

private fun explainRelease(vm: VmRecord, status: ProcessStatus, digest: String): String? {
    val wanted = status.releaseWanted?.value?.startsWith(digest) == true
    val loaded = status.endpoint?.loaded?.value?.startsWith(digest) == true
    return when {
        loaded -> "${vm.vm} serves it"
        wanted -> explainEndpoint(vm, status)
        else -> null
    }
}
