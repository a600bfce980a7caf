/*
 * Cost of the time line: throughput of requests with events on and off.
 */
package org.toucanspur.bench.measure

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.toucanspur.bench.Callers
import org.toucanspur.bench.ClusterOptions
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.standin.EngineBehaviour

private const val CAPACITY = 256
private const val CALLS = 1600
private const val CONCURRENT = 16
private const val TOKENS = 4
private const val ROUNDS = 7
private const val MILLIS_PER_SECOND = 1000.0

/** `timeline`: rounds with events on and off in turn; the median of the paired ratios counts. */
internal class TimelineMeasurement : Measurement {
    override val name = "timeline"

    override suspend fun run(options: Options): JsonObject {
        val behaviour = EngineBehaviour(CAPACITY, firstTokenMillis = 0, tokenMillis = 0)
        val on = measurementCluster(engines = 1, behaviour)
        val off = measurementCluster(
            engines = 1,
            behaviour,
            options = ClusterOptions("trial", isEventLogEnabled = false)
        )
        return Callers(ORGANISATION).use { callers ->
            repeat(2) {
                perSecond(callers, on.entries[0].url)
                perSecond(callers, off.entries[0].url)
            }
            val ratios = List(ROUNDS) {
                perSecond(callers, on.entries[0].url) / perSecond(callers, off.entries[0].url)
            }.sorted()
            println("ratios: $ratios")
            buildJsonObject {
                put("throughputRatio", ratios[ROUNDS / 2])
                put("minRatio", ratios.first())
                put("maxRatio", ratios.last())
            }
        }.also {
            on.close()
            off.close()
        }
    }

    private suspend fun perSecond(callers: Callers, url: String): Double = coroutineScope {
        val startMillis = monotonicMillis()
        val answers = List(CONCURRENT) { lane ->
            async {
                List(CALLS / CONCURRENT) { callers.chat(url, MODEL, "call $lane $it", TOKENS) }
            }
        }.awaitAll().flatten()
        check(answers.all { it.isOk }) { "a call failed" }
        answers.size * MILLIS_PER_SECOND / (monotonicMillis() - startMillis)
    }
}
