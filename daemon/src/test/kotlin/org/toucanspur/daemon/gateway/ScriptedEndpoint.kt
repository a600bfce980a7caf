package org.toucanspur.daemon.gateway

import java.io.BufferedReader
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A request as an endpoint reads it. */
class SeenRequest(val line: String, val headers: Map<String, String>, val body: String)

/** An endpoint that answers each connection as [script] says. */
class ScriptedEndpoint(private val script: (SeenRequest, Socket) -> Unit) : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())

    /** Requests that were read whole. */
    val seen = CopyOnWriteArrayList<SeenRequest>()

    /** Port on the loopback address. */
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
        val request = read(socket.getInputStream().bufferedReader()) ?: return
        seen += request
        script(request, socket)
    }

    private fun read(reader: BufferedReader): SeenRequest? {
        val line = reader.readLine() ?: return null
        val headers = generateSequence { reader.readLine()?.takeIf { it.isNotEmpty() } }
            .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val body = CharArray(headers["content-length"]?.toInt() ?: 0)
        var read = 0
        while (read < body.size) read += reader.read(body, read, body.size - read)
        return SeenRequest(line, headers, String(body))
    }

    override fun close() = listener.close()
}

/** Writes [text] as it is. */
fun Socket.send(text: String) {
    getOutputStream().write(text.encodeToByteArray())
    getOutputStream().flush()
}

/** Writes a whole answer. */
fun Socket.answer(
    request: SeenRequest,
    body: String,
    status: String = "200 OK",
    headers: String = "Seal: s\r\n"
) = send(
    "HTTP/1.1 $status\r\nId: ${request.headers["id"]}\r\n$headers" +
        "Content-Length: ${body.length}\r\n\r\n$body"
)

/** Begins a stream and writes [events], each as a chunk. */
fun Socket.stream(request: SeenRequest, events: List<String>, isWhole: Boolean) {
    send(
        "HTTP/1.1 200 OK\r\nId: ${request.headers["id"]}\r\nSeal: ${localPort}\r\n" +
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    events.forEach { send("${it.length.toString(16)}\r\n$it\r\n") }
    if (isWhole) send("0\r\n\r\n")
}
