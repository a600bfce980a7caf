/*
 * A caller of a soak run: sends requests one after another on a persistent connection and
 * validates each response by its bytes.
 */
package org.toucanspur.bench.soak

import java.io.BufferedInputStream
import java.io.ByteArrayOutputStream
import java.io.EOFException
import java.io.FilterInputStream
import java.io.IOException
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.random.Random
import org.toucanspur.standin.platform.CallerRequest
import org.toucanspur.standin.platform.LARGE_RESPONSE_PATH
import org.toucanspur.standin.platform.REQUEST_ID_HEADER
import org.toucanspur.standin.platform.SIGNATURE_HEADER
import org.toucanspur.standin.platform.STREAM_EVENTS
import org.toucanspur.standin.platform.signedBody

private const val CONNECT_TIMEOUT_MILLIS = 1000
private const val READ_TIMEOUT_MILLIS = 8000
private const val CR = 13
private const val LF = 10

/** Time that callers allow for a response. */
const val DEADLINE_MILLIS = 5000

/** Host name of the routes. */
const val SOAK_HOST = "soak.example"

/** Statuses that guarantee that the request was not executed. */
private val notExecutedStatuses = setOf(408, 421, 429, 503)

/** A response as read; [cutReason] is null if it arrived completely. */
private class RawResponse(
    val status: Int,
    val headers: Map<String, String>,
    val body: ByteArray,
    val cutReason: IOException?
) {
    val isComplete: Boolean get() = cutReason == null
}

/** Reads from [source] slowly for about two seconds, from the byte [slowFrom] on. */
private class SlowInput(source: InputStream, private val slowFrom: Int) :
    FilterInputStream(source) {
    private var position = 0

    override fun read(): Int = super.read().also { if (it >= 0) position++ }

    override fun read(buffer: ByteArray, offset: Int, length: Int): Int {
        if (position in slowFrom until slowFrom + SLOW_BYTES) Thread.sleep(SLOW_READ_MILLIS)
        val count = super.read(buffer, offset, minOf(length, SLOW_READ_BYTES))
        if (count > 0) position += count
        return count
    }

    private companion object {
        const val SLOW_BYTES = 320_000
        const val SLOW_READ_BYTES = 8192
        const val SLOW_READ_MILLIS = 50L
    }
}

/** How a caller uses its connection. */
enum class CallManner {
    /** Sends a request at once and reads the response as it arrives. */
    PLAIN,

    /** Reads part of a large response slowly. */
    SLOW_READER,

    /** Leaves the connection idle before the request, within the limit that callers know. */
    IDLE,

    /** Sends the request in several parts. */
    IN_PARTS,

    /** Sends several requests before it reads the first response. */
    PIPELINED
}

/**
 * A caller of the entry with index [entry] at [address]; picks a key from [keys] per request, and
 * reuses connections that were idle for up to [idleMaxMillis].
 */
class SoakCaller(
    private val entry: Int,
    private val address: InetSocketAddress,
    private val observations: SoakObservations,
    private val clock: () -> Long,
    private val keys: () -> List<String>,
    private val random: Random,
    private val idleMaxMillis: () -> Long = { 0 }
) {
    private var socket: Socket? = null
    private var input: InputStream? = null

    /** Sends one request and records its outcome. */
    fun callOnce(kind: CallKind = CallKind.entries.random(random)) =
        call(listOf(kind), CallManner.PLAIN)

    /** Sends a request in [manner], or several of them, and records their outcomes. */
    fun callIn(manner: CallManner) {
        val idleMillis = idleMaxMillis()
        if (manner == CallManner.IDLE) Thread.sleep(random.nextLong(idleMillis + 1))
        val hasLargeResponse = manner == CallManner.SLOW_READER
        val kinds = if (hasLargeResponse) plainKinds else CallKind.entries
        val count = if (manner == CallManner.PIPELINED) random.nextInt(2, MAX_PIPELINED) else 1
        call(List(count) { kinds.random(random) }, manner)
    }

    private fun call(kinds: List<CallKind>, manner: CallManner) {
        val calls = kinds.map {
            val id = java.lang.Long.toHexString(random.nextLong())
            SentCall(id, it, entry, keys().random(random), clock()).also(observations::onSent)
        }
        val path = if (manner == CallManner.SLOW_READER) LARGE_RESPONSE_PATH else "/x"
        try {
            if (isClosedByPeer()) disconnect()
            send(calls, path.removePrefix("/"), manner)
        } catch (e: IOException) {
            calls.forEach { recordLoss(it, CallEnd.NOT_SENT, e, clock()) }
            return
        }
        val sentMillis = clock()
        calls.forEach { receive(it, path, manner, sentMillis) }
    }

    private fun send(calls: List<SentCall>, path: String, manner: CallManner) {
        val connection = socket ?: connect()
        val bytes = calls.map { call ->
            CallerRequest(call.id, SOAK_HOST, "${call.kind.path}$path", call.key)
                .bytes(DEADLINE_MILLIS)
        }.reduce(ByteArray::plus)
        val parts = if (manner == CallManner.IN_PARTS) random.nextInt(2, MAX_PARTS) else 1
        var sentBytes = 0
        repeat(parts) { index ->
            val untilBytes =
                if (index == parts - 1) bytes.size else random.nextInt(sentBytes, bytes.size)
            connection.getOutputStream().write(bytes, sentBytes, untilBytes - sentBytes)
            sentBytes = untilBytes
            if (index < parts - 1) Thread.sleep(random.nextLong(MAX_PART_GAP_MILLIS))
        }
    }

    private fun receive(call: SentCall, path: String, manner: CallManner, sentMillis: Long) {
        val from = input.takeIf { socket != null }
        if (from == null) {
            val cause = EOFException("connection closed after an earlier response")
            recordLoss(call, CallEnd.UNANSWERED, cause, sentMillis)
            return
        }
        try {
            awaitFirstByte(from)
        } catch (e: SocketTimeoutException) {
            recordLoss(call, CallEnd.GIVEN_UP, e, sentMillis)
            return
        } catch (e: IOException) {
            recordLoss(call, CallEnd.UNANSWERED, e, sentMillis)
            return
        }
        val isSlow = manner == CallManner.SLOW_READER
        val reader = if (isSlow) SlowInput(from, random.nextInt(MAX_PROMPT_BYTES)) else from
        try {
            record(call, path, readResponse(reader), sentMillis)
        } catch (e: IOException) {
            recordLoss(call, CallEnd.CUT, e, sentMillis)
        }
    }

    private fun awaitFirstByte(from: InputStream) {
        from.mark(1)
        if (from.read() < 0) throw EOFException("connection closed before the response")
        from.reset()
    }

    private fun record(call: SentCall, path: String, response: RawResponse, sentMillis: Long) {
        if (!response.isComplete || response.headers["connection"] == "close") disconnect()
        val (outcome, status, detail) = classify(call, path, response)
        val end = when (response.cutReason) {
            null -> CallEnd.COMPLETE
            is SocketTimeoutException -> CallEnd.GIVEN_UP
            else -> CallEnd.CUT
        }
        observations.onResponse(
            CallerResponse(call.id, status, outcome, detail, clock(), end, sentMillis)
        )
    }

    private fun recordLoss(call: SentCall, end: CallEnd, cause: IOException, sentMillis: Long) {
        disconnect()
        val detail = cause.message.orEmpty()
        val outcome = CallOutcome.BROKEN_OFF
        observations.onResponse(
            CallerResponse(call.id, 0, outcome, detail, clock(), end, sentMillis)
        )
    }

    private fun isClosedByPeer(): Boolean {
        val opened = socket ?: return false
        opened.soTimeout = 1
        return try {
            awaitFirstByte(checkNotNull(input))
            false
        } catch (_: SocketTimeoutException) {
            false
        } catch (_: IOException) {
            true
        } finally {
            opened.soTimeout = READ_TIMEOUT_MILLIS
        }
    }

    private fun connect(): Socket {
        val opened = Socket()
        opened.receiveBufferSize = RECEIVE_BUFFER_BYTES
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
        val cutReason = try {
            readBody(from, headers, body)
            null
        } catch (e: IOException) {
            e
        }
        return RawResponse(status, headers, body.toByteArray(), cutReason)
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

    private fun classify(
        call: SentCall,
        path: String,
        response: RawResponse
    ): Triple<CallOutcome, Int, String> {
        val signature = response.headers[SIGNATURE_HEADER.lowercase()]
        val text = response.body.decodeToString()
        val fault = when {
            response.status !in 200..299 -> null
            signature == null -> "success without a signature"
            response.headers[REQUEST_ID_HEADER.lowercase()].let { it != null && it != call.id } ->
                "response to another request"
            call.kind == CallKind.STREAM -> streamFault(call, text, response.isComplete)
            response.isComplete && text != signedBody(signature, call.id, path).decodeToString() ->
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
        val plainKinds = CallKind.entries - CallKind.STREAM
        const val MAX_DETAIL_CHARS = 120
        const val MAX_PIPELINED = 4
        const val MAX_PARTS = 4
        const val MAX_PART_GAP_MILLIS = 400L
        const val MAX_PROMPT_BYTES = 600_000
        const val RECEIVE_BUFFER_BYTES = 64 * 1024
    }
}
