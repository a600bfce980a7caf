/*
 * A crowd of connections to one address, written from one thread without blocking, because a
 * process under load may stop reading.
 */
package org.toucanspur.bench.platform

import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel

// A crowd has sent what it can when nothing more is accepted for this long.
private const val STALL_MILLIS = 1500L
private const val SEND_MAX_MILLIS = 12_000L
private const val RECEIVE_BUFFER_BYTES = 4096
private const val POLL_MILLIS = 2L

/** [size] connections to [address]. Responses are not read. */
class CallerCrowd(address: InetSocketAddress, size: Int) : AutoCloseable {
    private val channels = List(size) { open(address) }

    private fun open(address: InetSocketAddress): SocketChannel? {
        val channel = SocketChannel.open()
        return try {
            channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
            channel.connect(address)
            channel.configureBlocking(false)
            channel
        } catch (_: IOException) {
            channel.close()
            null
        }
    }

    /**
     * Sends [payload] on each connection, at most [pieceBytes] at a time, in turn. Ends when all
     * is sent, the rest of the connections are closed, or nothing more is accepted.
     */
    fun send(payload: ByteArray, pieceBytes: Int = payload.size) {
        val pending = channels.filterNotNull()
            .map { it to ByteBuffer.wrap(payload) }
            .toMutableList()
        val end = System.nanoTime() + SEND_MAX_MILLIS * NANOS_PER_MILLI
        var lastProgress = System.nanoTime()
        while (pending.isNotEmpty() &&
            System.nanoTime() < end &&
            System.nanoTime() - lastProgress < STALL_MILLIS * NANOS_PER_MILLI
        ) {
            var written = 0
            pending.removeIf { (channel, buffer) ->
                val count = write(channel, buffer, pieceBytes)
                written += maxOf(0, count)
                count < 0 || !buffer.hasRemaining()
            }
            if (written > 0) lastProgress = System.nanoTime() else Thread.sleep(POLL_MILLIS)
        }
    }

    // Writes one piece; returns -1 if the connection is closed.
    private fun write(channel: SocketChannel, buffer: ByteBuffer, pieceBytes: Int): Int = try {
        val piece = buffer.slice()
        piece.limit(minOf(pieceBytes, piece.remaining()))
        channel.write(piece).also { buffer.position(buffer.position() + it) }
    } catch (_: IOException) {
        -1
    }

    override fun close() = channels.filterNotNull().forEach { it.close() }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
