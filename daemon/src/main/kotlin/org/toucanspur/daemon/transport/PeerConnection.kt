/*
 * An authenticated connection to another process. It multiplexes all traffic between the two,
 * answers heartbeats and closes itself when the peer has gone silent, because something between
 * two ends may lose track of a connection without either noticing.
 */
package org.toucanspur.daemon.transport

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.schema.Frame
import org.toucanspur.schema.Hello
import org.toucanspur.schema.Ping
import org.toucanspur.schema.Pong
import org.toucanspur.schema.Revision

private const val OUTGOING_FRAMES = 256
private const val HANDSHAKE_TIMEOUT_MILLIS = 3000L
private const val PINGS_PER_SILENCE = 3

/** What a connection needs from its process. */
interface PeerContext {
    /** Time without a frame after which a busy connection is closed. */
    val silenceMillis: Long

    /** Time between heartbeats of an idle connection. */
    val idlePaceMillis: Long

    /** Revision of the document in force here. */
    val revision: Revision

    /** Reading of the hybrid clock, for heartbeats. */
    val hybridMillis: Long

    /** Called with what each heartbeat of the peer carried. */
    suspend fun onHeartbeat(connection: PeerConnection, revision: Revision, wallMillis: Long)
}

/** One open connection; [peer] is the proven identity of the other side. */
class PeerConnection private constructor(
    val peer: Hello,
    private val socket: Socket,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    private val context: PeerContext
) {
    private val outgoing = Channel<Frame>(OUTGOING_FRAMES)
    private val lastHeardMillis = AtomicLong(monotonicMillis())
    private val peerPaceMillis = AtomicLong(context.idlePaceMillis)
    private val outstanding = AtomicInteger(0)
    private val pingSequence = AtomicLong(0)

    /** Whether the connection was closed because the peer went silent. */
    @Volatile
    var wasSilent = false
        private set

    /** Queues [frame]; returns false when the connection is closed. */
    suspend fun send(frame: Frame): Boolean = try {
        outgoing.send(frame)
        true
    } catch (_: ClosedSendChannelException) {
        false
    }

    /** Notes work that awaits an answer, which makes heartbeats frequent. */
    fun addOutstanding(delta: Int) {
        outstanding.addAndGet(delta)
    }

    /** Sends a heartbeat at once, for example after the revision changed. */
    suspend fun ping(): Boolean = send(
        Ping(pingSequence.incrementAndGet(), context.hybridMillis, context.revision, paceMillis())
    )

    /** Relays frames to [handler] until the connection ends. */
    suspend fun run(handler: suspend (Frame) -> Unit) {
        try {
            coroutineScope {
                launch { writeLoop() }
                launch { heartbeatLoop() }
                readLoop(handler)
            }
        } catch (e: ProtocolException) {
            throw e
        } catch (_: IOException) {
            // The connection ended; the caller learns it from the return.
        } finally {
            close()
        }
    }

    private suspend fun readLoop(handler: suspend (Frame) -> Unit) {
        try {
            while (true) {
                val frame = input.readFrame()
                lastHeardMillis.set(monotonicMillis())
                dispatch(frame, handler)
            }
        } finally {
            close()
        }
    }

    private suspend fun dispatch(frame: Frame, handler: suspend (Frame) -> Unit) {
        when (frame) {
            is Ping -> {
                peerPaceMillis.set(frame.nextWithinMillis)
                send(Pong(frame.sequence, context.hybridMillis, context.revision))
                context.onHeartbeat(this, frame.revision, frame.wallMillis)
            }
            is Pong -> context.onHeartbeat(this, frame.revision, frame.wallMillis)
            else -> handler(frame)
        }
    }

    private suspend fun writeLoop() {
        for (frame in outgoing) {
            output.writeFrame(frame)
            if (outgoing.isEmpty) output.flush()
        }
    }

    private suspend fun heartbeatLoop() {
        while (true) {
            outgoing.trySend(
                Ping(
                    pingSequence.incrementAndGet(),
                    context.hybridMillis,
                    context.revision,
                    paceMillis()
                )
            )
            delay(paceMillis())
            if (monotonicMillis() - lastHeardMillis.get() > silenceLimitMillis()) {
                wasSilent = true
                close()
                return
            }
        }
    }

    private fun paceMillis(): Long = if (outstanding.get() >
        0
    ) {
        context.silenceMillis / PINGS_PER_SILENCE
    } else {
        context.idlePaceMillis
    }

    private fun silenceLimitMillis(): Long = if (outstanding.get() > 0) {
        context.silenceMillis
    } else {
        maxOf(context.silenceMillis, PINGS_PER_SILENCE * context.idlePaceMillis)
    }

    /** Closes the connection. */
    fun close() {
        outgoing.close()
        socket.close()
        input.cancel(IOException("connection closed"))
    }

    companion object {
        /** Authenticates [socket] and returns the connection; closes the socket on failure. */
        suspend fun open(
            socket: Socket,
            handshake: Handshake,
            isDialer: Boolean,
            context: PeerContext
        ): PeerConnection {
            val input = socket.openReadChannel()
            val output = socket.openWriteChannel(autoFlush = false)
            var isOpen = false
            try {
                val peer = withTimeout(HANDSHAKE_TIMEOUT_MILLIS) {
                    handshake.perform(input, output, isDialer)
                }
                isOpen = true
                return PeerConnection(peer, socket, input, output, context)
            } finally {
                if (!isOpen) socket.close()
            }
        }
    }
}
