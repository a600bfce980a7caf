/*
 * Listening for peers and dialling them. Dialled peers are kept connected: a lost connection is
 * replaced after a short, growing, jittered pause.
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

/** Receives the life of every connection of a process. */
interface PeerHandler {
    /** A connection was opened and authenticated. */
    suspend fun onOpen(connection: PeerConnection)

    /** A frame other than a heartbeat arrived; slow handling holds up the connection. */
    suspend fun onFrame(connection: PeerConnection, frame: Frame)

    /** The connection ended. */
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
    private val dialled = ConcurrentHashMap<VmId, Dialled>()
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
                    serve(socket, isDialer = false)
                } finally {
                    accepted.decrementAndGet()
                }
            }
        }
    }

    /** Keeps connections to exactly [peers]; others that were dialled before are closed. */
    suspend fun keepDialled(peers: Collection<VmRecord>) {
        val wanted = peers.associateBy { it.vm }
        dialled.filter { (vm, dial) -> wanted[vm]?.let { isSameAddress(it, dial.record) } != true }
            .forEach { (vm, dial) ->
                dialled.remove(vm)
                dial.job.cancelAndJoin()
            }
        wanted.values.forEach { record ->
            dialled.computeIfAbsent(record.vm) {
                Dialled(record, scope.launch { dialLoop(record) })
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
        return serve(socket, isDialer = true)
    }

    private suspend fun serve(socket: Socket, isDialer: Boolean): Boolean {
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
            reportEnd(connection)
            withContext(NonCancellable) { handler.onClosed(connection) }
        }
        return true
    }

    private fun reportEnd(connection: PeerConnection) {
        val code = if (connection.wasSilent) EventCode.PEER_TIMED_OUT else EventCode.PEER_LOST
        events.event(code) { "connection to ${connection.peer.vm} ended" }
    }

    /** Stops listening and closes all dialled connections. */
    fun close() {
        listener?.close()
        dialled.values.forEach { it.job.cancel() }
        selector.close()
    }

    private class Dialled(val record: VmRecord, val job: Job)
}
