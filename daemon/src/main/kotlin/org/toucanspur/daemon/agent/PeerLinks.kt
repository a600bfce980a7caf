/*
 * The open connections of an agent to its neighbours and to entries.
 */
package org.toucanspur.daemon.agent

import java.util.concurrent.ConcurrentHashMap
import org.toucanspur.daemon.transport.PeerConnection
import org.toucanspur.schema.Frame
import org.toucanspur.schema.VmId
import org.toucanspur.schema.VmRole

/** Connections by VM, the latest one counts. Safe for use by several threads. */
class PeerLinks {
    private val agents = ConcurrentHashMap<VmId, PeerConnection>()
    private val entries = ConcurrentHashMap<VmId, PeerConnection>()

    /** Adds an open connection. */
    fun add(connection: PeerConnection) {
        tableOf(connection)[connection.peer.vm] = connection
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

    /** Some connected agent. */
    fun randomPeer(): VmId? = agents.keys.randomOrNull()
}
