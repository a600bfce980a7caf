/*
 * Measures the effect of event recording on request throughput.
 */
package org.toucanspur.bench.measure

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.toucanspur.bench.ClusterOptions
import org.toucanspur.bench.EntryClient
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.standin.EngineBehaviour

private const val CAPACITY = 256
private const val CALLS = 1600
private const val CONCURRENCY = 16
private const val TOKENS = 4
private const val ROUNDS = 7
private const val MILLIS_PER_SECOND = 1000.0

/** `timeline`: paired rounds with and without events; the result is the median ratio. */
internal class TimelineMeasurement : Measurement {
    override val name = "timeline"

    override suspend fun run(options: Options): JsonObject {
        val behaviour = EngineBehaviour(CAPACITY, firstTokenMillis = 0, tokenMillis = 0)
        val withEvents = measurementCluster(engines = 1, behaviour)
        val withoutEvents = measurementCluster(
            engines = 1,
            behaviour,
            options = ClusterOptions("trial", isEventLogEnabled = false)
        )
        return EntryClient(ORGANISATION).use { client ->
            repeat(2) {
                rate(client, withEvents.entries[0].url)
                rate(client, withoutEvents.entries[0].url)
            }
            val ratios = List(ROUNDS) {
                rate(client, withEvents.entries[0].url) / rate(client, withoutEvents.entries[0].url)
            }.sorted()
            println("ratios: $ratios")
            buildJsonObject {
                put("throughputRatio", ratios[ROUNDS / 2])
                put("minRatio", ratios.first())
                put("maxRatio", ratios.last())
            }
        }.also {
            withEvents.close()
            withoutEvents.close()
        }
    }

    /** Successful calls per second at [url]. */
    private suspend fun rate(client: EntryClient, url: String): Double = coroutineScope {
        val startMillis = monotonicMillis()
        val responses = List(CONCURRENCY) { worker ->
            async {
                List(CALLS / CONCURRENCY) { client.chat(url, MODEL, "call $worker $it", TOKENS) }
            }
        }.awaitAll().flatten()
        check(responses.all { it.isOk }) { "a call failed" }
        responses.size * MILLIS_PER_SECOND / (monotonicMillis() - startMillis)
    }
}
