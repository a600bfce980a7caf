/*
 * The agent role: wires the services of one endpoint and follows the document.
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
private const val LEASE_PARTS = 3
private const val DRAIN_POLL_MILLIS = 50L
private const val LOAD_ATTEMPTS_MAX = 3
private const val BYTES_PER_KIB = 1024L

/** One agent; call [start], and [shutdown] to end it without cutting off a request. */
class AgentNode(private val base: ProcessBase) :
    PeerHandler,
    RequestSurroundings,
    AdminSource {
    private val settings = base.settings
    private val self = settings.daemon.vm
    private val poolId = settings.endpoint.pool
    private val environment = settings.daemon.environment
    private val endpoint = EndpointClient(settings.endpoint.url)
    private val links = PeerLinks()
    private val poison = PoisonService(environment, base.store, base.events)
    private val weightStore = HttpWeightStore(
        base.http,
        settings.platform.weightStoreUrl,
        settings.platform.timeoutMillis.toLong()
    )
    private val weights =
        WeightService(self, base.scope, weightStore, settings.weights, links, base.events)
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
    private var exchanged: Set<ReleaseDigest> = emptySet()

    @Volatile
    private var isServiceHealthy = false

    @Volatile
    private var lastServed: ReleaseDigest? = null
    private var failedRelease: ReleaseDigest? = null
    private var isFailureRecorded = false

    /** Port for the local engine, metrics and probes. */
    var httpPort = 0
        private set

    /** Port for peers. */
    var peerPort = 0
        private set

    private val document: AdoptedDocument? get() = base.documents.documents.value
    private val pool: PoolSection? get() = document?.configuration?.pools?.find { it.id == poolId }
    private val isEngine: Boolean get() = pool?.kind == PoolKind.ENGINE

    /** Release that the document asks of the endpoint. */
    private val wanted: ReleaseDigest?
        get() = document?.configuration?.models?.find { it.id == pool?.model }?.digest

    /** Starts listening and all services. */
    suspend fun start() {
        server = embeddedServer(CIO, port = settings.listen.httpPort, host = settings.listen.host) {
            routing {
                adminRoutes(base, this@AgentNode)
                localWeights()
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
        base.scope.launch { followDocument() }
        base.scope.launch { links.remoteAgents.collect { exchangeWeights(base.vms.value) } }
        base.scope.launch { followEngine() }
        base.scope.launch { reconcileLoop() }
        base.scope.launch { reportLoop() }
    }

    private fun orderTiming(): LoadOrderTiming {
        val leaseMillis = settings.lease.durationMillis.toLong()
        return LoadOrderTiming(leaseMillis = leaseMillis, renewMillis = leaseMillis / LEASE_PARTS)
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

    private suspend fun followDocument() {
        combine(base.documents.documents, base.vms) { document, vms -> document to vms }
            .collect { (_, vms) ->
                pool?.let { requests.configure(gateSettings(it)) }
                if (isZoneOut()) {
                    requests.drain()
                } else if (!isDraining) {
                    requests.undrain()
                }
                exchangeWeights(vms)
                report()
            }
    }

    private suspend fun exchangeWeights(vms: List<VmRecord>) = exchangeMutex.withLock {
        val peers = vms.filter { isExchangePeer(it) }
        val inRegion = peers.filter { it.region == settings.daemon.region }.map { it.vm }
        val neighbours = neighboursOf(self, inRegion, settings.weights.neighbours, poolId.value)
        val dialled = neighbours.filter { self.value < it.value } + links.remoteAgents.value
        network.keepDialled(vms.filter { it.vm in dialled })
        weights.remoteVms = vms.filter { it.region != settings.daemon.region }.map { it.vm }.toSet()
        val members = releaseMembers(peers, inRegion)
        weights.keep(if (isEngine) neededReleases().associateWith { members } else emptyMap())
    }

    // What the endpoint served last stays until it serves the wanted release.
    private fun neededReleases(): Set<ReleaseDigest> =
        setOfNotNull(wanted, rollout.record?.previous, orders.target, lastServed)

    private fun releaseMembers(peers: List<VmRecord>, inRegion: List<VmId>): ReleaseMembers {
        val homeRegion = settings.platform.weightStoreRegion
        if (homeRegion.value == "any" || homeRegion == settings.daemon.region) {
            return ReleaseMembers(inRegion)
        }
        val home = peers.filter { it.region == homeRegion }.map { it.vm }
        val regions = peers.map { it.region }.distinct().size
        return ReleaseMembers(inRegion, home, directShare(home.size, regions))
    }

    private fun isExchangePeer(record: VmRecord): Boolean {
        val pools = document?.configuration?.pools.orEmpty()
        val sameModel = pools
            .filter { it.kind == PoolKind.ENGINE && it.model == pool?.model }
            .map { it.id }
        return record.role == VmRole.AGENT &&
            record.state == VmState.LIVE &&
            record.pool in sameModel
    }

    // Plain services hold no weights, so they need neither lease nor orders.
    private suspend fun followEngine() {
        base.documents.documents.first { pool != null }
        if (!isEngine) return
        orders.start(base.scope)
        base.scope.launch {
            orders.routable.collect {
                if (it != null) lastServed = it
                requests.setOpen(isRoutable())
                report()
            }
        }
        var lastLife: Long? = null
        orders.engine.collect { life ->
            if (lastLife != null && life != lastLife) {
                requests.onColdSignal()
                base.events.event(EventCode.ENDPOINT_COLD) { "engine was restarted" }
            }
            lastLife = life
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
        val healthy = endpoint.isHealthy()
        if (healthy == isServiceHealthy) return
        isServiceHealthy = healthy
        requests.setOpen(isRoutable())
        report()
    }

    private suspend fun reconcileRelease() {
        val target = wanted ?: return
        val serving = orders.routable.value
        val needed = neededReleases()
        if (needed != exchanged) {
            exchangeWeights(base.vms.value)
            exchanged = needed
        }
        if (serving == target) {
            if (self !in rollout.record?.confirmed.orEmpty()) rollout.confirm(self, target)
            return
        }
        if (weights.progress(target)?.isComplete != true) return
        val limits = RolloutLimits(pool?.unavailableMax ?: 1)
        if (hasFailedOn(target)) {
            keepPrevious(target, limits)
            return
        }
        val candidate = RolloutCandidate(self, settings.daemon.zone, serving)
        rollout.mayLoad(target, candidate, limits, ::zoneOf)?.let { order(it) }
    }

    private suspend fun order(release: ReleaseDigest) {
        if (weights.progress(release)?.isComplete == true) orders.setTarget(release)
    }

    // A release that failed here is tried again only after others have confirmed it.
    private fun hasFailedOn(target: ReleaseDigest): Boolean {
        if (orders.target == target && orders.failedLoads >= LOAD_ATTEMPTS_MAX) {
            failedRelease = target
            isFailureRecorded = false
        }
        val isProven = rollout.record?.let { it.release == target && it.confirmed.isNotEmpty() }
        return failedRelease == target && isProven != true
    }

    private suspend fun keepPrevious(target: ReleaseDigest, limits: RolloutLimits) {
        if (!isFailureRecorded) isFailureRecorded = rollout.fail(self, target, limits)
        rollout.record?.previous?.let { order(it) }
    }

    private fun zoneOf(vm: VmId): ZoneId? =
        base.vms.value.find { it.vm == vm && it.state == VmState.LIVE }?.zone

    private fun isZoneOut(): Boolean =
        document?.configuration?.zones?.find { it.id == settings.daemon.zone }?.state ==
            ZoneState.OUT

    private fun isRoutable(): Boolean =
        if (isEngine) orders.routable.value != null else isServiceHealthy

    private suspend fun reportLoop() {
        while (true) {
            report()
            delay(base.idlePaceMillis)
        }
    }

    private suspend fun report() = links.toEntries(Report(status()))

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
            load.isAccepting && !isDraining && !isZoneOut() && isRoutable()
        )
    }

    override fun refusalReason(submit: Submit): String? = when {
        isDraining -> "the endpoint is leaving; choose another one"
        isZoneOut() -> "zone ${settings.daemon.zone} is out; choose another endpoint"
        pool == null -> "pool $poolId is not in the document; check the agent's settings"
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
        requests.onColdSignal()
        poison.charge(running.map { it.fingerprint }.toSet())
    }

    // A broken call alone does not prove a crash: the endpoint must be gone or have a new life.
    private suspend fun hasCrashed(): Boolean {
        if (!isEngine) return !endpoint.isHealthy()
        val before = orders.engine.value
        return try {
            endpoint.status().life != before
        } catch (_: IOException) {
            delay(CRASH_PROBE_MILLIS)
            true
        }
    }

    override suspend fun onFinished(submit: Submit) = poison.clear(submit.fingerprint)

    override suspend fun onOpen(connection: PeerConnection) {
        base.connections.incrementAndGet()
        links.add(connection)
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
        val isLast = links.remove(connection)
        base.documents.onClosed(connection)
        poison.onClosed(connection)
        requests.onClosed(connection)
        if (isLast && connection.peer.role == VmRole.AGENT) weights.onClosed(connection.peer.vm)
    }

    private fun Route.localWeights() {
        get("/local/releases/{release}") {
            val manifest = weights.manifest(ReleaseDigest(call.parameters["release"].orEmpty()))
            if (manifest == null) {
                call.respondText("release is not here\n", status = HttpStatusCode.NotFound)
            } else {
                val text = Json.encodeToString(Manifest.serializer(), manifest)
                call.respondText(text, ContentType.Application.Json)
            }
        }
        get("/local/chunks/{chunk}") {
            val bytes = weights.chunk(ChunkDigest(call.parameters["chunk"].orEmpty()))
            if (bytes == null) {
                call.respondText("chunk is not here\n", status = HttpStatusCode.NotFound)
            } else {
                call.respondBytes(bytes)
            }
        }
    }

    override fun processStatus(): ProcessStatus {
        val target = wanted.takeIf { isEngine }
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

    /** Takes no new work, finishes what runs and ends. */
    suspend fun shutdown() {
        base.events.event(EventCode.STOPPING) { "waiting for running requests" }
        isDraining = true
        requests.drain()
        report()
        withTimeoutOrNull(settings.daemon.drainSeconds * MILLIS_PER_SECOND) {
            while (requests.activeCount() > 0) delay(DRAIN_POLL_MILLIS)
        }
        base.events.event(EventCode.STOPPED) { "${requests.activeCount()} requests left" }
        close()
    }

    /** Ends at once, as a killed process would. */
    fun close() {
        network.close()
        base.close()
        server.stop(0, 0)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000L
    }
}
