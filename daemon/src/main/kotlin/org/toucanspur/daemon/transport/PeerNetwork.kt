/*
 * Accepts connections from peers and dials others. A lost connection to a dialled peer is reopened
 * with exponential backoff and jitter.
 */
package org.toucanspur.daemon.transport

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.isClosed
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.toucanspur.core.events.EventCode
import org.toucanspur.daemon.log.EventLog
import org.toucanspur.schema.Frame
import org.toucanspur.schema.VmId
import org.toucanspur.schema.VmRecord

private const val CONNECT_TIMEOUT_MILLIS = 2000L
private const val BACKOFF_MIN_MILLIS = 100L
private const val BACKOFF_MAX_MILLIS = 3000L

/** Receives the lifecycle events and frames of all connections of a process. */
interface PeerHandler {
    /** Called when a connection was opened and authenticated. */
    suspend fun onOpen(connection: PeerConnection)

    /** Called for each frame except heartbeats; the connection reads no frame until it returns. */
    suspend fun onFrame(connection: PeerConnection, frame: Frame)

    /** Called when the connection has ended. */
    suspend fun onClosed(connection: PeerConnection)
}

/** All peer connections of one process. */
class PeerNetwork(
    private val scope: CoroutineScope,
    private val handshake: Handshake,
    private val context: PeerContext,
    private val handler: PeerHandler,
    private val events: EventLog
) {
    private val selector = SelectorManager(Dispatchers.IO)
    private val dialled = ConcurrentHashMap<VmId, DialledPeer>()
    private val accepted = AtomicInteger(0)
    private var listener: ServerSocket? = null

    /**
     * Binds [host] and [port] and accepts up to [connectionsMax] peers; returns the bound port.
     */
    suspend fun listen(host: String, port: Int, connectionsMax: Int): Int {
        val server = aSocket(selector).tcp().bind(host, port) { reuseAddress = true }
        listener = server
        scope.launch { acceptLoop(server, connectionsMax) }
        return (server.localAddress as InetSocketAddress).port
    }

    private suspend fun acceptLoop(server: ServerSocket, connectionsMax: Int) {
        while (!server.isClosed) {
            val socket = try {
                server.accept()
            } catch (_: IOException) {
                continue
            }
            if (accepted.incrementAndGet() > connectionsMax) {
                accepted.decrementAndGet()
                socket.close()
                continue
            }
            scope.launch {
                try {
                    runConnection(socket, isDialer = false)
                } finally {
                    accepted.decrementAndGet()
                }
            }
        }
    }

    /** Dials [peers] and keeps them connected; closes dialled connections to all other peers. */
    suspend fun setDialledPeers(peers: Collection<VmRecord>) {
        val targets = peers.associateBy { it.vm }
        dialled.filter { (vm, dial) -> targets[vm]?.let { isSameAddress(it, dial.record) } != true }
            .forEach { (vm, dial) ->
                dialled.remove(vm)
                dial.job.cancelAndJoin()
            }
        targets.values.forEach { record ->
            dialled.computeIfAbsent(record.vm) {
                DialledPeer(record, scope.launch { dialLoop(record) })
            }
        }
    }

    private fun isSameAddress(left: VmRecord, right: VmRecord): Boolean =
        left.host == right.host && left.peerPort == right.peerPort

    private suspend fun dialLoop(record: VmRecord) {
        var backoffMillis = BACKOFF_MIN_MILLIS
        while (scope.isActive) {
            val connected = dial(record)
            backoffMillis =
                if (connected) BACKOFF_MIN_MILLIS else minOf(backoffMillis * 2, BACKOFF_MAX_MILLIS)
            delay(backoffMillis / 2 + Random.nextLong(backoffMillis))
        }
    }

    private suspend fun dial(record: VmRecord): Boolean {
        val socket = try {
            withTimeout(CONNECT_TIMEOUT_MILLIS) {
                aSocket(selector).tcp().connect(record.host, record.peerPort) { noDelay = true }
            }
        } catch (_: IOException) {
            return false
        } catch (_: TimeoutCancellationException) {
            return false
        }
        return runConnection(socket, isDialer = true)
    }

    private suspend fun runConnection(socket: Socket, isDialer: Boolean): Boolean {
        val connection = try {
            PeerConnection.open(socket, handshake, isDialer, context)
        } catch (e: IOException) {
            events.event(EventCode.PEER_REJECTED) { "handshake failed: ${e.message}" }
            return false
        } catch (_: TimeoutCancellationException) {
            events.event(EventCode.PEER_REJECTED) { "handshake timed out" }
            return false
        }
        handler.onOpen(connection)
        try {
            connection.run { handler.onFrame(connection, it) }
        } catch (e: ProtocolException) {
            events.event(EventCode.PEER_REJECTED) { "peer ${connection.peer.vm}: ${e.message}" }
        } finally {
            logClosed(connection)
            withContext(NonCancellable) { handler.onClosed(connection) }
        }
        return true
    }

    private fun logClosed(connection: PeerConnection) {
        val code = if (connection.hasTimedOut) EventCode.PEER_TIMED_OUT else EventCode.PEER_LOST
        events.event(code) { "connection to ${connection.peer.vm} closed" }
    }

    /** Stops listening and cancels the dial loops with their connections. */
    fun close() {
        listener?.close()
        dialled.values.forEach { it.job.cancel() }
        selector.close()
    }

    private class DialledPeer(val record: VmRecord, val job: Job)
}
