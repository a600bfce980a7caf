/*
 * A caller of a soak run: sends requests one after another on a persistent connection and
 * validates each response by its bytes.
 */
package org.toucanspur.bench.soak

import java.io.BufferedInputStream
import java.io.ByteArrayOutputStream
import java.io.EOFException
import java.io.IOException
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.random.Random
import org.toucanspur.standin.platform.CallerRequest
import org.toucanspur.standin.platform.REQUEST_ID_HEADER
import org.toucanspur.standin.platform.SIGNATURE_HEADER
import org.toucanspur.standin.platform.STREAM_EVENTS
import org.toucanspur.standin.platform.signedBody

private const val CONNECT_TIMEOUT_MILLIS = 1000
private const val READ_TIMEOUT_MILLIS = 8000
private const val DEADLINE_MILLIS = 5000
private const val CR = 13
private const val LF = 10

/** Host name of the routes. */
const val SOAK_HOST = "soak.example"

/** Statuses that guarantee that the request was not executed. */
private val notExecutedStatuses = setOf(408, 421, 429, 503)

/** A response as read; [isComplete] is whether it arrived completely. */
private class RawResponse(
    val status: Int,
    val headers: Map<String, String>,
    val body: ByteArray,
    val isComplete: Boolean
)

/** A caller of the entry with index [entry] at [address]; picks a key from [keys] per request. */
class SoakCaller(
    private val entry: Int,
    private val address: InetSocketAddress,
    private val observations: SoakObservations,
    private val clock: () -> Long,
    private val keys: () -> List<String>,
    private val random: Random
) {
    private var socket: Socket? = null
    private var input: InputStream? = null

    /** Sends one request and records its outcome. */
    fun callOnce(kind: CallKind = CallKind.entries.random(random)) {
        val id = java.lang.Long.toHexString(random.nextLong())
        val call = SentCall(id, kind, entry, keys().random(random), clock())
        observations.onSent(call)
        val (outcome, status, detail) = try {
            classify(call, exchange(call))
        } catch (e: IOException) {
            disconnect()
            Triple(CallOutcome.BROKEN_OFF, 0, e.message.orEmpty())
        }
        observations.onResponse(CallerResponse(id, status, outcome, detail, clock()))
    }

    private fun exchange(call: SentCall): RawResponse {
        val connection = socket ?: connect()
        val request = CallerRequest(call.id, SOAK_HOST, "${call.kind.path}x", call.key)
        connection.getOutputStream().write(request.bytes(DEADLINE_MILLIS))
        val response = readResponse(checkNotNull(input))
        if (!response.isComplete || response.headers["connection"] == "close") disconnect()
        return response
    }

    private fun connect(): Socket {
        val opened = Socket()
        opened.connect(address, CONNECT_TIMEOUT_MILLIS)
        opened.soTimeout = READ_TIMEOUT_MILLIS
        socket = opened
        input = BufferedInputStream(opened.getInputStream())
        return opened
    }

    /** Closes the connection. */
    fun disconnect() {
        try {
            socket?.close()
        } catch (_: IOException) {
            // The connection is discarded in any case.
        }
        socket = null
    }

    private fun readResponse(from: InputStream): RawResponse {
        val status = readLine(from).split(' ').getOrNull(1)?.toIntOrNull()
            ?: throw IOException("response has no status line")
        val headers = HashMap<String, String>()
        while (true) {
            val header = readLine(from).ifEmpty { break }
            headers[header.substringBefore(':').lowercase()] = header.substringAfter(':').trim()
        }
        val body = ByteArrayOutputStream()
        val isComplete = try {
            readBody(from, headers, body)
            true
        } catch (_: IOException) {
            false
        }
        return RawResponse(status, headers, body.toByteArray(), isComplete)
    }

    private fun readBody(
        from: InputStream,
        headers: Map<String, String>,
        body: ByteArrayOutputStream
    ) {
        if (headers["transfer-encoding"] != "chunked") {
            readBytes(from, headers["content-length"]?.toInt() ?: 0, body)
            return
        }
        while (true) {
            val size = readLine(from).toInt(radix = 16)
            readBytes(from, size, body)
            readLine(from)
            if (size == 0) return
        }
    }

    private fun readBytes(from: InputStream, count: Int, body: ByteArrayOutputStream) {
        val bytes = from.readNBytes(count)
        body.write(bytes)
        if (bytes.size < count) throw EOFException("response body is truncated")
    }

    private fun readLine(from: InputStream): String {
        val text = StringBuilder()
        while (true) {
            when (val next = from.read()) {
                -1 -> throw EOFException("connection closed before the end of the line")
                LF -> return text.toString()
                CR -> Unit
                else -> text.append(next.toChar())
            }
        }
    }

    private fun classify(call: SentCall, response: RawResponse): Triple<CallOutcome, Int, String> {
        val signature = response.headers[SIGNATURE_HEADER.lowercase()]
        val text = response.body.decodeToString()
        val fault = when {
            response.status !in 200..299 -> null
            signature == null -> "success without a signature"
            response.headers[REQUEST_ID_HEADER.lowercase()].let { it != null && it != call.id } ->
                "response to another request"
            call.kind == CallKind.STREAM -> streamFault(call, text, response.isComplete)
            response.isComplete && text != signedBody(signature, call.id).decodeToString() ->
                "response body differs from the signed one"
            else -> null
        }
        val outcome = when {
            fault != null -> CallOutcome.MIXED
            !response.isComplete -> CallOutcome.BROKEN_OFF
            response.status in 200..299 -> CallOutcome.SERVED
            response.status in notExecutedStatuses -> CallOutcome.NOT_RUN
            else -> CallOutcome.FAILED
        }
        return Triple(outcome, response.status, fault ?: text.take(MAX_DETAIL_CHARS))
    }

    // Events must arrive in order and without duplicates; a complete stream has all of them.
    private fun streamFault(call: SentCall, text: String, isComplete: Boolean): String? {
        val events = text.split("\n\n").dropLast(1)
        val expected = (1..events.size).map { "id: $it\ndata: ${call.id} $it" }
        return when {
            events != expected -> "events out of order: ${events.map { it.substringBefore('\n') }}"
            isComplete && events.size != STREAM_EVENTS -> "complete stream of ${events.size} events"
            else -> null
        }
    }

    private companion object {
        const val MAX_DETAIL_CHARS = 120
    }
}
