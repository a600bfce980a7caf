/*
 * The agent of a platform deployment, beside a model engine: reports its load, brings named weight
 * versions to it, and shares pieces with the other agents of its service.
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
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.TrafficConfiguration
import org.toucanspur.core.gateway.VersionDiscovery
import org.toucanspur.core.platform.ObjectChange
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.core.platform.StoredObject
import org.toucanspur.core.weights.EngineReport
import org.toucanspur.core.weights.RunningRequestPolicy
import org.toucanspur.core.weights.isWorthFinishing
import org.toucanspur.core.weights.loadTimeMillis
import org.toucanspur.core.weights.nextLoadMillis
import org.toucanspur.daemon.gateway.ListingAgeTracker
import org.toucanspur.daemon.gateway.LoggingWatchListener
import org.toucanspur.daemon.gateway.ObjectWatchListener
import org.toucanspur.daemon.gateway.ObjectWatcher
import org.toucanspur.daemon.gateway.ProbeServer
import org.toucanspur.daemon.gateway.WeightVersionListener
import org.toucanspur.daemon.gateway.systemClocks
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.net.Datagrams
import org.toucanspur.daemon.net.NettyEventLoop
import org.toucanspur.daemon.net.NettyHttpClient
import org.toucanspur.daemon.node.PlatformNode
import org.toucanspur.daemon.node.zoneRegions
import org.toucanspur.platform.EngineClient
import org.toucanspur.platform.NamedVersion
import org.toucanspur.platform.OriginClient
import org.toucanspur.platform.PlatformStore
import org.toucanspur.platform.decodeConfiguration
import org.toucanspur.platform.decodeEndpoint
import org.toucanspur.schema.Frame
import org.toucanspur.schema.LoadQuery
import org.toucanspur.schema.ModelId
import org.toucanspur.schema.NodeConfiguration
import org.toucanspur.schema.PieceQuery
import org.toucanspur.schema.PieceReply
import org.toucanspur.schema.PieceStatus
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.VmId

/** One agent; confined to the event loop. */
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
    private val library = PieceLibrary()
    private val loader = EngineLoader(engine, library, log)
    private val datagrams = Datagrams(
        loop,
        InetSocketAddress(settings.node.host, settings.addresses.peerPort),
        ::onFrame
    )
    private val uploads = UploadPacer(settings.limits.linkMbit)
    private val reporter = LoadReporter(settings.node.vm, datagrams)
    private val parts = TransferParts(
        self,
        library,
        PieceLinks(loop, settings.addresses.peerPort),
        log,
        ::tell
    )
    private val regions = zoneRegions(settings)

    private var configuration: TrafficConfiguration? = null
    private var peers: Map<VmId, RegionId?> = emptyMap()
    private val named = HashMap<ModelId, ArrayDeque<Pair<Long, Long>>>()
    private var transfer: VersionTransfer? = null
    private var transferJob: Job? = null
    private val toStage = Channel<Pair<VersionKey, Int>>(Channel.UNLIMITED)
    private var report: EngineReport? = null
    private var isEngineLost = false
    private var isStagedKnown = false
    private var isLoading = false
    private var startedAtMillis = 0L

    private val model: ModelId?
        get() = configuration?.services?.get(settings.engine.service)?.models?.firstOrNull()?.id

    override fun start() {
        PieceServer(loop, ::onQuery)
            .start(InetSocketAddress(settings.node.host, settings.addresses.peerPort))
        val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
        registry.gauge("toucanspur.engine.running", this) { (it.report?.running ?: 0).toDouble() }
        registry.gauge("toucanspur.engine.waiting", this) { (it.report?.waiting ?: 0).toDouble() }
        registry.gauge("toucanspur.pieces.held", this) {
            (it.transfer?.progress?.first ?: 0).toDouble()
        }
        ProbeServer(loop, mapOf("/metrics" to registry::scrape))
            .start(InetSocketAddress(settings.node.host, settings.addresses.peerPort + 1))
        follow(ObjectKind.CONFIGURATION, ConfigurationReader())
        follow(
            ObjectKind.WEIGHT_VERSIONS,
            WeightVersionListener(log, ListingAgeTracker(), ::onNamed)
        )
        loop.scope.launch { reportLoop() }
        loop.scope.launch { loadLoop() }
        loop.scope.launch { stageLoop() }
    }

    private fun follow(kind: ObjectKind, sink: ObjectWatchListener) = loop.scope.launch {
        ObjectWatcher(store, kind, WAIT_MILLIS, systemClocks, random, sink).run()
    }

    override suspend fun shutdown() {
        log.event(EventCode.STOPPED)
    }

    private inner class ConfigurationReader : LoggingWatchListener(ObjectKind.CONFIGURATION, log) {
        override fun onListing(objects: List<StoredObject>) = objects.forEach(::adopt)

        override fun onChanges(changes: List<ObjectChange>) =
            changes.filterNot { it.isRemoved }.forEach { adopt(it.stored) }

        private fun adopt(stored: StoredObject) = decodeConfiguration(stored.text.orEmpty()).fold(
            success = { if (it.version > (configuration?.version ?: -1)) configuration = it },
            failure = { reason ->
                log.event(EventCode.CONFIGURATION_REJECTED) { put("reason", reason) }
            }
        )
    }

    private fun onNamed(version: NamedVersion, age: VersionDiscovery) {
        val versions = named.getOrPut(version.model) { ArrayDeque() }
        if (versions.isNotEmpty() && versions.last().first >= version.version) return
        val ageMillis =
            if (age == VersionDiscovery.NEW) 0 else settings.bounds.versionMillis.toLong()
        versions.addLast(version.version to monotonicMillis() - ageMillis)
    }

    private fun newest(model: ModelId): Pair<Long, Long> =
        named[model]?.lastOrNull() ?: (FIRST_VERSION to 0L)

    private suspend fun reportLoop() {
        while (true) {
            val answer = engine.report()
            answer.fold(::onReport) { onEngineLost(it.message) }
            pushReport()
            delay(if (isLoading) REPORT_LOADING_MILLIS else reporter.periodMillis)
        }
    }

    private fun onReport(fresh: EngineReport) {
        if (isEngineLost) {
            isEngineLost = false
            log.event(EventCode.ENGINE_RECOVERED) { put("startedAt", fresh.startedAtMillis) }
        }
        if (fresh.startedAtMillis != startedAtMillis) {
            startedAtMillis = fresh.startedAtMillis
            loader.forgetStaged()
        }
        val before = report?.loadedVersions
        if (before != null && before != fresh.loadedVersions) {
            log.event(EventCode.LOAD_CONFIRMED) {
                put("before", before.toString())
                put("now", fresh.loadedVersions.toString())
            }
        }
        report = fresh
    }

    private fun onEngineLost(reason: String) {
        report = null
        if (isEngineLost) return
        isEngineLost = true
        log.event(EventCode.ENGINE_UNRESPONSIVE) { put("reason", reason) }
    }

    private suspend fun loadLoop() {
        while (true) {
            delay(LOAD_MILLIS)
            val model = model ?: continue
            val current = report ?: continue
            advance(model, current)
        }
    }

    private suspend fun advance(model: ModelId, current: EngineReport) {
        val (version, namedMillis) = newest(model)
        ensureTransfer(VersionKey(model, version))
        val loaded = current.loadedVersions[model] ?: 0
        val ready = readyVersion(model, version)
        if (ready == null || ready <= loaded || current.isBusy) {
            isLoading = current.isBusy && loaded < version
            return
        }
        val due = if (loaded == 0L) 0 else dueMillis(model, ready, namedMillis)
        if (monotonicMillis() < due) return
        // A request that reaches the engine after the order waits for the whole load, so that the
        // entries are told first.
        isLoading = true
        pushReport()
        if (loaded > 0) delay(PAUSE_MILLIS)
        val fresh = engine.report().get()
        isLoading = fresh != null &&
            !fresh.isBusy &&
            loader.load(VersionKey(model, ready), fresh, runningRequests())
    }

    // Streams that may resume go on elsewhere within a pause that is on time; waiting for them
    // would keep the engine empty for most of their length.
    private fun runningRequests(): RunningRequestPolicy {
        val routes = configuration?.routes.orEmpty().filter { route ->
            route.targets.any { it.service == settings.engine.service }
        }
        val areResumable = routes.all { it.isRepeatable && it.endpointsMax > 1 }
        return if (areResumable) RunningRequestPolicy.CUT else RunningRequestPolicy.AWAIT
    }

    private fun pushReport() = reporter.push(report, model, isLoading, nextLoadMillis())

    private fun nextLoadMillis(): Long {
        val model = model ?: return NO_LOAD
        val loaded = report?.loadedVersions?.get(model) ?: 0
        if (loaded == 0L) return NO_LOAD
        val dueTimes = named[model].orEmpty().associate { (version, namedMillis) ->
            version to dueMillis(model, version, namedMillis)
        }
        return nextLoadMillis(loaded, dueTimes, monotonicMillis()) ?: NO_LOAD
    }

    // The newest version whose pieces are all here.
    private fun readyVersion(model: ModelId, newest: Long): Long? {
        val versions = listOf(newest) + named[model].orEmpty().map { it.first }
        return versions.sortedDescending()
            .firstOrNull { library.isComplete(VersionKey(model, it)) }
    }

    private fun dueMillis(model: ModelId, version: Long, newestMillis: Long): Long {
        val seen = named[model]?.firstOrNull { it.first == version }?.second ?: newestMillis
        val bound = settings.bounds.versionMillis.toLong()
        return loadTimeMillis(seen, bound, "${model.value}/$version", self, peers.keys)
    }

    private fun isLoadPending(next: VersionKey): Boolean {
        val loaded = report?.loadedVersions?.get(next.model) ?: 0
        val ready = readyVersion(next.model, next.version) ?: return false
        return ready in (loaded + 1) until next.version
    }

    private suspend fun ensureTransfer(key: VersionKey) {
        val running = transfer
        if (running?.key == key) return
        if (library.isComplete(key)) return
        if (running != null && transferJob?.isActive == true) {
            val (held, total) = running.progress
            if (isWorthFinishing(held, total)) return
            transferJob?.cancel()
        }
        val origin = configuration?.services?.values?.firstNotNullOfOrNull { it.origin } ?: return
        refreshPeers()
        val client = OriginClient(http, origin.address)
        val started = VersionTransfer(
            key,
            parts,
            client,
            origin.connectionsMax,
            members(),
            ::recover
        ) {
            toStage.trySend(key to it)
        }
        transfer = started
        transferJob = loop.scope.launch {
            val following = launch { followPeers(started) }
            started.run(this)
            following.cancel()
        }
    }

    // Only an agent that has just started does not know what is staged. Returns whether it has.
    private suspend fun recover(key: VersionKey): Boolean {
        if (isStagedKnown) return false
        isStagedKnown = true
        val count = loader.recover(key)
        log.event(EventCode.PIECES_RECOVERED) {
            put("version", key.version)
            put("pieces", count)
        }
        return true
    }

    private suspend fun followPeers(target: VersionTransfer) {
        while (true) {
            delay(PEERS_MILLIS)
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
        peers = listing.objects.mapNotNull { decodeEndpoint(it, regions::get) }
            .filter { it.service == settings.engine.service }
            .associate { VmId(it.host) to it.region }
    }

    private suspend fun stageLoop() {
        for ((key, index) in toStage) {
            // While an older version waits for its load, staging would spoil its copy.
            if (transfer?.key == key && !isLoadPending(key)) loader.stageAhead(key, index)
        }
    }

    private fun tell(status: PieceStatus, to: Collection<VmId>) = to.filter { it != self }.forEach {
        datagrams.send(status, InetSocketAddress(it.value, settings.addresses.peerPort))
    }

    private fun onFrame(frame: Frame, sender: InetSocketAddress) {
        when (frame) {
            is LoadQuery -> reporter.onQuery(sender)
            is PieceStatus -> onStatus(frame, sender)
            else -> Unit
        }
    }

    private fun onStatus(status: PieceStatus, sender: InetSocketAddress) {
        val key = VersionKey(status.model, status.version)
        val current = transfer?.takeIf { it.key == key }
        current?.onStatus(VmId(sender.address.hostAddress), status)
        // A neighbour that is still fetching learns what is here; others need no answer.
        val isFetching = library.manifest(key)?.let { manifest ->
            BitSet.valueOf(status.bitmap).cardinality() < manifest.digests.size
        } ?: false
        if (isFetching && library.isComplete(key)) {
            val own = BitSet().apply { library.held(key).forEach(::set) }.toByteArray()
            datagrams.send(
                PieceStatus(self, key.model, key.version, own, isChoked = false),
                sender
            )
        }
    }

    // A peer may ask for a piece that is on its way here; it gets it as soon as it is, or learns
    // that the origin is out of reach.
    private fun onQuery(query: PieceQuery, reply: (PieceReply) -> Unit) {
        loop.scope.launch {
            val end = monotonicMillis() + QUERY_WAIT_MILLIS
            var found = replyFrom(library, query)
            while (found == null && monotonicMillis() < end && !isOriginDown(query)) {
                delay(QUERY_POLL_MILLIS)
                found = replyFrom(library, query)
            }
            val none = PieceReply(
                query.model,
                query.version,
                query.index,
                ByteArray(0),
                isCutOff = isOriginDown(query)
            )
            if (found != null) uploads.pass(found.bytes.size)
            reply(found ?: none)
            if (found != null) transfer?.onUploaded()
        }
    }

    private fun isOriginDown(query: PieceQuery): Boolean =
        transfer?.takeIf { it.key == VersionKey(query.model, query.version) }?.isOriginDown ?: false

    private companion object {
        const val FIRST_VERSION = 1L
        const val NO_LOAD = -1L
        const val WAIT_MILLIS = 10_000L

        // The end of a load is waited for by all entries.
        const val REPORT_LOADING_MILLIS = 50L

        // Requests on their way arrive, and those that are nearly done end.
        const val PAUSE_MILLIS = 300L
        const val LOAD_MILLIS = 50L
        const val PEERS_MILLIS = 1000L
        const val QUERY_WAIT_MILLIS = 2000L
        const val QUERY_POLL_MILLIS = 20L
    }
}
