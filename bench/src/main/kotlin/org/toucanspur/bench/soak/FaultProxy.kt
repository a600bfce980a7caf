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
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random

private const val BUFFER_BYTES = 16 * 1024
private const val ACCEPT_BACKLOG = 256
private const val DELAY_MILLIS = 250L
private const val BLOCKED_POLL_MILLIS = 10L
private const val CONNECT_TIMEOUT_MILLIS = 1000
private const val INTERRUPTION_MILLIS = 1000L
private const val HEAD_BYTES = 160

/** Forwards connections from [host]:[port] to [target]. */
class FaultProxy(host: String, port: Int, private val target: () -> InetSocketAddress) :
    AutoCloseable {
    private val server = ServerSocket(port, ACCEPT_BACKLOG, InetAddress.getByName(host))
    private val sockets: MutableSet<Socket> = ConcurrentHashMap.newKeySet()
    private val interruptions = AtomicInteger()

    /** Fault mode of the link; setting it to RESET also resets the open connections. */
    @Volatile
    var mode: LinkMode = LinkMode.NORMAL
        set(value) {
            field = value
            if (value == LinkMode.RESET) resetAll()
        }

    /** Lets each open connection pause once inside a message of the server, and go on. */
    fun interruptOnce() {
        interruptions.incrementAndGet()
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
        var interruption = interruptions.get()
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
                if (interruption < interruptions.get() && blockingMode == LinkMode.ANSWERS_CUT) {
                    interruption = interruptions.get()
                    writeInterrupted(buffer, count, to)
                } else {
                    to.getOutputStream().write(buffer, 0, count)
                }
            }
        } catch (_: IOException) {
            // One side is closed; resets the other as well.
            reset(from)
            reset(to)
        }
    }

    private fun writeInterrupted(buffer: ByteArray, count: Int, to: Socket) {
        // Every other pause is inside the head, if the bytes begin with one.
        val isInHead = Random.nextBoolean()
        val first = Random.nextInt(if (isInHead) minOf(count, HEAD_BYTES) else count)
        to.getOutputStream().write(buffer, 0, first)
        Thread.sleep(INTERRUPTION_MILLIS)
        to.getOutputStream().write(buffer, first, count - first)
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
