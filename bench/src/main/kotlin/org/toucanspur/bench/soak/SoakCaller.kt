/*
 * A caller of a soak run: sends one request after the other on a connection that it keeps as long
 * as the other side does, and judges each answer by its bytes.
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
import org.toucanspur.standin.platform.SEAL_HEADER
import org.toucanspur.standin.platform.STREAM_EVENTS
import org.toucanspur.standin.platform.sealedBody

private const val CONNECT_TIMEOUT_MILLIS = 1000
private const val READ_TIMEOUT_MILLIS = 8000
private const val DEADLINE_MILLIS = 5000
private const val CR = 13
private const val LF = 10

/** Host name of the routes. */
const val SOAK_HOST = "soak.example"

/** Statuses that promise that the request did not run. */
private val notRunStatuses = setOf(408, 421, 429, 503)

/** What a caller reads: the head, the bytes, and whether the answer came to its end. */
private class RawAnswer(
    val status: Int,
    val headers: Map<String, String>,
    val body: ByteArray,
    val isWhole: Boolean
)

/** A caller of the entry at [address]. */
class SoakCaller(
    private val entry: Int,
    private val address: InetSocketAddress,
    private val ledger: SoakLedger,
    private val clock: () -> Long,
    private val keys: () -> List<String>,
    private val random: Random
) {
    private var socket: Socket? = null
    private var input: InputStream? = null

    /** Sends one request and records how it ends. */
    fun callOnce(shape: CallShape = CallShape.entries.random(random)) {
        val id = java.lang.Long.toHexString(random.nextLong())
        val call = SentCall(id, shape, entry, keys().random(random), clock())
        ledger.onSent(call)
        val (end, status, detail) = try {
            judge(call, exchange(call))
        } catch (e: IOException) {
            disconnect()
            Triple(CallEnd.BROKEN_OFF, 0, e.message.orEmpty())
        }
        ledger.onAnswer(CallerAnswer(id, status, end, detail, clock()))
    }

    private fun exchange(call: SentCall): RawAnswer {
        val open = socket ?: connect()
        val request = CallerRequest(call.id, SOAK_HOST, "${call.shape.path}x", call.key)
        open.getOutputStream().write(request.bytes(DEADLINE_MILLIS))
        val answer = read(checkNotNull(input))
        if (!answer.isWhole || answer.headers["connection"] == "close") disconnect()
        return answer
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
            // It is of no use in any case.
        }
        socket = null
    }

    private fun read(from: InputStream): RawAnswer {
        val status = line(from).split(' ').getOrNull(1)?.toIntOrNull()
            ?: throw IOException("no status line")
        val headers = HashMap<String, String>()
        while (true) {
            val header = line(from).ifEmpty { break }
            headers[header.substringBefore(':').lowercase()] = header.substringAfter(':').trim()
        }
        val body = ByteArrayOutputStream()
        val isWhole = try {
            readBody(from, headers, body)
            true
        } catch (_: IOException) {
            false
        }
        return RawAnswer(status, headers, body.toByteArray(), isWhole)
    }

    private fun readBody(
        from: InputStream,
        headers: Map<String, String>,
        body: ByteArrayOutputStream
    ) {
        if (headers["transfer-encoding"] != "chunked") {
            copy(from, headers["content-length"]?.toInt() ?: 0, body)
            return
        }
        while (true) {
            val size = line(from).toInt(radix = 16)
            copy(from, size, body)
            line(from)
            if (size == 0) return
        }
    }

    private fun copy(from: InputStream, count: Int, body: ByteArrayOutputStream) {
        val bytes = from.readNBytes(count)
        body.write(bytes)
        if (bytes.size < count) throw EOFException("answer ends early")
    }

    private fun line(from: InputStream): String {
        val text = StringBuilder()
        while (true) {
            when (val next = from.read()) {
                -1 -> throw EOFException("connection ended")
                LF -> return text.toString()
                CR -> Unit
                else -> text.append(next.toChar())
            }
        }
    }

    private fun judge(call: SentCall, answer: RawAnswer): Triple<CallEnd, Int, String> {
        val seal = answer.headers[SEAL_HEADER.lowercase()]
        val text = answer.body.decodeToString()
        val fault = when {
            answer.status !in 200..299 -> null
            seal == null -> "success without a seal"
            answer.headers[REQUEST_ID_HEADER.lowercase()].let { it != null && it != call.id } ->
                "answer to another request"
            call.shape == CallShape.STREAM -> streamFault(call, text, answer.isWhole)
            answer.isWhole && text != sealedBody(seal, call.id).decodeToString() -> "changed body"
            else -> null
        }
        val end = when {
            fault != null -> CallEnd.MIXED
            !answer.isWhole -> CallEnd.BROKEN_OFF
            answer.status in 200..299 -> CallEnd.SERVED
            answer.status in notRunStatuses -> CallEnd.NOT_RUN
            else -> CallEnd.FAILED
        }
        return Triple(end, answer.status, fault ?: text.take(DETAIL_CHARS))
    }

    // Events have to come in order and once; a stream that looks complete has all of them.
    private fun streamFault(call: SentCall, text: String, isWhole: Boolean): String? {
        val events = text.split("\n\n").dropLast(1)
        val expected = (1..events.size).map { "id: $it\ndata: ${call.id} $it" }
        return when {
            events != expected -> "events out of order: ${events.map { it.substringBefore('\n') }}"
            isWhole && events.size != STREAM_EVENTS -> "stream of ${events.size} looks complete"
            else -> null
        }
    }

    private companion object {
        const val DETAIL_CHARS = 120
    }
}
