/*
 * Time from the acceptance of a document until it is in force on every process.
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
private const val PAUSE_MILLIS = 300L
private const val BASE_DEADLINE_MILLIS = 60_000
private const val TARGET_PROCESSES = 2470
private val sizes = listOf(3 to 2, 8 to 3, 16 to 5)

/** `config`: changes at three sizes; agents and entries as separate nodes over sockets. */
internal class ConfigMeasurement : Measurement {
    override val name = "config"

    private class Figures(
        val processes: Int,
        val times: List<Long>,
        val storeCalls: Double,
        val reversions: Int
    )

    override suspend fun run(options: Options): JsonObject {
        val results = sizes.map { (agents, entries) -> measure(agents, entries) }
        results.forEach {
            println(
                "${it.processes} processes: p50 ${percentile(
                    it.times,
                    P50
                )} ms, p99 ${percentile(it.times, P99)} ms"
            )
        }
        val last = results.last()
        val first = results.first()
        val p99 = percentile(last.times, P99)
        val slope =
            (p99 - percentile(first.times, P99)).toDouble() / (last.processes - first.processes)
        return buildJsonObject {
            put("processes", last.processes)
            put("p50Millis", percentile(last.times, P50))
            put("p99Millis", p99)
            put("maxMillis", last.times.max())
            put("p99MillisAtTarget", p99 + maxOf(0.0, slope) * (TARGET_PROCESSES - last.processes))
            put("storeCallsPerChange", last.storeCalls)
            put("storeCallsPerChangeSmall", first.storeCalls)
            put("reversions", results.sumOf { it.reversions })
        }
    }

    private suspend fun measure(agents: Int, entries: Int): Figures {
        val cluster = measurementCluster(
            engines = 0,
            EngineBehaviour(CAPACITY),
            services = agents,
            entries = entries,
            options = ClusterOptions("trial")
        )
        val bases = cluster.entries.map { it.base } + cluster.agents.map { it.base }
        var reversions = 0
        val times = mutableListOf<Long>()
        delay(PAUSE_MILLIS * 2)
        val callsBefore = cluster.objectApi.calls.get()
        repeat(CHANGES) { change ->
            val before = bases.map { it.revision.value }
            times += timesOf(cluster, bases, change)
            reversions +=
                bases.zip(before).count { (base, earlier) -> base.revision.value < earlier }
            delay(PAUSE_MILLIS)
        }
        val calls = (cluster.objectApi.calls.get() - callsBefore).toDouble() / CHANGES
        cluster.close()
        return Figures(bases.size, times, calls, reversions)
    }

    private suspend fun timesOf(
        cluster: LocalCluster,
        bases: List<ProcessBase>,
        change: Int
    ): List<Long> {
        val document = measurementDocument(CAPACITY, deadlineMillis = BASE_DEADLINE_MILLIS + change)
        val revision = publishTo(cluster, document)
        val accepted = monotonicMillis()
        val times = LongArray(bases.size) { -1 }
        while (times.any { it < 0 }) {
            bases.forEachIndexed { index, base ->
                if (times[index] < 0 &&
                    base.revision.value >= revision
                ) {
                    times[index] = monotonicMillis() - accepted
                }
            }
            delay(POLL_MILLIS)
        }
        return times.toList()
    }
}
