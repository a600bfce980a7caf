package org.toucanspur.daemon.gateway

import java.io.BufferedReader
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A request as received by an endpoint. */
class ReceivedRequest(val requestLine: String, val headers: Map<String, String>, val body: String)

/** An endpoint that runs [script] for the request of each connection. */
class ScriptedEndpoint(private val script: (ReceivedRequest, Socket) -> Unit) : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())

    /** Requests that were received completely. */
    val received = CopyOnWriteArrayList<ReceivedRequest>()

    /** Port of the endpoint on the loopback address. */
    val port: Int get() = listener.localPort

    init {
        thread(isDaemon = true) { accept() }
    }

    private fun accept() {
        while (!listener.isClosed) {
            val socket = try {
                listener.accept()
            } catch (_: java.net.SocketException) {
                return
            }
            thread(isDaemon = true) { serve(socket) }
        }
    }

    private fun serve(socket: Socket) = socket.use {
        val request = readRequest(socket.getInputStream().bufferedReader()) ?: return
        received += request
        script(request, socket)
    }

    private fun readRequest(reader: BufferedReader): ReceivedRequest? {
        val requestLine = reader.readLine() ?: return null
        val headers = generateSequence { reader.readLine()?.takeIf { it.isNotEmpty() } }
            .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val body = CharArray(headers["content-length"]?.toInt() ?: 0)
        var read = 0
        while (read < body.size) read += reader.read(body, read, body.size - read)
        return ReceivedRequest(requestLine, headers, String(body))
    }

    override fun close() = listener.close()
}

/** Opens endpoints and closes them together. */
class ScriptedEndpoints {
    private val open = mutableListOf<ScriptedEndpoint>()

    /** Opens an endpoint that runs [script] for the request of each connection. */
    fun open(script: (ReceivedRequest, Socket) -> Unit): ScriptedEndpoint =
        ScriptedEndpoint(script).also { open += it }

    /** Closes the open endpoints. */
    fun closeAll() {
        open.forEach { it.close() }
        open.clear()
    }
}

/** Reads until the peer closes or resets the connection. */
fun Socket.awaitClose() {
    try {
        while (getInputStream().read() >= 0) continue
    } catch (_: java.net.SocketException) {
        return
    }
}

/** Writes [text] unchanged. */
fun Socket.send(text: String) {
    getOutputStream().write(text.encodeToByteArray())
    getOutputStream().flush()
}

/** Writes a complete response. */
fun Socket.respond(
    request: ReceivedRequest,
    body: String,
    status: String = "200 OK",
    headers: String = "Seal: s\r\n"
) = send(
    "HTTP/1.1 $status\r\nId: ${request.headers["id"]}\r\n$headers" +
        "Content-Length: ${body.length}\r\n\r\n$body"
)

/** Writes [events] as chunks of an event stream, which is ended only if [isComplete]. */
fun Socket.respondWithEvents(request: ReceivedRequest, events: List<String>, isComplete: Boolean) {
    send(
        "HTTP/1.1 200 OK\r\nId: ${request.headers["id"]}\r\nSeal: ${localPort}\r\n" +
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    events.forEach { send("${it.length.toString(16)}\r\n$it\r\n") }
    if (isComplete) send("0\r\n\r\n")
}
