/*
 * The entry role: serves callers, maintains connections to agents and follows the
 * configuration document.
 */
package org.toucanspur.daemon.entry

import io.ktor.server.engine.EmbeddedServer
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.combine
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.membership.EndpointTable
import org.toucanspur.core.membership.selectAgents
import org.toucanspur.core.routing.OutlierDetector
import org.toucanspur.daemon.PoisonService
import org.toucanspur.daemon.ProcessBase
import org.toucanspur.daemon.admin.AdminSource
import org.toucanspur.daemon.admin.adminRoutes
import org.toucanspur.daemon.log.EventLog
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.transport.PeerConnection
import org.toucanspur.daemon.transport.PeerHandler
import org.toucanspur.daemon.transport.PeerNetwork
import org.toucanspur.schema.EndpointStatus
import org.toucanspur.schema.EnvironmentConfiguration
import org.toucanspur.schema.Frame
import org.toucanspur.schema.ProcessStatus
import org.toucanspur.schema.Report
import org.toucanspur.schema.VmRole

private const val BYTES_PER_KIB = 1024L
private const val ENDPOINT_STALE_MILLIS = 5000L
private const val DRAIN_POLL_MILLIS = 50L
private const val MILLIS_PER_SECOND = 1000L
private const val STOP_GRACE_MILLIS = 200L
private const val STOP_TIMEOUT_MILLIS = 1000L

/**
 * An entry process. [start] runs it, [shutdown] drains open requests before it stops, and [close]
 * stops it immediately.
 */
class EntryNode(private val base: ProcessBase) :
    PeerHandler,
    CallerContext,
    AdminSource {
    private val settings = base.settings
    private val agentConnections = AgentConnections()
    private val outliers = OutlierDetector()
    private val endpointTable = EndpointTable(ENDPOINT_STALE_MILLIS, outliers)
    private val poisonService = PoisonService(settings.daemon.environment, base.store, base.events)
    private val peerNetwork = PeerNetwork(base.scope, base.handshake, base, this, base.events)
    private val openRequests = AtomicInteger(0)
    private lateinit var server: EmbeddedServer<*, *>

    @Volatile
    private var isDraining = false

    override val events: EventLog get() = base.events

    override val dispatcher = Dispatcher(
        settings.daemon,
        base.store,
        agentConnections,
        endpointTable,
        outliers,
        base.events,
        settings.streams.windowKib * BYTES_PER_KIB
    ) { base.documents.documents.value }

    /** Bound port for callers, metrics and probes. */
    var httpPort = 0
        private set

    /** Bound port for peers. */
    var peerPort = 0
        private set

    /** Binds the ports and starts all services. */
    suspend fun start() {
        base.metrics.gauge("toucanspur.entry.requests.open", openRequests)
        server = callerServer(settings.listen) {
            adminRoutes(base, this@EntryNode)
            callerRoutes(this@EntryNode)
        }
        server.start(wait = false)
        httpPort = server.engine.resolvedConnectors().first().port
        peerPort =
            peerNetwork.listen(
                settings.listen.host,
                settings.listen.peerPort,
                settings.listen.connectionsMax
            )
        base.start()
        poisonService.start(base.scope)
        base.scope.launch { maintainAgentConnections() }
    }

    private suspend fun maintainAgentConnections() {
        combine(base.documents.documents, base.vms) { document, vms -> document to vms }
            .collect { (document, vms) ->
                val pools = document?.configuration?.pools.orEmpty().map { it.id }.toSet()
                val agents = selectAgents(
                    settings.daemon.vm,
                    settings.daemon.region,
                    vms,
                    pools,
                    settings.listen.peersWantedMax
                )
                peerNetwork.setDialledPeers(agents)
            }
    }

    override fun configuration(): EnvironmentConfiguration? =
        base.documents.documents.value?.configuration

    override suspend fun track(block: suspend () -> Unit): Boolean {
        openRequests.incrementAndGet()
        try {
            if (isDraining) return false
            block()
            return true
        } finally {
            openRequests.decrementAndGet()
        }
    }

    override suspend fun onOpen(connection: PeerConnection) {
        base.connections.incrementAndGet()
        agentConnections.onOpen(connection)
        base.documents.onOpen(connection)
        poisonService.onOpen(connection)
        base.events.event(EventCode.PEER_CONNECTED) { "${connection.peer.vm}" }
    }

    override suspend fun onFrame(connection: PeerConnection, frame: Frame) {
        if (frame is Report) {
            endpointTable.onReport(frame.status, monotonicMillis())
            base.documents.onRevision(connection, frame.status.revision)
            return
        }
        agentConnections.onFrame(connection, frame) ||
            base.documents.onFrame(connection, frame) ||
            poisonService.onFrame(frame)
    }

    override suspend fun onClosed(connection: PeerConnection) {
        base.connections.decrementAndGet()
        if (agentConnections.onClosed(connection)) endpointTable.onLost(connection.peer.vm)
        base.documents.onClosed(connection)
        poisonService.onClosed(connection)
    }

    override fun processStatus(): ProcessStatus = ProcessStatus(
        settings.daemon.vm,
        VmRole.ENTRY,
        settings.daemon.zone,
        base.identity.incarnation,
        base.revision,
        ready = base.revision.value > 0 && !isDraining
    )

    override fun endpoints(): List<EndpointStatus> = endpointTable.statuses(monotonicMillis())

    /**
     * Refuses new requests as not executed, waits for the open ones until the drain timeout and
     * stops.
     */
    suspend fun shutdown() {
        base.events.event(EventCode.STOPPING) { "draining open requests" }
        isDraining = true
        withTimeoutOrNull(settings.daemon.drainSeconds * MILLIS_PER_SECOND) {
            while (openRequests.get() > 0) delay(DRAIN_POLL_MILLIS)
        }
        base.events.event(EventCode.STOPPED) { "${openRequests.get()} requests still open" }
        close()
    }

    /** Stops without draining open requests, like a killed process. */
    fun close() {
        peerNetwork.close()
        server.stop(STOP_GRACE_MILLIS, STOP_TIMEOUT_MILLIS)
        base.close()
    }
}
