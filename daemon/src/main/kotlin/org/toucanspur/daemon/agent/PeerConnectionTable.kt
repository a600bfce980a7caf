/*
 * The open connections of an agent to other agents and to entries.
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

/** Latest open connection to each VM. Thread-safe. */
class PeerConnectionTable {
    private val agents = ConcurrentHashMap<VmId, PeerConnection>()
    private val entries = ConcurrentHashMap<VmId, PeerConnection>()
    private val requiredRemotes = MutableStateFlow<Set<VmId>>(emptySet())
    private val openedCount = MutableStateFlow(0L)

    /** Adds an open connection; it replaces an earlier one to the same VM. */
    fun add(connection: PeerConnection) {
        tableOf(connection)[connection.peer.vm] = connection
        openedCount.update { it + 1 }
    }

    /** Removes a connection; returns false when a later one has replaced it. */
    fun remove(connection: PeerConnection): Boolean =
        tableOf(connection).remove(connection.peer.vm, connection)

    private fun tableOf(connection: PeerConnection) =
        if (connection.peer.role == VmRole.AGENT) agents else entries

    /** Sends [frame] to the agent of [vm]; returns false when it is not connected. */
    suspend fun send(vm: VmId, frame: Frame): Boolean = agents[vm]?.send(frame) ?: false

    /** Sends [frame] to all connected agents. */
    suspend fun broadcast(frame: Frame) {
        agents.values.forEach { it.send(frame) }
    }

    /** Sends [frame] to all connected entries. */
    suspend fun broadcastToEntries(frame: Frame) {
        entries.values.forEach { it.send(frame) }
    }

    /** Requests a connection to an agent of another region and waits for it for a limited time. */
    suspend fun awaitRemoteAgent(vm: VmId) {
        if (agents.containsKey(vm)) return
        requiredRemotes.update { it + vm }
        withTimeoutOrNull(REMOTE_CONNECT_MILLIS) { openedCount.first { agents.containsKey(vm) } }
    }

    /** Agents of other regions to which a connection was requested. */
    val remoteAgents: StateFlow<Set<VmId>> get() = requiredRemotes

    /** A random connected agent, or null when there is none. */
    fun randomAgent(): VmId? = agents.keys.randomOrNull()
}
