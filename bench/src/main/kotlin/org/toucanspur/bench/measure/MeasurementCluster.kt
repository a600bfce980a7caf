/*
 * The deployment that the measurements over sockets share.
 */
package org.toucanspur.bench.measure

import com.github.michaelbull.result.fold
import java.util.UUID
import kotlinx.coroutines.delay
import org.toucanspur.bench.ClusterOptions
import org.toucanspur.bench.LocalCluster
import org.toucanspur.bench.Place
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
private const val CALL_TIMEOUT_MILLIS = 2000L
private val places = listOf(Place("a", "north"), Place("b", "south"), Place("c", "west"))
private val release =
    syntheticRelease(ReleaseSpec(MODEL, "1", emptyList(), RELEASE_BYTES, CHUNK_BYTES))

/** The document of the measurements. */
internal fun measurementDocument(
    concurrentMax: Int,
    coldConcurrent: Int = concurrentMax,
    stateOfB: String = "in",
    deadlineMillis: Int = 60_000
): String = """
    [environment]
    name = trial
    deadline-millis = $deadlineMillis
    [zone a]
    region = north
    [zone b]
    region = south
    state = $stateOfB
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

/** Starts entries, engines and services over three zones and waits until all serve. */
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
    repeat(entries) { cluster.addEntry("entry-${it + 1}", places[it % places.size]) }
    repeat(engines) {
        cluster.addEngine("writer-${it + 1}", "writers", places[it % places.size], behaviour)
    }
    repeat(services) { cluster.addService("desk-${it + 1}", "desks", places[it % places.size]) }
    publishTo(cluster, document)
    while (!isServing(cluster)) delay(POLL_MILLIS)
    return cluster
}

private fun isServing(cluster: LocalCluster): Boolean = cluster.entries.all { entry ->
    entry.node.endpoints().count { it.accepting } == cluster.agents.size
}

/** Puts [document] in force; returns its revision. */
internal suspend fun publishTo(cluster: LocalCluster, document: String): Long =
    platformHttpClient(CALL_TIMEOUT_MILLIS).use { http ->
        DocumentPublisher("trial", HttpObjectStore(http, cluster.objectApi.url))
            .publish(
                Submission(UUID.randomUUID().toString(), "measure", "", document, wallMillis())
            )
            .fold({ it.revision.value }, { error(it.message) })
    }

/** The value below which the [share] of [values] lies. */
internal fun percentile(values: List<Long>, share: Double): Long {
    val sorted = values.sorted()
    return sorted[((sorted.size - 1) * share).toInt()]
}
