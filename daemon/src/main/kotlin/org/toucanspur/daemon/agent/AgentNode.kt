/*
 * The agent role: creates the services of one endpoint and applies changes of the configuration
 * document.
 */
package org.toucanspur.daemon.agent

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import java.io.IOException
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.combine
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.toucanspur.core.admission.AdmissionSettings
import org.toucanspur.core.admission.ConcurrencyLimitSettings
import org.toucanspur.core.config.AdoptedDocument
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.platform.ObjectKeys
import org.toucanspur.core.requests.PoisonStatus
import org.toucanspur.core.weights.LoadOrderTiming
import org.toucanspur.core.weights.Manifest
import org.toucanspur.core.weights.RolloutCandidate
import org.toucanspur.core.weights.RolloutLimits
import org.toucanspur.core.weights.directShare
import org.toucanspur.core.weights.neighboursOf
import org.toucanspur.daemon.PoisonService
import org.toucanspur.daemon.ProcessBase
import org.toucanspur.daemon.admin.AdminSource
import org.toucanspur.daemon.admin.adminRoutes
import org.toucanspur.daemon.platform.HttpWeightStore
import org.toucanspur.daemon.transport.PeerConnection
import org.toucanspur.daemon.transport.PeerHandler
import org.toucanspur.daemon.transport.PeerNetwork
import org.toucanspur.schema.ChunkDigest
import org.toucanspur.schema.EndpointStatus
import org.toucanspur.schema.Frame
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.PoolKind
import org.toucanspur.schema.PoolSection
import org.toucanspur.schema.ProcessStatus
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.Report
import org.toucanspur.schema.Submit
import org.toucanspur.schema.VmId
import org.toucanspur.schema.VmRecord
import org.toucanspur.schema.VmRole
import org.toucanspur.schema.VmState
import org.toucanspur.schema.ZoneId
import org.toucanspur.schema.ZoneState

private const val RECONCILE_MILLIS = 300L
private const val CRASH_PROBE_MILLIS = 300L
private const val RENEWALS_PER_LEASE = 3
private const val DRAIN_POLL_MILLIS = 50L
private const val LOAD_ATTEMPTS_MAX = 3
private const val BYTES_PER_KIB = 1024L

/** One agent; call [start], and [shutdown] to stop it after its running requests finish. */
class AgentNode(private val base: ProcessBase) :
    PeerHandler,
    RequestServiceContext,
    AdminSource {
    private val settings = base.settings
    private val self = settings.daemon.vm
    private val poolId = settings.endpoint.pool
    private val environment = settings.daemon.environment
    private val endpoint = EndpointClient(settings.endpoint.url)
    private val connections = PeerConnectionTable()
    private val poison = PoisonService(environment, base.store, base.events)
    private val weightStore = HttpWeightStore(
        base.http,
        settings.platform.weightStoreUrl,
        settings.platform.timeoutMillis.toLong()
    )
    private val weights =
        WeightService(self, base.scope, weightStore, settings.weights, connections, base.events)
    private val rollout =
        RolloutService(ObjectKeys.rollout(environment, poolId.value), base.store, base.events)
    private val network = PeerNetwork(base.scope, base.handshake, base, this, base.events)
    private val requests = RequestService(
        base.scope,
        base.identity.incarnation,
        endpoint,
        settings.streams,
        gateSettings(null),
        ::shareOf,
        this,
        base.events,
        base.metrics
    )
    private val sequence = AtomicLong(0)
    private lateinit var server: EmbeddedServer<*, *>
    private lateinit var orders: OrderService

    @Volatile
    private var isDraining = false

    private val exchangeMutex = Mutex()
    private var exchangedReleases: Set<ReleaseDigest> = emptySet()

    @Volatile
    private var isServiceHealthy = false

    @Volatile
    private var lastServedRelease: ReleaseDigest? = null
    private var failedRelease: ReleaseDigest? = null
    private var isFailureRecorded = false

    /** HTTP port for the local engine, metrics and probes. */
    var httpPort = 0
        private set

    /** Port for peer connections. */
    var peerPort = 0
        private set

    private val document: AdoptedDocument? get() = base.documents.documents.value
    private val pool: PoolSection? get() = document?.configuration?.pools?.find { it.id == poolId }
    private val isEngine: Boolean get() = pool?.kind == PoolKind.ENGINE

    /** Release that the configuration document requires of the endpoint. */
    private val desiredRelease: ReleaseDigest?
        get() = document?.configuration?.models?.find { it.id == pool?.model }?.digest

    /** Binds the ports and starts all services. */
    suspend fun start() {
        server = embeddedServer(CIO, port = settings.listen.httpPort, host = settings.listen.host) {
            routing {
                adminRoutes(base, this@AgentNode)
                localWeightRoutes()
            }
        }
        server.start(wait = false)
        httpPort = server.engine.resolvedConnectors().first().port
        peerPort =
            network.listen(
                settings.listen.host,
                settings.listen.peerPort,
                settings.listen.connectionsMax
            )
        orders = OrderService(
            base.identity,
            orderTiming(),
            ObjectKeys.lease(environment, self.value),
            base.store,
            endpoint,
            "http://${settings.listen.host}:$httpPort/local",
            base.events
        )
        base.start()
        poison.start(base.scope)
        base.scope.launch { watchDocument() }
        base.scope.launch {
            connections.remoteAgents.collect { updateWeightExchange(base.vms.value) }
        }
        base.scope.launch { watchEngine() }
        base.scope.launch { reconcileLoop() }
        base.scope.launch { reportLoop() }
    }

    private fun orderTiming(): LoadOrderTiming {
        val leaseMillis = settings.lease.durationMillis.toLong()
        return LoadOrderTiming(
            leaseMillis = leaseMillis,
            renewMillis = leaseMillis / RENEWALS_PER_LEASE
        )
    }

    private fun gateSettings(pool: PoolSection?): AdmissionSettings = if (pool == null) {
        AdmissionSettings(ConcurrencyLimitSettings(1, 1), heldMax = 0, heldBytesMax = 0)
    } else {
        AdmissionSettings(
            ConcurrencyLimitSettings(pool.coldConcurrent, pool.concurrentMax),
            pool.heldMax,
            pool.heldKib * BYTES_PER_KIB
        )
    }

    private fun shareOf(organisation: OrganisationId): Int =
        document?.configuration?.organisations?.find { it.id == organisation }?.share ?: 1

    private suspend fun watchDocument() {
        combine(base.documents.documents, base.vms) { document, vms -> document to vms }
            .collect { (_, vms) ->
                pool?.let { requests.configure(gateSettings(it)) }
                if (isZoneOutOfService()) {
                    requests.drain()
                } else if (!isDraining) {
                    requests.undrain()
                }
                updateWeightExchange(vms)
                report()
            }
    }

    private suspend fun updateWeightExchange(vms: List<VmRecord>) = exchangeMutex.withLock {
        val peers = vms.filter { isExchangePeer(it) }
        val regionVms = peers.filter { it.region == settings.daemon.region }.map { it.vm }
        val neighbours = neighboursOf(self, regionVms, settings.weights.neighbours, poolId.value)
        val dialled = neighbours.filter { self.value < it.value } + connections.remoteAgents.value
        network.setDialledPeers(vms.filter { it.vm in dialled })
        weights.remoteVms = vms.filter { it.region != settings.daemon.region }.map { it.vm }.toSet()
        val members = releaseMembers(peers, regionVms)
        weights.setReleases(
            if (isEngine) neededReleases().associateWith { members } else emptyMap()
        )
    }

    // The release served last is kept until the endpoint serves the desired one.
    private fun neededReleases(): Set<ReleaseDigest> =
        setOfNotNull(desiredRelease, rollout.record?.previous, orders.target, lastServedRelease)

    private fun releaseMembers(peers: List<VmRecord>, regionVms: List<VmId>): ReleaseMembers {
        val storeRegion = settings.platform.weightStoreRegion
        if (storeRegion.value == "any" || storeRegion == settings.daemon.region) {
            return ReleaseMembers(regionVms)
        }
        val storeRegionVms = peers.filter { it.region == storeRegion }.map { it.vm }
        val regionCount = peers.map { it.region }.distinct().size
        return ReleaseMembers(
            regionVms,
            storeRegionVms,
            directShare(storeRegionVms.size, regionCount)
        )
    }

    private fun isExchangePeer(record: VmRecord): Boolean {
        val pools = document?.configuration?.pools.orEmpty()
        val sameModelPools = pools
            .filter { it.kind == PoolKind.ENGINE && it.model == pool?.model }
            .map { it.id }
        return record.role == VmRole.AGENT &&
            record.state == VmState.LIVE &&
            record.pool in sameModelPools
    }

    // Endpoints that are not engines hold no weights, so they need no lease and no load orders.
    private suspend fun watchEngine() {
        base.documents.documents.first { pool != null }
        if (!isEngine) return
        orders.start(base.scope)
        base.scope.launch {
            orders.routable.collect {
                if (it != null) lastServedRelease = it
                requests.setOpen(isRoutable())
                report()
            }
        }
        var lastIncarnation: Long? = null
        orders.engineIncarnation.collect { incarnation ->
            if (lastIncarnation != null && incarnation != lastIncarnation) {
                requests.resetToColdLimit()
                base.events.event(EventCode.ENDPOINT_COLD) { "engine was restarted" }
            }
            lastIncarnation = incarnation
        }
    }

    private suspend fun reconcileLoop() {
        while (true) {
            if (isEngine) reconcileRelease() else probeService()
            delay(RECONCILE_MILLIS)
        }
    }

    private suspend fun probeService() {
        if (pool == null) return
        val isHealthy = endpoint.isHealthy()
        if (isHealthy == isServiceHealthy) return
        isServiceHealthy = isHealthy
        requests.setOpen(isRoutable())
        report()
    }

    private suspend fun reconcileRelease() {
        val target = desiredRelease ?: return
        val serving = orders.routable.value
        val needed = neededReleases()
        if (needed != exchangedReleases) {
            updateWeightExchange(base.vms.value)
            exchangedReleases = needed
        }
        if (serving == target) {
            if (self !in rollout.record?.confirmed.orEmpty()) rollout.confirm(self, target)
            return
        }
        if (weights.progress(target)?.isComplete != true) return
        val limits = RolloutLimits(pool?.unavailableMax ?: 1)
        if (hasFailedOn(target)) {
            fallBackToPrevious(target, limits)
            return
        }
        val candidate = RolloutCandidate(self, settings.daemon.zone, serving)
        rollout.releaseToLoad(target, candidate, limits, ::zoneOf)?.let { orderLoad(it) }
    }

    private suspend fun orderLoad(release: ReleaseDigest) {
        if (weights.progress(release)?.isComplete == true) orders.setTarget(release)
    }

    // A release that failed on this VM is retried only once the rollout record has a confirmation.
    private fun hasFailedOn(target: ReleaseDigest): Boolean {
        if (orders.target == target && orders.failedLoads >= LOAD_ATTEMPTS_MAX) {
            failedRelease = target
            isFailureRecorded = false
        }
        val isConfirmedOnAnyVm =
            rollout.record?.let { it.release == target && it.confirmed.isNotEmpty() }
        return failedRelease == target && isConfirmedOnAnyVm != true
    }

    private suspend fun fallBackToPrevious(target: ReleaseDigest, limits: RolloutLimits) {
        if (!isFailureRecorded) isFailureRecorded = rollout.fail(self, target, limits)
        rollout.record?.previous?.let { orderLoad(it) }
    }

    private fun zoneOf(vm: VmId): ZoneId? =
        base.vms.value.find { it.vm == vm && it.state == VmState.LIVE }?.zone

    private fun isZoneOutOfService(): Boolean =
        document?.configuration?.zones?.find { it.id == settings.daemon.zone }?.state ==
            ZoneState.OUT

    private fun isRoutable(): Boolean =
        if (isEngine) orders.routable.value != null else isServiceHealthy

    private suspend fun reportLoop() {
        while (true) {
            report()
            delay(base.idleHeartbeatMillis)
        }
    }

    private suspend fun report() = connections.broadcastToEntries(Report(status()))

    private fun status(): EndpointStatus {
        val load = requests.load()
        return EndpointStatus(
            self,
            base.identity.incarnation,
            poolId,
            settings.daemon.zone,
            settings.daemon.region,
            sequence.incrementAndGet(),
            base.revision,
            orders.routable.value,
            load.limit,
            load.running,
            load.held,
            load.isAccepting && !isDraining && !isZoneOutOfService() && isRoutable()
        )
    }

    override fun refusalReason(submit: Submit): String? = when {
        isDraining -> "the endpoint is draining; choose another one"
        isZoneOutOfService() ->
            "zone ${settings.daemon.zone} is out of service; choose another endpoint"
        pool == null ->
            "pool $poolId is not in the configuration document; check the agent's settings"
        isEngine && orders.routable.value == null ->
            "the endpoint has no confirmed release; choose another one"
        submit.release != null && submit.release != orders.routable.value ->
            "the endpoint serves another release; choose another one"
        else -> null
    }

    override val canResume: Boolean get() = isEngine

    override fun poisonStatusOf(fingerprint: String): PoisonStatus =
        poison.poisonStatusOf(fingerprint)

    override suspend fun onEndpointFailure(running: Collection<Submit>) {
        if (!hasCrashed()) return
        requests.resetToColdLimit()
        poison.countCrash(running.map { it.fingerprint }.toSet())
    }

    // A failed call alone does not prove a crash: the endpoint must be unreachable, or its engine
    // must have restarted.
    private suspend fun hasCrashed(): Boolean {
        if (!isEngine) return !endpoint.isHealthy()
        val previousIncarnation = orders.engineIncarnation.value
        return try {
            endpoint.status().life != previousIncarnation
        } catch (_: IOException) {
            delay(CRASH_PROBE_MILLIS)
            true
        }
    }

    override suspend fun onFinished(submit: Submit) = poison.clear(submit.fingerprint)

    override suspend fun onOpen(connection: PeerConnection) {
        base.connections.incrementAndGet()
        connections.add(connection)
        base.documents.onOpen(connection)
        poison.onOpen(connection)
        if (connection.peer.role == VmRole.AGENT) {
            weights.onOpen(connection)
        } else {
            connection.send(Report(status()))
        }
        base.events.event(EventCode.PEER_CONNECTED) { "${connection.peer.vm}" }
    }

    override suspend fun onFrame(connection: PeerConnection, frame: Frame) {
        requests.onFrame(connection, frame) ||
            weights.onFrame(connection, frame) ||
            base.documents.onFrame(connection, frame) ||
            poison.onFrame(frame)
    }

    override suspend fun onClosed(connection: PeerConnection) {
        base.connections.decrementAndGet()
        val isLast = connections.remove(connection)
        base.documents.onClosed(connection)
        poison.onClosed(connection)
        requests.onClosed(connection)
        if (isLast && connection.peer.role == VmRole.AGENT) weights.onClosed(connection.peer.vm)
    }

    private fun Route.localWeightRoutes() {
        get("/local/releases/{release}") {
            val manifest = weights.manifest(ReleaseDigest(call.parameters["release"].orEmpty()))
            if (manifest == null) {
                call.respondText(
                    "release is not held by this agent\n",
                    status = HttpStatusCode.NotFound
                )
            } else {
                val text = Json.encodeToString(Manifest.serializer(), manifest)
                call.respondText(text, ContentType.Application.Json)
            }
        }
        get("/local/chunks/{chunk}") {
            val bytes = weights.chunk(ChunkDigest(call.parameters["chunk"].orEmpty()))
            if (bytes == null) {
                call.respondText(
                    "chunk is not held by this agent\n",
                    status = HttpStatusCode.NotFound
                )
            } else {
                call.respondBytes(bytes)
            }
        }
    }

    override fun processStatus(): ProcessStatus {
        val target = desiredRelease.takeIf { isEngine }
        val progress = target?.let(weights::progress)
        return ProcessStatus(
            self,
            VmRole.AGENT,
            settings.daemon.zone,
            base.identity.incarnation,
            base.revision,
            ready = isRoutable() && !isDraining,
            endpoint = status(),
            releaseWanted = target,
            chunksHeld = progress?.chunksHeld ?: 0,
            chunksTotal = progress?.chunksTotal ?: 0,
            rolloutStopped = rollout.record?.let { it.stopped && it.release == target } ?: false,
            peakRunning = requests.peakRunning(),
            heldBytes = requests.heldBytes()
        )
    }

    override fun endpoints(): List<EndpointStatus> = listOf(status())

    /** Stops accepting requests, waits for the running ones for a limited time and closes. */
    suspend fun shutdown() {
        base.events.event(EventCode.STOPPING) { "waiting for running requests" }
        isDraining = true
        requests.drain()
        report()
        withTimeoutOrNull(settings.daemon.drainSeconds * MILLIS_PER_SECOND) {
            while (requests.activeCount() > 0) delay(DRAIN_POLL_MILLIS)
        }
        base.events.event(EventCode.STOPPED) { "${requests.activeCount()} requests unfinished" }
        close()
    }

    /** Closes at once, without draining, as if the process were killed. */
    fun close() {
        network.close()
        base.close()
        server.stop(0, 0)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000L
    }
}
