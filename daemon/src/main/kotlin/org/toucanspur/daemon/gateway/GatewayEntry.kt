/*
 * Entry node of a platform deployment: watches the store, serves callers, and lets active requests
 * finish on shutdown.
 */
package org.toucanspur.daemon.gateway

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.net.InetSocketAddress
import java.util.EnumMap
import kotlin.random.Random
import kotlinx.coroutines.Job
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.FleetEndpoint
import org.toucanspur.core.gateway.GracePeriod
import org.toucanspur.core.gateway.StoreOutage
import org.toucanspur.core.gateway.WatchProgress
import org.toucanspur.core.gateway.inputHoldMillis
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.daemon.duties.DutyWork
import org.toucanspur.daemon.duties.EntryDuties
import org.toucanspur.daemon.duties.isEnabled
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.net.NettyEventLoop
import org.toucanspur.daemon.net.NettyHttpClient
import org.toucanspur.daemon.net.registerDirectMemory
import org.toucanspur.daemon.net.socketAddress
import org.toucanspur.daemon.node.PlatformNode
import org.toucanspur.platform.PlatformStore
import org.toucanspur.platform.platformRequestCodec
import org.toucanspur.schema.NodeConfiguration

/** File descriptors reserved for connections to the store, probes and endpoints. */
private const val DESCRIPTORS_RESERVED = 600

/** An entry node. */
class GatewayEntry(
    private val settings: NodeConfiguration,
    private val loop: NettyEventLoop,
    private val log: DecisionLog
) : PlatformNode {
    private val random = Random(System.nanoTime())
    private val state = GatewayState(settings, random)
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val codec = platformRequestCodec()
    private val gatewayMetrics = GatewayMetrics(registry)
    private val dispatcher = CallDispatcher(loop, state, codec, log, gatewayMetrics)
    private val http = NettyHttpClient(loop)
    private val store = PlatformStore(http, settings.store.address)
    private val duties = if (settings.duties.isEnabled) {
        val vm = settings.node.vm
        EntryDuties(vm, settings.duties, loop, http, store, systemClocks, log, registry)
    } else {
        null
    }
    private val server = GatewayServer(
        loop,
        state,
        dispatcher,
        (settings.limits.descriptors - DESCRIPTORS_RESERVED) / 2,
        log,
        gatewayMetrics
    )
    private val loadSubscriber = LoadSubscriber(loop, state, dispatcher::onLoadChanged)
    private val listingAge = ListingAgeTracker { state.listedKinds += ObjectKind.WEIGHT_VERSIONS }
    private val pauses = PauseMonitor(systemClocks, log)
    private val versionProgress = WatchProgress(pauses)

    // Kept when watches are restarted, so that the log shows the time since the last confirmation.
    private val versionListener =
        WeightVersionListener(log, systemClocks, pauses, listingAge) { target, since, age ->
            state.versions.onTargetVersion(target.model, target.version, since, age)
        }
    private val evacuations = EvacuationListener(state, log)
    private val watches = mutableListOf<Job>()
    private val watchHealth = WatchHealth(state.storeFreshness, onConfirmed = ::onConfirmed)
    private val watchers = EnumMap<ObjectKind, ObjectWatcher>(ObjectKind::class.java)
    private var isStopping = false
    private var areKeysAccepted = false

    override fun start() {
        pauses.start(loop)
        val configuration = ConfigurationListener(state, log, ::onStoreAvailable)
        startWatch(
            ObjectKind.CONFIGURATION,
            state.storeCallPlan.configurationWaitMillis,
            configuration,
            WatchPacing(
                BATCH_DELAY_MILLIS,
                settings.bounds.configurationMillis.toLong() / CONFIGURATION_LISTINGS,
                BACKOFF_MAX_MILLIS
            )
        )
        startLongPollWatches()
        server.start(socketAddress(settings.addresses.callers))
        ProbeServer(loop, settings.limits, emptyMap(), codec.readinessPath, ::isReady)
            .start(socketAddress(settings.addresses.readiness))
        val metrics = InetSocketAddress(settings.node.host, settings.addresses.peerPort + 1)
        ProbeServer(
            loop,
            settings.limits,
            mapOf("/metrics" to registry::scrape),
            queries = mapOf(
                EXPLAIN_PATH to
                    explainPage({ loop.onTaskFailed("explain", it) }, dispatcher::explain)
            )
        ).start(metrics)
        registry.gauge("toucanspur.requests.active", dispatcher) { it.activeCount.toDouble() }
        registry.gauge("toucanspur.responses.buffered.bytes", dispatcher) {
            it.bufferedBytes.toDouble()
        }
        registry.gauge("toucanspur.callers.connections", server) { it.connectionCount.toDouble() }
        registry.gauge("toucanspur.callers.unsent.bytes", server) { it.unsentBytes.toDouble() }
        registry.gauge("toucanspur.callers.held.bytes", server) { it.heldBytes.toDouble() }
        registerDirectMemory(registry)
        registry.gauge("toucanspur.fingerprints.refused", state) {
            it.crashSuspects.refusedCount.toDouble()
        }
        registry.gauge("toucanspur.endpoints.unreadable", state) {
            it.unreadableRecords.size.toDouble()
        }
        registerExchangeGauges()
        registerEndpointGauge("toucanspur.endpoints.limited") { it.limitPerSecond != null }
        registerEndpointGauge("toucanspur.endpoints.slow") {
            it.times.slowdown(monotonicMillis()) > 1
        }
        registerEndpointGauge("toucanspur.endpoints.narrowed") {
            it.times.concurrencyLimit(it.record.slots, monotonicMillis()) < it.record.slots
        }
        registerEndpointGauge("toucanspur.endpoints.leaving") { it.isLeaving }
        registerEndpointGauge("toucanspur.endpoints.backing.off") {
            it.requestedBackoffMillis(monotonicMillis()) > 0
        }
        loop.scheduleRepeating("freshness", FRESHNESS_CHECK_MILLIS, ::checkFreshness)
        duties?.let { it.start(DutyWork(state, it.lease, it.api, log, registry)) }
    }

    private fun registerExchangeGauges() {
        registry.gauge("toucanspur.entries.heard", state) { it.exchange.heardCount.toDouble() }
        registry.gauge("toucanspur.clock.offset.millis", state) {
            (it.exchange.trueMillis() - systemClocks.now().wallMillis).toDouble()
        }
        registry.gauge("toucanspur.demand.cost.millis", state) {
            val now = monotonicMillis()
            it.configuration?.services?.keys.orEmpty().sumOf { service ->
                it.exchange.demand.total(service, now).sumOf { kind -> kind.costMillisPerSecond }
            }.toDouble()
        }
    }

    private fun registerEndpointGauge(name: String, counts: (FleetEndpoint) -> Boolean) =
        registry.gauge(name, state) { it.fleet.all().count(counts).toDouble() }

    private fun startWatch(
        kind: ObjectKind,
        waitMillis: Long,
        listener: ObjectWatchListener,
        pacing: WatchPacing = WatchPacing(),
        progress: WatchProgress = WatchProgress()
    ): Job = loop.supervise("watch $kind", { watchHealth.onFailed(kind) }) {
        val watcher = ObjectWatcher(
            store,
            kind,
            waitMillis,
            systemClocks,
            random,
            watchHealth.observe(kind, listener),
            pacing,
            progress
        )
        watchers[kind] = watcher
        watcher.run()
    }

    private fun startLongPollWatches() {
        val endpoints = EndpointListener(state, log) {
            loadSubscriber.queryNewAgents()
            dispatcher.onLoadChanged()
        }
        val pacing = PlannedPacing(
            ObjectKind.ENDPOINTS,
            state,
            dispatcher::isEndpointAwaited,
            BACKOFF_MAX_MILLIS
        )
        watches += startWatch(ObjectKind.ENDPOINTS, WATCH_MILLIS, endpoints, pacing)
        val evacuationPacing = PlannedPacing(ObjectKind.EVACUATIONS, state)
        watches += startWatch(ObjectKind.EVACUATIONS, WATCH_MILLIS, evacuations, evacuationPacing)
        watches += startWatch(
            ObjectKind.WEIGHT_VERSIONS,
            VERSION_WATCH_MILLIS,
            versionListener,
            PlannedPacing(ObjectKind.WEIGHT_VERSIONS, state),
            versionProgress
        )
    }

    // A watch whose connection an outage has stalled would fail only at the end of its wait, so
    // these watches are restarted once the store responds again.
    private fun onStoreAvailable(outage: StoreOutage) {
        state.fleet.onStoreRecovered(outage)
        watches.forEach { it.cancel() }
        watches.clear()
        startLongPollWatches()
    }

    private fun isReady(): Boolean = !isStopping &&
        state.isComplete &&
        watchHealth.areAllFollowing &&
        state.storeFreshness.areAllWithin(state.evidenceMaxAgeMillis, systemClocks.now())

    private fun checkFreshness() {
        val now = systemClocks.now()
        evacuations.expire(now.monotonicMillis)
        state.storeFreshness.takeDueForCheck(now).forEach { kind ->
            log.event(EventCode.WATCH_CHECKED) {
                put("kind", kind.name)
                put("ageMillis", state.storeFreshness[kind].ageMillis(now))
            }
            watchers[kind]?.check()
        }
        val isFresh = state.freshness.isFresh(now)
        if (isFresh == areKeysAccepted) return
        areKeysAccepted = isFresh
        log.event(if (isFresh) EventCode.KEYS_RESUMED else EventCode.KEYS_SUSPENDED) {
            put("proofAgeMillis", state.freshness.ageMillis(now) ?: -1)
        }
        if (isFresh) server.resumeInput() else holdInputAfterPause()
    }

    private fun onConfirmed() {
        if (!areKeysAccepted && state.freshness.isFresh(systemClocks.now())) checkFreshness()
    }

    private fun holdInputAfterPause() {
        val areKeysChecked = state.configuration?.requiresApiKey ?: false
        val holdMillis = inputHoldMillis(pauses.recent(), systemClocks.now(), areKeysChecked)
        if (holdMillis == 0L) return
        log.event(EventCode.INPUT_HELD) { put("maxMillis", holdMillis) }
        server.holdInput(holdMillis)
    }

    override suspend fun shutdown() = withContext(loop.executor.asCoroutineDispatcher()) {
        val start = monotonicMillis()
        val graceMillis = settings.bounds.graceSeconds * MILLIS_PER_SECOND
        isStopping = true
        duties?.beginStopping()
        dispatcher.beginStopping(GracePeriod(start, graceMillis))
        server.beginClosing()
        // New connections stop only after the probe has failed twice, a second apart.
        delay(PROBE_REMOVAL_MILLIS)
        server.closeIdle()
        while (server.isServing &&
            monotonicMillis() - start < graceMillis - GRACE_MARGIN_MILLIS
        ) {
            delay(DRAIN_POLL_MILLIS)
            server.closeIdle()
        }
        log.event(EventCode.STOPPED) {
            put("afterMillis", monotonicMillis() - start)
            put("unfinished", dispatcher.activeCount)
        }
    }

    private companion object {
        // Listings in the time that a change of the configuration may take, while changes follow
        // each other quickly. The rest is for the transfer of a listing.
        const val CONFIGURATION_LISTINGS = 4

        // The earlier the end of an outage is seen, the longer endpoints whose records have expired
        // can be kept.
        const val BACKOFF_MAX_MILLIS = 400L

        // TCP keepalive detects a dead connection before this wait ends.
        const val WATCH_MILLIS = 10_000L

        // A version that arrives after a failed watch is assumed to be as old as that watch.
        const val VERSION_WATCH_MILLIS = 2000L

        const val BATCH_DELAY_MILLIS = 250L
        const val FRESHNESS_CHECK_MILLIS = 100L
        const val PROBE_REMOVAL_MILLIS = 3200L
        const val DRAIN_POLL_MILLIS = 50L
        const val GRACE_MARGIN_MILLIS = 400L
        const val MILLIS_PER_SECOND = 1000L
    }
}
