/*
 * The connections of an entry to agents, and the frames of each request that come back on them.
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

/** Frames of one request on one connection; the channel closes when the connection ends. */
class RequestLink(val id: RequestId, val connection: PeerConnection) {
    /** Frames in the order of arrival; their bytes are bounded by the credit granted. */
    val frames = Channel<Frame>(Channel.UNLIMITED)
}

/** Open connections to agents. Safe for use by several threads. */
class AgentLinks {
    private val connections = ConcurrentHashMap<VmId, PeerConnection>()
    private val requests = ConcurrentHashMap<RequestId, RequestLink>()
    private val changes = MutableStateFlow(0L)

    /** Adds an open connection. */
    fun onOpen(connection: PeerConnection) {
        connections[connection.peer.vm] = connection
        signal()
    }

    /** Removes a connection and tells its requests; returns false when a later one replaced it. */
    fun onClosed(connection: PeerConnection): Boolean {
        val isLast = connections.remove(connection.peer.vm, connection)
        requests.values.filter { it.connection === connection }.forEach { it.frames.close() }
        signal()
        return isLast
    }

    private fun signal() = synchronized(changes) { changes.value++ }

    /** Routes an answer frame to its request; frames of requests that are gone are dropped. */
    fun onFrame(connection: PeerConnection, frame: Frame): Boolean {
        val id = when (frame) {
            is Head -> frame.requestId
            is Part -> frame.requestId
            is End -> frame.requestId
            is Refused -> frame.requestId
            else -> return false
        }
        val link = requests[id]
        if (link != null && link.connection === connection) link.frames.trySend(frame)
        return true
    }

    /** The connection to [vm], if it is open and belongs to [incarnation]. */
    fun connection(vm: VmId, incarnation: Incarnation): PeerConnection? =
        connections[vm]?.takeIf { it.peer.incarnation == incarnation }

    /** Whether [vm] is connected under another life than [incarnation]. */
    fun isOtherLife(vm: VmId, incarnation: Incarnation): Boolean =
        connections[vm]?.let { it.peer.incarnation != incarnation } ?: false

    /** Waits for a connection to this life of [vm]; null when it is gone or does not come back. */
    suspend fun awaitConnection(
        vm: VmId,
        incarnation: Incarnation,
        timeoutMillis: Long
    ): PeerConnection? = withTimeoutOrNull(timeoutMillis) {
        changes.first { connection(vm, incarnation) != null || isOtherLife(vm, incarnation) }
        connection(vm, incarnation)
    }

    /** Starts to receive the frames of a request over [connection]. */
    fun open(id: RequestId, connection: PeerConnection): RequestLink {
        val link = RequestLink(id, connection)
        requests[id] = link
        connection.addOutstanding(1)
        if (connections[connection.peer.vm] !== connection) link.frames.close()
        return link
    }

    /** Stops receiving. */
    fun release(link: RequestLink) {
        requests.remove(link.id, link)
        link.connection.addOutstanding(-1)
    }
}
