/*
 * What entry and agent add to a call of the engine.
 */
package org.toucanspur.bench.measure

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.toucanspur.bench.Callers
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.standin.EngineBehaviour

private const val CAPACITY = 256
private const val WARM_UP = 1500
private const val CALLS = 1000
private const val CONCURRENT = 16
private const val TOKENS = 16
private const val MILLIS_PER_SECOND = 1000.0

/** `overhead`: first byte and throughput through the system against the engine direct. */
internal class OverheadMeasurement : Measurement {
    override val name = "overhead"

    private class Figures(val firstP50: Long, val firstP99: Long, val perSecond: Double)

    override suspend fun run(options: Options): JsonObject {
        val behaviour = EngineBehaviour(CAPACITY, firstTokenMillis = 2, tokenMillis = 1)
        val cluster = measurementCluster(engines = 1, behaviour)
        val direct = checkNotNull(cluster.agents[0].engine).url
        val through = cluster.entries[0].url
        return Callers(ORGANISATION).use { callers ->
            calls(callers, direct, WARM_UP)
            calls(callers, through, WARM_UP)
            val engine = calls(callers, direct, CALLS)
            val system = calls(callers, through, CALLS)
            buildJsonObject {
                put("directFirstP50Millis", engine.firstP50)
                put("directFirstP99Millis", engine.firstP99)
                put("firstP50Millis", system.firstP50)
                put("firstP99Millis", system.firstP99)
                put("addedFirstP99Millis", system.firstP99 - engine.firstP99)
                put("throughputRatio", system.perSecond / engine.perSecond)
            }
        }.also { cluster.close() }
    }

    private suspend fun calls(callers: Callers, url: String, count: Int): Figures = coroutineScope {
        val startMillis = monotonicMillis()
        val answers = List(CONCURRENT) { lane ->
            async {
                List(count / CONCURRENT) { callers.chat(url, MODEL, "call $lane $it", TOKENS) }
            }
        }.awaitAll().flatten()
        check(answers.all { it.isOk }) { "a call failed: ${answers.first { !it.isOk }}" }
        val seconds = (monotonicMillis() - startMillis) / MILLIS_PER_SECOND
        val first = answers.map { it.firstByteMillis }
        Figures(percentile(first, P50), percentile(first, P99), answers.size / seconds)
    }
}
