package org.toucanspur.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import java.nio.file.Path
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.toucanspur.core.events.mergeTimelines
import org.toucanspur.core.gateway.CallExplanation
import org.toucanspur.core.gateway.ExplainedOutcome
import org.toucanspur.daemon.platform.platformHttpClient
import org.toucanspur.schema.ProcessStatus
import org.toucanspur.schema.VmRecord

/** `toucanspur explain`: explains the state of an endpoint, request or release, or a placement. */
class ExplainCommand : CliktCommand(name = "explain") {
    private val kind by argument(
        "KIND",
        help = "endpoint, request or release, or call: where a request would be sent now"
    ).choice("endpoint", "request", "release", CALL)
    private val id by argument(
        "ID",
        help = "VM, request id or digest (or a prefix); HOST/PATH for a call"
    )
    private val entry by option(
        "--entry",
        metavar = "HOST:PORT",
        help = "Call: port for metrics of the entry to ask"
    )
    private val headers by option(
        "--header",
        metavar = "NAME:VALUE",
        help = "Call: header of the request; other users of the machine can see it"
    ).multiple()
    private val headersFile by option(
        "--headers-file",
        metavar = "FILE",
        help = "Call: file with a header on each line, such as the key; - for standard input"
    )
    private val method by option("--method", help = "Call: method of the request").default("POST")
    private val json by option("--json", help = "Call: print JSON").flag()
    private val platform by PlatformOptions()

    override fun help(context: Context): String =
        "Explains the state of an endpoint, request or release and lists related decisions, " +
            "or shows where an entry would send a request now, and why.\n\n" +
            "Examples: toucanspur explain endpoint writer-2; " +
            "toucanspur explain call api.example.com/v1/x --entry 10.0.0.5:7101 " +
            "--headers-file headers.txt"

    override fun run() = if (kind == CALL) explainCall() else explainState()

    private fun explainCall() {
        val address = entry ?: fail("no entry; pass --entry HOST:PORT", ExitCode.USAGE)
        val fromFile = when (val file = headersFile) {
            null -> emptyList()
            "-" -> System.`in`.bufferedReader().readLines()
            else -> readFile(Path.of(file)).lines()
        }
        val call = ExplainedCall(id, method, headers + fromFile)
        val explanation = runBlocking {
            platformHttpClient(CALL_TIMEOUT_MILLIS).use { it.explain(address, call) }
        }
        val text = if (json) {
            Json.encodeToString(CallExplanation.serializer(), explanation)
        } else {
            explanationText(explanation)
        }
        echo(text)
        when (explanation.outcome) {
            ExplainedOutcome.ROUTE_UNKNOWN -> fail(
                "no route for ${call.host}${call.path}; check host and path against the " +
                    "configuration with version ${explanation.configuration}",
                ExitCode.ROUTE_UNKNOWN
            )
            ExplainedOutcome.KEY_UNKNOWN -> fail(
                "no organisation has the key, or there is none; pass the header with the key " +
                    "by --headers-file",
                ExitCode.KEY_UNKNOWN
            )
            ExplainedOutcome.NOT_READY -> fail(
                "${explanation.entry} is not ready " +
                    "(${explanation.refusal?.reason ?: "it is stopping"}); " +
                    "wait, or ask another entry",
                ExitCode.ENTRY_NOT_READY
            )
            else -> Unit
        }
    }

    private fun explainState() = platform.use { clients ->
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

    private companion object {
        const val CALL = "call"
        const val CALL_TIMEOUT_MILLIS = 3000L
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
