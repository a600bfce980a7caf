/*
 * An authenticated connection to another process. It multiplexes all traffic between the two
 * processes, replies to heartbeats and closes itself when no frame arrives for too long, because a
 * network device in between can drop the connection without notice to either end.
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

private const val OUTGOING_QUEUE_CAPACITY = 256
private const val HANDSHAKE_TIMEOUT_MILLIS = 3000L
private const val PINGS_PER_TIMEOUT = 3

/** Process state and callbacks that a connection needs. */
interface PeerContext {
    /** Time without a frame after which a connection with outstanding work is closed. */
    val silenceMillis: Long

    /** Time between heartbeats of an idle connection. */
    val idleHeartbeatMillis: Long

    /** Revision of the configuration document that this process has applied. */
    val revision: Revision

    /** Current time of the hybrid logical clock, sent in heartbeats. */
    val hybridClockMillis: Long

    /** Called with the contents of each heartbeat from the peer. */
    suspend fun onHeartbeat(connection: PeerConnection, revision: Revision, wallMillis: Long)
}

/** One open connection; [peer] is the authenticated identity of the other side. */
class PeerConnection private constructor(
    val peer: Hello,
    private val socket: Socket,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    private val context: PeerContext
) {
    private val outgoing = Channel<Frame>(OUTGOING_QUEUE_CAPACITY)
    private val lastFrameMillis = AtomicLong(monotonicMillis())
    private val peerHeartbeatIntervalMillis = AtomicLong(context.idleHeartbeatMillis)
    private val outstanding = AtomicInteger(0)
    private val pingSequence = AtomicLong(0)

    /** Whether the connection was closed because no frame arrived within the timeout. */
    @Volatile
    var hasTimedOut = false
        private set

    /** Queues [frame], suspending while the queue is full; returns false on a closed connection. */
    suspend fun send(frame: Frame): Boolean = try {
        outgoing.send(frame)
        true
    } catch (_: ClosedSendChannelException) {
        false
    }

    /** Changes the count of outstanding work, during which heartbeats are more frequent. */
    fun addOutstanding(delta: Int) {
        outstanding.addAndGet(delta)
    }

    /** Sends a heartbeat immediately, for example after a new revision. */
    suspend fun ping(): Boolean = send(
        Ping(
            pingSequence.incrementAndGet(),
            context.hybridClockMillis,
            context.revision,
            heartbeatIntervalMillis()
        )
    )

    /** Passes incoming frames to [handler] until the connection ends. */
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
            // The connection ended; returning reports this to the caller.
        } finally {
            close()
        }
    }

    private suspend fun readLoop(handler: suspend (Frame) -> Unit) {
        try {
            while (true) {
                val frame = input.readFrame()
                lastFrameMillis.set(monotonicMillis())
                dispatch(frame, handler)
            }
        } finally {
            close()
        }
    }

    private suspend fun dispatch(frame: Frame, handler: suspend (Frame) -> Unit) {
        when (frame) {
            is Ping -> {
                peerHeartbeatIntervalMillis.set(frame.nextWithinMillis)
                send(Pong(frame.sequence, context.hybridClockMillis, context.revision))
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
                    context.hybridClockMillis,
                    context.revision,
                    heartbeatIntervalMillis()
                )
            )
            delay(heartbeatIntervalMillis())
            if (monotonicMillis() - lastFrameMillis.get() > silenceTimeoutMillis()) {
                hasTimedOut = true
                close()
                return
            }
        }
    }

    private fun heartbeatIntervalMillis(): Long = if (outstanding.get() >
        0
    ) {
        context.silenceMillis / PINGS_PER_TIMEOUT
    } else {
        context.idleHeartbeatMillis
    }

    private fun silenceTimeoutMillis(): Long = if (outstanding.get() > 0) {
        context.silenceMillis
    } else {
        maxOf(context.silenceMillis, PINGS_PER_TIMEOUT * context.idleHeartbeatMillis)
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
