/*
 * The entry of a platform deployment: follows the store, serves callers, and shuts down without
 * cutting off a request.
 */
package org.toucanspur.daemon.gateway

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.net.InetSocketAddress
import kotlin.random.Random
import kotlinx.coroutines.Job
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.platform.ObjectFeed
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.net.NetLoop
import org.toucanspur.daemon.net.NettyHttpCaller
import org.toucanspur.daemon.net.socketAddress
import org.toucanspur.daemon.node.PlatformNode
import org.toucanspur.platform.PlatformStore
import org.toucanspur.platform.platformRequestCodec
import org.toucanspur.schema.NodeConfiguration

/** Descriptors kept free for the store, probes and endpoints. */
private const val DESCRIPTORS_RESERVED = 600

/** One entry. */
class GatewayEntry(
    private val settings: NodeConfiguration,
    private val loop: NetLoop,
    private val log: DecisionLog
) : PlatformNode {
    private val random = Random(System.nanoTime())
    private val state = GatewayState(settings, random)
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val codec = platformRequestCodec()
    private val dispatcher =
        CallDispatcher(loop, state, codec, log, GatewayMetrics(registry))
    private val store: ObjectFeed = PlatformStore(NettyHttpCaller(loop), settings.store.address)
    private val server = GatewayServer(
        loop,
        state,
        dispatcher,
        (settings.limits.descriptors - DESCRIPTORS_RESERVED) / 2
    )
    private val reports = LoadSubscriber(loop, state, dispatcher::onLoadChanged)
    private val listingAge = ListingAge { state.listedKinds += ObjectKind.WEIGHT_VERSIONS }
    private val longWaits = mutableListOf<Job>()
    private var isStopping = false
    private var areKeysFresh = false

    override fun start() {
        val configuration = ConfigurationSink(state, log, ::onStoreRecovered)
        follow(ObjectKind.CONFIGURATION, CONFIGURATION_WAIT_MILLIS, configuration)
        followLongWaits()
        server.start(socketAddress(settings.addresses.callers))
        ProbeServer(loop, emptyMap(), codec.readinessPath, ::isReady)
            .start(socketAddress(settings.addresses.readiness))
        val metrics = InetSocketAddress(settings.node.host, settings.addresses.peerPort + 1)
        ProbeServer(loop, mapOf("/metrics" to registry::scrape)).start(metrics)
        registry.gauge("toucanspur.requests.active", dispatcher) { it.activeCount.toDouble() }
        registry.gauge("toucanspur.callers.connections", server) { it.connectionCount.toDouble() }
        loop.every(PROOF_CHECK_MILLIS, ::checkProof)
    }

    private fun follow(
        kind: ObjectKind,
        waitMillis: Long,
        sink: KindSink,
        gatherMillis: Long = 0
    ): Job = loop.scope.launch {
        KindFollower(store, kind, waitMillis, systemClocks, random, sink, gatherMillis).run()
    }

    private fun followLongWaits() {
        val endpoints = EndpointSink(state, log) {
            reports.ask()
            dispatcher.onLoadChanged()
        }
        val versions = VersionSink(log, listingAge) { named, age ->
            state.versions.onNamed(named.model, named.version, monotonicMillis(), age)
        }
        longWaits += follow(ObjectKind.ENDPOINTS, WAIT_MILLIS, endpoints, GATHER_MILLIS)
        longWaits += follow(ObjectKind.EVACUATIONS, WAIT_MILLIS, EvacuationSink(state, log))
        longWaits += follow(ObjectKind.WEIGHT_VERSIONS, WAIT_MILLIS, versions)
    }

    // A watch that an outage has silenced would be noticed only at the end of its wait.
    private fun onStoreRecovered() {
        state.fleet.onStoreRecovered(monotonicMillis())
        longWaits.forEach { it.cancel() }
        longWaits.clear()
        followLongWaits()
    }

    private fun isReady(): Boolean =
        !isStopping && state.isComplete && state.proof.isFresh(systemClocks.now())

    private fun checkProof() {
        val now = systemClocks.now()
        val isFresh = state.proof.isFresh(now)
        if (isFresh == areKeysFresh) return
        areKeysFresh = isFresh
        log.event(if (isFresh) EventCode.KEYS_RESUMED else EventCode.KEYS_SUSPENDED) {
            put("proofAgeMillis", state.proof.ageMillis(now) ?: -1)
        }
    }

    override suspend fun shutdown() = withContext(loop.executor.asCoroutineDispatcher()) {
        val start = monotonicMillis()
        val graceMillis = settings.bounds.graceSeconds * MILLIS_PER_SECOND
        isStopping = true
        server.beginClosing()
        // The probe has to fail twice, a second apart, before no new connections come.
        delay(ROTATION_MILLIS)
        server.closeIdle()
        while (dispatcher.activeCount > 0 &&
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
        // Gives proof of the newest configuration once a second.
        const val CONFIGURATION_WAIT_MILLIS = 1000L

        // A silent connection is found by keepalive before the wait is over.
        const val WAIT_MILLIS = 10_000L

        // Well below the shortest time in which a leaving endpoint must get no more requests.
        const val GATHER_MILLIS = 250L
        const val PROOF_CHECK_MILLIS = 100L
        const val ROTATION_MILLIS = 3200L
        const val DRAIN_POLL_MILLIS = 50L
        const val GRACE_MARGIN_MILLIS = 400L
        const val MILLIS_PER_SECOND = 1000L
    }
}
