package org.toucanspur.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.types.choice
import org.toucanspur.core.events.mergeTimelines
import org.toucanspur.schema.ProcessStatus
import org.toucanspur.schema.VmRecord

/** `toucanspur explain`: explains the state of an endpoint, request or release. */
class ExplainCommand : CliktCommand(name = "explain") {
    private val kind by argument(
        "KIND",
        help = "endpoint, request or release"
    ).choice("endpoint", "request", "release")
    private val id by argument("ID", help = "VM, request id or digest (or a prefix)")
    private val platform by PlatformOptions()

    override fun help(context: Context): String =
        "Explains the state of an endpoint, request or release and lists related decisions.\n\n" +
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
                "no data on $kind \"$id\"; events are kept for a limited time",
                ExitCode.NOT_FOUND
            )
        }
        lines.forEach { echo(it) }
        echo(timelineText(events))
    }
}

/** Explains why an endpoint accepts or does not accept requests. */
internal fun explainEndpoint(vm: VmRecord, status: ProcessStatus?): String {
    val endpoint = status?.endpoint
    val explanation = when {
        status == null -> "does not respond; check whether the VM is running"
        endpoint == null -> "is not an endpoint but an entry"
        endpoint.accepting ->
            "accepts requests: ${endpoint.running} of ${endpoint.limit} run, ${endpoint.held} held"
        status.chunksTotal == 0 && status.releaseWanted != null ->
            "waits for the manifest of its release"
        status.chunksHeld < status.chunksTotal ->
            "transfers weights: ${status.chunksHeld} of ${status.chunksTotal} chunks"
        status.rolloutStopped -> "keeps its release, because the rollout was stopped"
        endpoint.loaded == null && status.releaseWanted != null ->
            "waits for its engine to confirm the release"
        else -> "accepts no requests: its zone is out of service or it is draining"
    }
    return "${vm.vm} in ${vm.zone} $explanation"
}

private fun explainRelease(vm: VmRecord, status: ProcessStatus, digest: String): String? {
    val wanted = status.releaseWanted?.value?.startsWith(digest) == true
    val loaded = status.endpoint?.loaded?.value?.startsWith(digest) == true
    return when {
        loaded -> "${vm.vm} serves the release"
        wanted -> explainEndpoint(vm, status)
        else -> null
    }
}
