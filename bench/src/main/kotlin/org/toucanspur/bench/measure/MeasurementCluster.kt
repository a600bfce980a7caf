/*
 * Cluster setup and helpers common to the measurements that run over sockets.
 */
package org.toucanspur.bench.measure

import com.github.michaelbull.result.fold
import java.util.UUID
import kotlinx.coroutines.delay
import org.toucanspur.bench.ClusterOptions
import org.toucanspur.bench.LocalCluster
import org.toucanspur.bench.VmLocation
import org.toucanspur.core.config.DocumentPublisher
import org.toucanspur.core.config.Submission
import org.toucanspur.daemon.platform.HttpObjectStore
import org.toucanspur.daemon.platform.platformHttpClient
import org.toucanspur.daemon.wallMillis
import org.toucanspur.standin.EngineBehaviour
import org.toucanspur.standin.ReleaseSpec
import org.toucanspur.standin.syntheticRelease

internal const val ORGANISATION = "large"
internal const val SMALL_ORGANISATION = "small"
internal const val MODEL = "writer"
internal const val KIB = 1024L
internal const val P99 = 0.99
internal const val P50 = 0.5
private const val RELEASE_BYTES = 1024L * 1024
private const val CHUNK_BYTES = 64 * 1024
private const val POLL_MILLIS = 50L
private const val HTTP_TIMEOUT_MILLIS = 2000L
private val locations =
    listOf(VmLocation("a", "north"), VmLocation("b", "south"), VmLocation("c", "west"))
private val release =
    syntheticRelease(ReleaseSpec(MODEL, "1", emptyList(), RELEASE_BYTES, CHUNK_BYTES))

/** Returns the configuration document of the measurements. */
internal fun measurementDocument(
    concurrentMax: Int,
    coldConcurrent: Int = concurrentMax,
    zoneBState: String = "in",
    deadlineMillis: Int = 60_000
): String = """
    [environment]
    name = trial
    deadline-millis = $deadlineMillis
    [zone a]
    region = north
    [zone b]
    region = south
    state = $zoneBState
    [zone c]
    region = west
    [model $MODEL]
    version = 1
    digest = ${release.digest}
    [pool writers]
    kind = engine
    model = $MODEL
    zones = a, b, c
    endpoints = 6
    concurrent-max = $concurrentMax
    cold-concurrent = $coldConcurrent
    held-max = 64
    fencing = honoured
    order-check = yes
    [pool desks]
    kind = service
    zones = a, b, c
    endpoints = 3
    concurrent-max = 16
    cold-concurrent = 16
    [service slots]
    pool = desks
    at-most-once = POST /bookings
    [organisation $ORGANISATION]
    [organisation $SMALL_ORGANISATION]
""".trimIndent()

/**
 * Starts entries, engines and services in three availability zones and waits until every entry sees
 * all endpoints as accepting.
 */
internal suspend fun measurementCluster(
    engines: Int,
    behaviour: EngineBehaviour,
    services: Int = 0,
    entries: Int = 1,
    document: String = measurementDocument(behaviour.capacity),
    options: ClusterOptions = ClusterOptions("trial")
): LocalCluster {
    val cluster = LocalCluster(options)
    cluster.startPlatform()
    cluster.weightStore.publish(release)
    repeat(entries) { cluster.addEntry("entry-${it + 1}", locations[it % locations.size]) }
    repeat(engines) {
        cluster.addEngine("writer-${it + 1}", "writers", locations[it % locations.size], behaviour)
    }
    repeat(services) {
        cluster.addService("desk-${it + 1}", "desks", locations[it % locations.size])
    }
    publishDocument(cluster, document)
    while (!areAllEndpointsAccepting(cluster)) delay(POLL_MILLIS)
    return cluster
}

private fun areAllEndpointsAccepting(cluster: LocalCluster): Boolean =
    cluster.entries.all { entry ->
        entry.node.endpoints().count { it.accepting } == cluster.agents.size
    }

/** Publishes [document] and returns its revision. */
internal suspend fun publishDocument(cluster: LocalCluster, document: String): Long =
    platformHttpClient(HTTP_TIMEOUT_MILLIS).use { http ->
        DocumentPublisher("trial", HttpObjectStore(http, cluster.objectApi.url))
            .publish(
                Submission(UUID.randomUUID().toString(), "measure", "", document, wallMillis())
            )
            .fold({ it.revision.value }, { error(it.message) })
    }

/** Returns the quantile of [values] at [fraction], which lies between 0 and 1. */
internal fun percentile(values: List<Long>, fraction: Double): Long {
    val sorted = values.sorted()
    return sorted[((sorted.size - 1) * fraction).toInt()]
}
