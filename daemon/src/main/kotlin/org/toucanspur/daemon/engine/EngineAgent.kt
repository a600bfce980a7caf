/*
 * Agent of a platform deployment that runs on the VM of a model engine. It reports the engine's
 * load, loads new target versions into the engine, and exchanges pieces with the other
 * agents of its service.
 */
package org.toucanspur.daemon.engine

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.net.InetSocketAddress
import java.util.BitSet
import kotlin.random.Random
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.core.gateway.VersionDiscovery
import org.toucanspur.core.gateway.WatchProgress
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.core.weights.EngineReport
import org.toucanspur.core.weights.RunningRequestPolicy
import org.toucanspur.core.weights.isWorthFinishing
import org.toucanspur.core.weights.loadTimeMillis
import org.toucanspur.core.weights.nextLoadMillis
import org.toucanspur.daemon.gateway.ListingAgeTracker
import org.toucanspur.daemon.gateway.ObjectWatcher
import org.toucanspur.daemon.gateway.PauseMonitor
import org.toucanspur.daemon.gateway.ProbeServer
import org.toucanspur.daemon.gateway.WeightVersionListener
import org.toucanspur.daemon.gateway.systemClocks
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.net.Datagrams
import org.toucanspur.daemon.net.NettyEventLoop
import org.toucanspur.daemon.net.NettyHttpClient
import org.toucanspur.daemon.net.registerDirectMemory
import org.toucanspur.daemon.node.PlatformNode
import org.toucanspur.daemon.node.zoneRegions
import org.toucanspur.platform.EngineClient
import org.toucanspur.platform.OriginClient
import org.toucanspur.platform.PlatformStore
import org.toucanspur.platform.TargetVersion
import org.toucanspur.platform.decodeEndpoint
import org.toucanspur.schema.CrashEvidence
import org.toucanspur.schema.EntryNotice
import org.toucanspur.schema.Frame
import org.toucanspur.schema.LimitNotice
import org.toucanspur.schema.LoadQuery
import org.toucanspur.schema.ModelId
import org.toucanspur.schema.NodeConfiguration
import org.toucanspur.schema.PieceQuery
import org.toucanspur.schema.PieceReply
import org.toucanspur.schema.PieceStatus
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.VmId

/** Agent of one engine; confined to the event loop. */
class EngineAgent(
    private val settings: NodeConfiguration,
    private val loop: NettyEventLoop,
    private val log: DecisionLog
) : PlatformNode {
    private val random = Random(System.nanoTime())
    private val http = NettyHttpClient(loop)
    private val store = PlatformStore(http, settings.store.address)
    private val engine = EngineClient(http, settings.engine.address)
    private val self = VmId(settings.node.host)
    private val cache = PieceCache()
    private val loader = EngineLoader(engine, cache, log, systemClocks)
    private val datagrams = Datagrams(
        loop,
        InetSocketAddress(settings.node.host, settings.addresses.peerPort),
        ::onFrame
    )
    private val uploadPacer = UploadPacer(settings.limits.linkMbit)
    private val loadReporter = LoadReporter(settings.node.vm, datagrams)
    private val transferDependencies = TransferDependencies(
        self,
        cache,
        PieceClient(loop, settings.addresses.peerPort),
        log,
        ::sendStatus
    )
    private val regions = zoneRegions(settings)
    private val pauses = PauseMonitor(systemClocks, log)

    private val configuration =
        AgentConfiguration(store, systemClocks, ::onConfigurationUnavailable) { reason ->
            log.event(EventCode.CONFIGURATION_REJECTED) { put("reason", reason) }
        }
    private var peers: Map<VmId, RegionId?> = emptyMap()
    private val targetVersions = HashMap<ModelId, ArrayDeque<Pair<Long, Long>>>()
    private var transfer: VersionTransfer? = null
    private var transferJob: Job? = null
    private var failedTransfer: VersionKey? = null
    private val stagingQueue = Channel<Pair<VersionKey, Int>>(Channel.UNLIMITED)
    private val loadChecks = Channel<Unit>(Channel.CONFLATED)
    private var report: EngineReport? = null
    private var isEngineUnreachable = false
    private var isStagedRecovered = false
    private var isLoading = false
    private var startedAtMillis = 0L

    private val model: ModelId?
        get() = configuration.current?.services?.get(
            settings.engine.service
        )?.models?.firstOrNull()?.id

    override fun start() {
        pauses.start(loop)
        PieceServer(loop, settings.limits.peerConnections, ::onQuery)
            .start(InetSocketAddress(settings.node.host, settings.addresses.peerPort))
        val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
        registry.gauge("toucanspur.engine.running", this) { (it.report?.running ?: 0).toDouble() }
        registry.gauge("toucanspur.engine.waiting", this) { (it.report?.waiting ?: 0).toDouble() }
        registry.gauge("toucanspur.pieces.held", this) {
            (it.transfer?.progress?.first ?: 0).toDouble()
        }
        registerDirectMemory(registry)
        ProbeServer(loop, settings.limits, mapOf("/metrics" to registry::scrape))
            .start(InetSocketAddress(settings.node.host, settings.addresses.peerPort + 1))
        loop.supervise("configuration") { configurationLoop() }
        followWeightVersions()
        loop.supervise("engine reports") { reportLoop() }
        loop.supervise("loads") { loadLoop() }
        loop.supervise("staging") { stageLoop() }
    }

    private fun followWeightVersions() = loop.supervise("watch of weight versions") {
        val listener = WeightVersionListener(
            log,
            systemClocks,
            pauses,
            ListingAgeTracker(),
            ::onTargetVersionSet
        )
        ObjectWatcher(
            store,
            ObjectKind.WEIGHT_VERSIONS,
            WATCH_WAIT_MILLIS,
            systemClocks,
            random,
            listener,
            progress = WatchProgress(pauses)
        ).run()
    }

    override suspend fun shutdown() {
        log.event(EventCode.STOPPED)
    }

    // Acts that depend on a recent configuration refresh it before.
    private suspend fun configurationLoop() {
        while (true) {
            configuration.refresh(maxAgeMillis = 0)
            // Agents that started together do not read at the same time.
            val periodMillis = CONFIGURATION_PERIOD_MILLIS / 2 +
                random.nextLong(CONFIGURATION_PERIOD_MILLIS)
            delay(if (model == null) MODEL_POLL_MILLIS else periodMillis)
        }
    }

    private fun onConfigurationUnavailable(reason: String) =
        log.event(EventCode.STORE_UNAVAILABLE) {
            put("kind", ObjectKind.CONFIGURATION.name)
            put("reason", reason)
        }

    private fun onTargetVersionSet(
        version: TargetVersion,
        since: ClockReading,
        age: VersionDiscovery
    ) {
        if (version.model != model) {
            loop.launch("configuration") { configuration.refresh(MODEL_MAX_AGE_MILLIS) }
        }
        val versions = targetVersions.getOrPut(version.model) { ArrayDeque() }
        if (versions.isNotEmpty() && versions.last().first >= version.version) return
        val boundMillis = settings.bounds.versionMillis.toLong()
        val ageMillis = if (age == VersionDiscovery.NEW) {
            systemClocks.now().ageMillis(since).coerceIn(0, boundMillis)
        } else {
            boundMillis
        }
        versions.addLast(version.version to monotonicMillis() - ageMillis)
        loadChecks.trySend(Unit)
    }

    private fun newestVersion(model: ModelId): Pair<Long, Long> =
        targetVersions[model]?.lastOrNull() ?: (FIRST_VERSION to 0L)

    private suspend fun reportLoop() {
        while (true) {
            val result = engine.report()
            result.fold(::onReport) { onEngineUnreachable(it.message) }
            pushLoadReport()
            delay(if (isLoading) LOADING_REPORT_MILLIS else loadReporter.periodMillis)
        }
    }

    private fun onReport(fresh: EngineReport) {
        if (isEngineUnreachable) {
            isEngineUnreachable = false
            log.event(EventCode.ENGINE_RECOVERED) { put("startedAt", fresh.startedAtMillis) }
        }
        if (fresh.startedAtMillis != startedAtMillis) {
            startedAtMillis = fresh.startedAtMillis
            loader.clearStaged()
        }
        val previousVersions = report?.loadedVersions
        if (previousVersions != null && previousVersions != fresh.loadedVersions) {
            log.event(EventCode.LOAD_CONFIRMED) {
                put("before", previousVersions.toString())
                put("now", fresh.loadedVersions.toString())
            }
        }
        report = fresh
        if (previousVersions != fresh.loadedVersions) loadChecks.trySend(Unit)
    }

    private fun onEngineUnreachable(reason: String) {
        report = null
        if (isEngineUnreachable) return
        isEngineUnreachable = true
        log.event(EventCode.ENGINE_UNRESPONSIVE) { put("reason", reason) }
    }

    private suspend fun loadLoop() {
        while (true) {
            val model = model
            val current = report
            if (model != null && current != null) transferAndLoad(model, current)
            awaitLoadCheck()
        }
    }

    // Most of the time the engine has the newest version and there is nothing to do.
    private suspend fun awaitLoadCheck() {
        if (!isLoading && hasNewestVersion()) {
            withTimeoutOrNull(IDLE_LOAD_CHECK_MILLIS) { loadChecks.receive() }
        } else {
            delay(LOAD_CHECK_MILLIS)
        }
    }

    private fun hasNewestVersion(): Boolean {
        val model = model ?: return false
        val current = report ?: return false
        return !current.isBusy &&
            (current.loadedVersions[model] ?: 0) >= newestVersion(model).first
    }

    private suspend fun transferAndLoad(model: ModelId, current: EngineReport) {
        loader.settleOrder()
        val (version, targetSetMillis) = newestVersion(model)
        ensureTransfer(VersionKey(model, version))
        val loaded = current.loadedVersions[model] ?: 0
        val ready = newestCompleteVersion(model, version)
        if (ready == null || ready <= loaded || current.isBusy) {
            isLoading = current.isBusy && loaded < version
            return
        }
        val dueMillis = if (loaded == 0L) 0 else loadDueMillis(model, ready, targetSetMillis)
        if (monotonicMillis() < dueMillis) return
        // A request that reaches the engine after the order waits until the load ends, so the
        // entries are notified before the order is sent.
        isLoading = true
        pushLoadReport()
        if (loaded > 0) awaitLoadDelay()
        val fresh = engine.report().get()
        isLoading = fresh != null &&
            !fresh.isBusy &&
            loader.load(VersionKey(model, ready), fresh, runningRequests())
    }

    // Whether running requests may be cut depends on the routes that are in force.
    private suspend fun awaitLoadDelay() = coroutineScope {
        launch { refreshInTime(ROUTES_MAX_AGE_MILLIS) }
        delay(LOAD_DELAY_MILLIS)
    }

    private suspend fun refreshInTime(maxAgeMillis: Long) {
        withTimeoutOrNull(REFRESH_MAX_MILLIS) { configuration.refresh(maxAgeMillis) }
    }

    // Resumable streams continue at another endpoint with a gap that still counts as on time.
    // Waiting for them would leave the engine idle for most of their duration.
    private fun runningRequests(): RunningRequestPolicy {
        val routes = configuration.current?.routes.orEmpty().filter { route ->
            route.targets.any { it.service == settings.engine.service }
        }
        val areResumable = routes.all { it.isRepeatable && it.endpointsMax > 1 }
        return if (areResumable) RunningRequestPolicy.CUT else RunningRequestPolicy.AWAIT
    }

    // Entries send no requests while an endpoint loads, nor to one whose weights are in doubt.
    private fun pushLoadReport() {
        val isInDoubt = report?.let(loader::isLoadInDoubt) ?: false
        loadReporter.push(report, model, isLoading || isInDoubt, nextLoadMillis())
    }

    private fun nextLoadMillis(): Long {
        val model = model ?: return NO_LOAD
        val loaded = report?.loadedVersions?.get(model) ?: 0
        if (loaded == 0L) return NO_LOAD
        val dueTimes = targetVersions[model].orEmpty().associate { (version, targetSetMillis) ->
            version to loadDueMillis(model, version, targetSetMillis)
        }
        return nextLoadMillis(loaded, dueTimes, monotonicMillis()) ?: NO_LOAD
    }

    // The newest version whose pieces are all cached, or null if there is none.
    private fun newestCompleteVersion(model: ModelId, newest: Long): Long? {
        val versions = listOf(newest) + targetVersions[model].orEmpty().map { it.first }
        return versions.sortedDescending()
            .firstOrNull { cache.isComplete(VersionKey(model, it)) }
    }

    private fun loadDueMillis(model: ModelId, version: Long, newestMillis: Long): Long {
        val targetSetMillis =
            targetVersions[model]?.firstOrNull { it.first == version }?.second ?: newestMillis
        val bound = settings.bounds.versionMillis.toLong()
        return loadTimeMillis(targetSetMillis, bound, "${model.value}/$version", self, peers.keys)
    }

    private fun isLoadPending(next: VersionKey): Boolean {
        val loaded = report?.loadedVersions?.get(next.model) ?: 0
        val ready = newestCompleteVersion(next.model, next.version) ?: return false
        return ready in (loaded + 1) until next.version
    }

    private suspend fun ensureTransfer(key: VersionKey) {
        val running = transfer
        if (running?.key == key) return
        if (cache.isComplete(key)) return
        if (running != null && transferJob?.isActive == true) {
            val (held, total) = running.progress
            if (isWorthFinishing(held, total)) return
            transferJob?.cancel()
        }
        // An origin from which a transfer failed may have been replaced.
        if (failedTransfer == key) refreshInTime(ORIGIN_MAX_AGE_MILLIS)
        val services = configuration.current?.services.orEmpty()
        val origin = services.values.firstNotNullOfOrNull { it.origin } ?: return
        refreshPeers()
        val client = OriginClient(http, origin.address)
        val started = VersionTransfer(
            key,
            transferDependencies,
            client,
            origin.connectionsMax,
            services[settings.engine.service]?.pieceCount ?: loader.stagedCount(key.model),
            members(),
            ::recoverStaged
        ) {
            stagingQueue.trySend(key to it)
        }
        transfer = started
        transferJob = loop.launch("transfer") {
            val refreshing = launch { refreshPeersPeriodically(started) }
            try {
                started.run(this)
            } finally {
                // After a failure, the next check starts the transfer again.
                if (transfer === started && !cache.isComplete(key)) {
                    transfer = null
                    failedTransfer = key
                }
            }
            refreshing.cancel()
        }
    }

    // Recovers staged pieces for the first transfer after the agent started, and returns whether
    // this is that one. Later transfers know what is staged.
    private suspend fun recoverStaged(key: VersionKey): Boolean {
        if (isStagedRecovered) return false
        isStagedRecovered = true
        val count = loader.recoverStaged(key)
        log.event(EventCode.PIECES_RECOVERED) {
            put("version", key.version)
            put("pieces", count)
        }
        return true
    }

    private suspend fun refreshPeersPeriodically(target: VersionTransfer) {
        while (true) {
            delay(PEERS_REFRESH_MILLIS)
            refreshPeers()
            target.setMembers(members())
        }
    }

    private fun members(): TransferMembers = TransferMembers(
        region = peers.filterValues { it == settings.node.region }.keys.toList(),
        all = peers.keys.toList()
    )

    private suspend fun refreshPeers() {
        val listing = store.list(ObjectKind.ENDPOINTS, isStaleAllowed = true).getOrElse { return }
        peers = listing.objects.mapNotNull { decodeEndpoint(it, regions::get).get() }
            .filter { it.service == settings.engine.service }
            .associate { VmId(it.host) to it.region }
    }

    private suspend fun stageLoop() {
        for ((key, index) in stagingQueue) {
            // Staging while an older version is due to be loaded would overwrite its pieces.
            if (transfer?.key == key && !isLoadPending(key)) loader.stageAhead(key, index)
        }
    }

    private fun sendStatus(status: PieceStatus, to: Collection<VmId>) =
        to.filter { it != self }.forEach {
            datagrams.send(status, InetSocketAddress(it.value, settings.addresses.peerPort))
        }

    private fun onFrame(frame: Frame, sender: InetSocketAddress) {
        when (frame) {
            is LoadQuery -> loadReporter.onQuery(sender)
            is CrashEvidence, is LimitNotice, is EntryNotice -> loadReporter.relay(frame, sender)
            is PieceStatus -> onStatus(frame, sender)
            else -> Unit
        }
    }

    private fun onStatus(status: PieceStatus, sender: InetSocketAddress) {
        val key = VersionKey(status.model, status.version)
        val current = transfer?.takeIf { it.key == key }
        current?.onStatus(VmId(sender.address.hostAddress), status)
        // Replies only if this agent holds all pieces and the neighbour is still fetching.
        val isFetching = cache.manifest(key)?.let { manifest ->
            BitSet.valueOf(status.bitmap).cardinality() < manifest.digests.size
        } ?: false
        if (isFetching && cache.isComplete(key)) {
            val bitmap = BitSet().apply { cache.heldIndexes(key).forEach(::set) }.toByteArray()
            datagrams.send(
                PieceStatus(self, key.model, key.version, bitmap, isChoked = false),
                sender
            )
        }
    }

    // A peer may request a piece that is still being fetched. The reply is delayed until the piece
    // is cached, the origin is found to be unreachable, or QUERY_TIMEOUT_MILLIS have passed.
    private fun onQuery(query: PieceQuery, reply: (PieceReply) -> Unit) {
        loop.launch("piece query") {
            val endMillis = monotonicMillis() + QUERY_TIMEOUT_MILLIS
            var found = replyFromCache(cache, query)
            while (found == null && monotonicMillis() < endMillis && !isOriginDown(query)) {
                delay(QUERY_POLL_MILLIS)
                found = replyFromCache(cache, query)
            }
            val unavailable = PieceReply(
                query.model,
                query.version,
                query.index,
                ByteArray(0),
                isCutOff = isOriginDown(query)
            )
            if (found != null) uploadPacer.acquire(found.bytes.size)
            reply(found ?: unavailable)
            if (found != null) transfer?.onUploaded()
        }
    }

    private fun isOriginDown(query: PieceQuery): Boolean =
        transfer?.takeIf { it.key == VersionKey(query.model, query.version) }?.isOriginDown ?: false

    private companion object {
        const val FIRST_VERSION = 1L
        const val NO_LOAD = -1L
        const val WATCH_WAIT_MILLIS = 10_000L
        const val MODEL_POLL_MILLIS = 500L
        const val CONFIGURATION_PERIOD_MILLIS = 60_000L

        // Ages up to which the configuration names the origin, the model of the service, and the
        // kinds of routes.
        const val ORIGIN_MAX_AGE_MILLIS = 5000L
        const val MODEL_MAX_AGE_MILLIS = 1000L
        const val ROUTES_MAX_AGE_MILLIS = 2000L

        // The load is due, also while the store is slow.
        const val REFRESH_MAX_MILLIS = 1000L

        // Short, because all entries wait for the report that a load has ended.
        const val LOADING_REPORT_MILLIS = 50L

        // Lets requests in transit reach the engine, and requests that are nearly finished end.
        const val LOAD_DELAY_MILLIS = 300L
        const val LOAD_CHECK_MILLIS = 50L
        const val IDLE_LOAD_CHECK_MILLIS = 1000L
        const val PEERS_REFRESH_MILLIS = 1000L
        const val QUERY_TIMEOUT_MILLIS = 2000L
        const val QUERY_POLL_MILLIS = 20L
    }
}
