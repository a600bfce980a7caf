/*
 * Three times the load that the endpoints bear.
 */
package org.toucanspur.bench.measure

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.toucanspur.bench.Callers
import org.toucanspur.bench.LocalCluster
import org.toucanspur.bench.isWholeStream
import org.toucanspur.standin.EngineBehaviour

private const val CAPACITY = 8
private const val ENGINES = 3
private const val OVERLOAD = 3
private const val SMALL_LANES = 24
private const val TOKENS = 20
private const val TOKEN_MILLIS = 2L
private const val FIRST_TOKEN_MILLIS = 10L
private const val PHASE_MILLIS = 8000L
private const val BACKOFF_MILLIS = 50L
private const val BASELINE_MILLIS = 4000L

/**
 * `overload`: a large organisation asks for three times the capacity, a small one for its share.
 */
internal class OverloadMeasurement : Measurement {
    override val name = "overload"

    private val direct = AtomicInteger(0)
    private val answered = ConcurrentLinkedQueue<String>()

    override suspend fun run(options: Options): JsonObject {
        val behaviour = EngineBehaviour(CAPACITY, FIRST_TOKEN_MILLIS, TOKEN_MILLIS)
        val document = measurementDocument(CAPACITY, coldConcurrent = 2)
        val cluster = measurementCluster(ENGINES, behaviour, entries = 3, document = document)
        return Callers(ORGANISATION).use { measure(cluster, it) }.also { cluster.close() }
    }

    private suspend fun measure(cluster: LocalCluster, callers: Callers): JsonObject =
        coroutineScope {
            val capacity = baseline(cluster, callers)
            val overLimitBefore = overLimit(cluster)
            val largeLanes = CAPACITY * ENGINES * OVERLOAD
            val load = List(largeLanes) { launch { call(cluster, callers, ORGANISATION, it) } } +
                List(SMALL_LANES) { launch { call(cluster, callers, SMALL_ORGANISATION, it) } }
            delay(PHASE_MILLIS)
            val overLimitCold = overLimit(cluster)
            answered.clear()
            delay(PHASE_MILLIS)
            val good = answered.toList()
            load.forEach { it.cancelAndJoin() }
            val small = good.count { it == SMALL_ORGANISATION }
            buildJsonObject {
                put("overLimit", maxOf(overLimitCold, overLimit(cluster)) - overLimitBefore)
                put("goodputRatio", good.size / (capacity * PHASE_MILLIS))
                put("smallShareRatio", small / (good.size / 2.0))
                put("answered", good.size)
                put("answeredSmall", small)
            }
        }

    private suspend fun call(
        cluster: LocalCluster,
        callers: Callers,
        organisation: String,
        lane: Int
    ) {
        val entry = cluster.entries[lane % cluster.entries.size].url
        var number = 0
        while (true) {
            val prompt = "$organisation $lane ${number++}"
            val answer = callers.chat(entry, MODEL, prompt, TOKENS, organisation = organisation)
            if (isWholeStream(answer)) answered += organisation else delay(BACKOFF_MILLIS)
        }
    }

    private fun overLimit(cluster: LocalCluster): Int =
        cluster.agents.sumOf { it.engine?.overLimit?.get() ?: 0 }

    /** Answers per millisecond of the engines when each is called directly with what it bears. */
    private suspend fun baseline(cluster: LocalCluster, callers: Callers): Double = coroutineScope {
        val engines = cluster.agents.mapNotNull { it.engine }
        val load = engines.flatMap { engine ->
            List(CAPACITY) { lane -> launch { callDirect(engine.url, callers, lane) } }
        }
        delay(BASELINE_MILLIS)
        load.forEach { it.cancelAndJoin() }
        direct.get().toDouble() / BASELINE_MILLIS
    }

    private suspend fun callDirect(url: String, callers: Callers, lane: Int) {
        var number = 0
        while (true) {
            val answer = callers.chat(url, MODEL, "direct $lane ${number++}", TOKENS)
            if (isWholeStream(answer)) direct.incrementAndGet()
        }
    }
}
