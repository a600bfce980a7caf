/*
 * Measures the time from the acceptance of a document until every process has applied it.
 */
package org.toucanspur.bench.measure

import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.toucanspur.bench.ClusterOptions
import org.toucanspur.bench.LocalCluster
import org.toucanspur.daemon.ProcessBase
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.standin.EngineBehaviour

private const val CHANGES = 10
private const val CAPACITY = 8
private const val POLL_MILLIS = 2L
private const val CHANGE_INTERVAL_MILLIS = 300L
private const val BASE_DEADLINE_MILLIS = 60_000
private const val TARGET_PROCESSES = 2470
private val clusterSizes = listOf(3 to 2, 8 to 3, 16 to 5)

/** `config`: changes to clusters of three sizes, whose nodes communicate over sockets. */
internal class ConfigMeasurement : Measurement {
    override val name = "config"

    private class ClusterResult(
        val processes: Int,
        val delays: List<Long>,
        val storeCalls: Double,
        val reversions: Int
    )

    override suspend fun run(options: Options): JsonObject {
        val results = clusterSizes.map { (agents, entries) -> measure(agents, entries) }
        results.forEach {
            println(
                "${it.processes} processes: p50 ${percentile(
                    it.delays,
                    P50
                )} ms, p99 ${percentile(it.delays, P99)} ms"
            )
        }
        val last = results.last()
        val first = results.first()
        val p99 = percentile(last.delays, P99)
        val millisPerProcess =
            (p99 - percentile(first.delays, P99)).toDouble() / (last.processes - first.processes)
        return buildJsonObject {
            put("processes", last.processes)
            put("p50Millis", percentile(last.delays, P50))
            put("p99Millis", p99)
            put("maxMillis", last.delays.max())
            put(
                "p99MillisAtTarget",
                p99 + maxOf(0.0, millisPerProcess) * (TARGET_PROCESSES - last.processes)
            )
            put("storeCallsPerChange", last.storeCalls)
            put("storeCallsPerChangeSmall", first.storeCalls)
            put("reversions", results.sumOf { it.reversions })
        }
    }

    private suspend fun measure(agents: Int, entries: Int): ClusterResult {
        val cluster = measurementCluster(
            engines = 0,
            EngineBehaviour(CAPACITY),
            services = agents,
            entries = entries,
            options = ClusterOptions("trial")
        )
        val bases = cluster.entries.map { it.base } + cluster.agents.map { it.base }
        var reversions = 0
        val delays = mutableListOf<Long>()
        delay(CHANGE_INTERVAL_MILLIS * 2)
        val callsBefore = cluster.objectApi.calls.get()
        repeat(CHANGES) { change ->
            val revisionsBefore = bases.map { it.revision.value }
            delays += measureDelays(cluster, bases, change)
            reversions += bases.zip(revisionsBefore).count { (base, earlier) ->
                base.revision.value < earlier
            }
            delay(CHANGE_INTERVAL_MILLIS)
        }
        val calls = (cluster.objectApi.calls.get() - callsBefore).toDouble() / CHANGES
        cluster.close()
        return ClusterResult(bases.size, delays, calls, reversions)
    }

    private suspend fun measureDelays(
        cluster: LocalCluster,
        bases: List<ProcessBase>,
        change: Int
    ): List<Long> {
        val document = measurementDocument(CAPACITY, deadlineMillis = BASE_DEADLINE_MILLIS + change)
        val revision = publishDocument(cluster, document)
        val acceptedMillis = monotonicMillis()
        val delays = LongArray(bases.size) { -1 }
        while (delays.any { it < 0 }) {
            bases.forEachIndexed { index, base ->
                if (delays[index] < 0 &&
                    base.revision.value >= revision
                ) {
                    delays[index] = monotonicMillis() - acceptedMillis
                }
            }
            delay(POLL_MILLIS)
        }
        return delays.toList()
    }
}
