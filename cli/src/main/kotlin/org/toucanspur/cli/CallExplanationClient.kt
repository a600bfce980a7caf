/*
 * Asks an entry what it would do with a request. The headers of the request are sent to the entry
 * alone and printed nowhere, because one of them is the key.
 */
package org.toucanspur.cli

import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.parameter
import io.ktor.client.statement.bodyAsText
import io.ktor.util.network.UnresolvedAddressException
import java.io.IOException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.toucanspur.core.gateway.CallExplanation
import org.toucanspur.daemon.gateway.EXPLAIN_PATH

/** A request as its caller would send it. */
internal class ExplainedCall(val target: String, val method: String, headerLines: List<String>) {
    val host = target.substringAfter("://").substringBefore('/')
    val path = "/" + target.substringAfter("://").substringAfter('/', "")
    val headers = headerLines.filter { it.isNotBlank() }.mapIndexed { index, line ->
        headerOf(line) ?: fail(
            "header ${index + 1} is not allowed; write \"Name: value\", without " +
                "${ownHeaders.joinToString()}, which follow from the other arguments",
            ExitCode.USAGE
        )
    }
}

private val ownHeaders = listOf("Host", "Connection", "Content-Length", "Transfer-Encoding")
private val headerName = Regex("[A-Za-z0-9!#$%&'*+.^_`|~-]+")
private val entryAddress = Regex("(\\[[0-9a-fA-F:]+]|[^:/\\s]+):[0-9]{1,5}")

private fun headerOf(line: String): Pair<String, String>? {
    val name = line.substringBefore(':')
    val value = line.substringAfter(':', "").trim()
    val isOwn = ownHeaders.any { it.equals(name, ignoreCase = true) }
    val isAllowed = ':' in line &&
        headerName.matches(name) &&
        !isOwn &&
        value.none { it.isISOControl() }
    return if (isAllowed) name to value else null
}

/** Asks the entry at [address] about [call]. */
internal suspend fun HttpClient.explain(address: String, call: ExplainedCall): CallExplanation {
    if (!entryAddress.matches(address)) {
        fail("--entry is not HOST:PORT, but \"$address\"", ExitCode.USAGE)
    }
    val remedy = "check that --entry is the address of an entry and its port for metrics " +
        "(the one after peer-port)"
    val (status, text) = try {
        val response = get("http://$address$EXPLAIN_PATH") {
            parameter("host", call.host)
            parameter("path", call.path)
            parameter("method", call.method)
            call.headers.forEach { (name, value) -> header(name, value) }
        }
        response.status.value to response.bodyAsText()
    } catch (e: IOException) {
        fail("$address does not respond (${e.javaClass.simpleName}); $remedy", UNREACHABLE)
    } catch (_: UnresolvedAddressException) {
        fail("$address is not a known name; $remedy", UNREACHABLE)
    }
    return try {
        if (status == OK) Json.decodeFromString<CallExplanation>(text) else null
    } catch (_: SerializationException) {
        null
    } ?: fail("$address explains no requests (status $status); $remedy", UNREACHABLE)
}

private val UNREACHABLE = ExitCode.ENTRY_UNREACHABLE
private const val OK = 200
