/*
 * The open connections of an agent to its neighbours and to entries.
 */
package org.toucanspur.daemon.agent

import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull
import org.toucanspur.daemon.transport.PeerConnection
import org.toucanspur.schema.Frame
import org.toucanspur.schema.VmId
import org.toucanspur.schema.VmRole

private const val REMOTE_CONNECT_MILLIS = 3000L

/** Connections by VM, the latest one counts. Safe for use by several threads. */
class PeerLinks {
    private val agents = ConcurrentHashMap<VmId, PeerConnection>()
    private val entries = ConcurrentHashMap<VmId, PeerConnection>()
    private val remotes = MutableStateFlow<Set<VmId>>(emptySet())
    private val opened = MutableStateFlow(0L)

    /** Adds an open connection. */
    fun add(connection: PeerConnection) {
        tableOf(connection)[connection.peer.vm] = connection
        opened.update { it + 1 }
    }

    /** Removes a connection; returns false when a later one has replaced it. */
    fun remove(connection: PeerConnection): Boolean =
        tableOf(connection).remove(connection.peer.vm, connection)

    private fun tableOf(connection: PeerConnection) =
        if (connection.peer.role == VmRole.AGENT) agents else entries

    /** Sends [frame] to the agent of [vm]; returns false when it is not connected. */
    suspend fun send(vm: VmId, frame: Frame): Boolean = agents[vm]?.send(frame) ?: false

    /** Sends [frame] to all agents that are connected. */
    suspend fun broadcast(frame: Frame) {
        agents.values.forEach { it.send(frame) }
    }

    /** Sends [frame] to all entries that are connected. */
    suspend fun toEntries(frame: Frame) {
        entries.values.forEach { it.send(frame) }
    }

    /** Waits for a connection to an agent of another region, which is dialled on demand. */
    suspend fun requireRemote(vm: VmId) {
        if (agents.containsKey(vm)) return
        remotes.update { it + vm }
        withTimeoutOrNull(REMOTE_CONNECT_MILLIS) { opened.first { agents.containsKey(vm) } }
    }

    /** Agents of other regions that are needed. */
    val remoteAgents: StateFlow<Set<VmId>> get() = remotes

    /** Some connected agent. */
    fun randomPeer(): VmId? = agents.keys.randomOrNull()
}
