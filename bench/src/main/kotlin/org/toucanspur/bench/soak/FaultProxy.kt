/*
 * A loopback proxy that injects faults into the connections that it forwards. Bytes that are held
 * back during a partition are delivered after it, as TCP retransmission does on a real link.
 */
package org.toucanspur.bench.soak

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

private const val BUFFER_BYTES = 16 * 1024
private const val ACCEPT_BACKLOG = 256
private const val DELAY_MILLIS = 250L
private const val BLOCKED_POLL_MILLIS = 10L
private const val CONNECT_TIMEOUT_MILLIS = 1000

/** Forwards connections from [host]:[port] to [target]. */
class FaultProxy(host: String, port: Int, private val target: () -> InetSocketAddress) :
    AutoCloseable {
    private val server = ServerSocket(port, ACCEPT_BACKLOG, InetAddress.getByName(host))
    private val sockets: MutableSet<Socket> = ConcurrentHashMap.newKeySet()

    /** Fault mode of the link; setting it to RESET also resets the open connections. */
    @Volatile
    var mode: LinkMode = LinkMode.NORMAL
        set(value) {
            field = value
            if (value == LinkMode.RESET) resetAll()
        }

    /** HOST:PORT of the proxy. */
    val address: String = "$host:${server.localPort}"

    init {
        thread(isDaemon = true, name = "proxy") { acceptAll() }
    }

    /** Resets all open connections. */
    fun resetAll() = sockets.toList().forEach(::reset)

    private fun acceptAll() {
        while (!server.isClosed) {
            val client = try {
                server.accept()
            } catch (_: IOException) {
                return
            }
            if (mode == LinkMode.RESET) {
                reset(client)
            } else {
                thread(isDaemon = true) { forward(client) }
            }
        }
    }

    private fun forward(client: Socket) {
        val targetSocket = Socket()
        try {
            targetSocket.connect(target(), CONNECT_TIMEOUT_MILLIS)
        } catch (_: IOException) {
            // Nothing listens at the target: resets the client immediately, as a closed port does.
            reset(client)
            return
        }
        sockets += listOf(client, targetSocket)
        thread(isDaemon = true) { pump(client, targetSocket, LinkMode.REQUESTS_CUT) }
        pump(targetSocket, client, LinkMode.ANSWERS_CUT)
    }

    private fun pump(from: Socket, to: Socket, blockingMode: LinkMode) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (mode == LinkMode.DELAYED) Thread.sleep(DELAY_MILLIS)
                while (mode == LinkMode.SILENT || mode == blockingMode) {
                    Thread.sleep(BLOCKED_POLL_MILLIS)
                }
                if (count < 0) {
                    to.shutdownOutput()
                    return
                }
                to.getOutputStream().write(buffer, 0, count)
            }
        } catch (_: IOException) {
            // One side is closed; resets the other as well.
            reset(from)
            reset(to)
        }
    }

    private fun reset(socket: Socket) {
        sockets -= socket
        try {
            socket.setSoLinger(true, 0)
            socket.close()
        } catch (_: IOException) {
            // The socket is already closed.
        }
    }

    override fun close() {
        server.close()
        resetAll()
    }
}
