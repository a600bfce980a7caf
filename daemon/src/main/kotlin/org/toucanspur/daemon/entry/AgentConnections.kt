/*
 * The connections of an entry to agents, and the response frames of requests that are multiplexed
 * over them.
 */
package org.toucanspur.daemon.entry

import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.toucanspur.daemon.transport.PeerConnection
import org.toucanspur.schema.End
import org.toucanspur.schema.Frame
import org.toucanspur.schema.Head
import org.toucanspur.schema.Incarnation
import org.toucanspur.schema.Part
import org.toucanspur.schema.Refused
import org.toucanspur.schema.RequestId
import org.toucanspur.schema.VmId

/**
 * The response frames of one request on one connection. The channel closes when the connection is
 * lost.
 */
class RequestStream(val id: RequestId, val connection: PeerConnection) {
    /** Frames in order of arrival; the granted credit bounds the buffered bytes. */
    val frames = Channel<Frame>(Channel.UNLIMITED)
}

/** Open connections to agents. Thread-safe. */
class AgentConnections {
    private val connections = ConcurrentHashMap<VmId, PeerConnection>()
    private val streams = ConcurrentHashMap<RequestId, RequestStream>()
    private val changeCount = MutableStateFlow(0L)

    /** Registers an open connection; replaces an earlier one to the same VM. */
    fun onOpen(connection: PeerConnection) {
        connections[connection.peer.vm] = connection
        notifyChange()
    }

    /**
     * Removes a connection and closes the streams on it; returns false if a later connection to the
     * same VM has replaced it.
     */
    fun onClosed(connection: PeerConnection): Boolean {
        val isCurrent = connections.remove(connection.peer.vm, connection)
        streams.values.filter { it.connection === connection }.forEach { it.frames.close() }
        notifyChange()
        return isCurrent
    }

    private fun notifyChange() = synchronized(changeCount) { changeCount.value++ }

    /**
     * Passes a response frame to the stream of its request, or drops it if the stream is closed.
     * Returns false for other frames.
     */
    fun onFrame(connection: PeerConnection, frame: Frame): Boolean {
        val id = when (frame) {
            is Head -> frame.requestId
            is Part -> frame.requestId
            is End -> frame.requestId
            is Refused -> frame.requestId
            else -> return false
        }
        val stream = streams[id]
        if (stream != null && stream.connection === connection) stream.frames.trySend(frame)
        return true
    }

    /** The connection to [vm], if it is open and belongs to [incarnation]. */
    fun connection(vm: VmId, incarnation: Incarnation): PeerConnection? =
        connections[vm]?.takeIf { it.peer.incarnation == incarnation }

    /** Whether the connected agent on [vm] has an incarnation other than [incarnation]. */
    fun hasOtherIncarnation(vm: VmId, incarnation: Incarnation): Boolean =
        connections[vm]?.let { it.peer.incarnation != incarnation } ?: false

    /**
     * Waits for a connection to [incarnation] of [vm]; null if another incarnation connects or the
     * wait times out.
     */
    suspend fun awaitConnection(
        vm: VmId,
        incarnation: Incarnation,
        timeoutMillis: Long
    ): PeerConnection? = withTimeoutOrNull(timeoutMillis) {
        changeCount.first {
            connection(vm, incarnation) != null || hasOtherIncarnation(vm, incarnation)
        }
        connection(vm, incarnation)
    }

    /**
     * Opens a stream that receives the frames of request [id] over [connection]. It replaces an
     * earlier stream with the same id, which receives no further frames.
     */
    fun openStream(id: RequestId, connection: PeerConnection): RequestStream {
        val stream = RequestStream(id, connection)
        streams[id] = stream
        connection.addOutstanding(1)
        if (connections[connection.peer.vm] !== connection) stream.frames.close()
        return stream
    }

    /** Closes [stream], so that later frames of its request are dropped. */
    fun closeStream(stream: RequestStream) {
        streams.remove(stream.id, stream)
        stream.connection.addOutstanding(-1)
    }
}
