/*
 * A loopback proxy between two sides of a connection that misbehaves on demand. Bytes that a cut
 * holds back pass when it is over, as they do on a link that TCP repeats them on.
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
private const val BACKLOG = 256
private const val DELAY_MILLIS = 250L
private const val HELD_POLL_MILLIS = 10L
private const val CONNECT_TIMEOUT_MILLIS = 1000

/** Passes connections to [host]:[port] on to [target]. */
class FaultProxy(host: String, port: Int, private val target: () -> InetSocketAddress) :
    AutoCloseable {
    private val server = ServerSocket(port, BACKLOG, InetAddress.getByName(host))
    private val sockets: MutableSet<Socket> = ConcurrentHashMap.newKeySet()

    /** How the link behaves from now on. */
    @Volatile
    var mode: LinkMode = LinkMode.SOUND
        set(value) {
            field = value
            if (value == LinkMode.RESET) resetAll()
        }

    /** HOST:PORT of the proxy. */
    val address: String = "$host:${server.localPort}"

    init {
        thread(isDaemon = true, name = "proxy") { acceptAll() }
    }

    /** Resets all connections. */
    fun resetAll() = sockets.toList().forEach(::reset)

    private fun acceptAll() {
        while (!server.isClosed) {
            val caller = try {
                server.accept()
            } catch (_: IOException) {
                return
            }
            if (mode == LinkMode.RESET) reset(caller) else thread(isDaemon = true) { join(caller) }
        }
    }

    private fun join(caller: Socket) {
        val callee = Socket()
        try {
            callee.connect(target(), CONNECT_TIMEOUT_MILLIS)
        } catch (_: IOException) {
            // Nobody listens behind the proxy: the caller learns that at once.
            reset(caller)
            return
        }
        sockets += listOf(caller, callee)
        thread(isDaemon = true) { pump(caller, callee, LinkMode.REQUESTS_CUT) }
        pump(callee, caller, LinkMode.ANSWERS_CUT)
    }

    private fun pump(from: Socket, to: Socket, cut: LinkMode) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (mode == LinkMode.DELAYED) Thread.sleep(DELAY_MILLIS)
                while (mode == LinkMode.SILENT || mode == cut) Thread.sleep(HELD_POLL_MILLIS)
                if (count < 0) {
                    to.shutdownOutput()
                    return
                }
                to.getOutputStream().write(buffer, 0, count)
            }
        } catch (_: IOException) {
            // One side is gone; the other learns it.
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
            // It is closed already.
        }
    }

    override fun close() {
        server.close()
        resetAll()
    }
}
