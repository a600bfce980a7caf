/*
 * Measures goodput and fairness at three times the capacity of the endpoints.
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
import org.toucanspur.bench.EntryClient
import org.toucanspur.bench.LocalCluster
import org.toucanspur.bench.isCompleteStream
import org.toucanspur.standin.EngineBehaviour

private const val CAPACITY = 8
private const val ENGINES = 3
private const val OVERLOAD_FACTOR = 3
private const val SMALL_WORKERS = 24
private const val TOKENS = 20
private const val TOKEN_MILLIS = 2L
private const val FIRST_TOKEN_MILLIS = 10L
private const val PHASE_MILLIS = 8000L
private const val BACKOFF_MILLIS = 50L
private const val BASELINE_MILLIS = 4000L

/**
 * `overload`: a large organisation offers three times the capacity, a small one its fair share.
 */
internal class OverloadMeasurement : Measurement {
    override val name = "overload"

    private val directResponses = AtomicInteger(0)
    private val completed = ConcurrentLinkedQueue<String>()

    override suspend fun run(options: Options): JsonObject {
        val behaviour = EngineBehaviour(CAPACITY, FIRST_TOKEN_MILLIS, TOKEN_MILLIS)
        val document = measurementDocument(CAPACITY, coldConcurrent = 2)
        val cluster = measurementCluster(ENGINES, behaviour, entries = 3, document = document)
        return EntryClient(ORGANISATION).use { measure(cluster, it) }.also { cluster.close() }
    }

    private suspend fun measure(cluster: LocalCluster, client: EntryClient): JsonObject =
        coroutineScope {
            val responsesPerMilli = measureBaseline(cluster, client)
            val overLimitBaseline = countOverLimit(cluster)
            val largeWorkers = CAPACITY * ENGINES * OVERLOAD_FACTOR
            val load = List(largeWorkers) {
                launch { callRepeatedly(cluster, client, ORGANISATION, it) }
            } + List(SMALL_WORKERS) {
                launch { callRepeatedly(cluster, client, SMALL_ORGANISATION, it) }
            }
            delay(PHASE_MILLIS)
            val overLimitWarmUp = countOverLimit(cluster)
            completed.clear()
            delay(PHASE_MILLIS)
            val completions = completed.toList()
            load.forEach { it.cancelAndJoin() }
            val smallCompletions = completions.count { it == SMALL_ORGANISATION }
            buildJsonObject {
                put(
                    "overLimit",
                    maxOf(overLimitWarmUp, countOverLimit(cluster)) - overLimitBaseline
                )
                put("goodputRatio", completions.size / (responsesPerMilli * PHASE_MILLIS))
                put("smallShareRatio", smallCompletions / (completions.size / 2.0))
                put("answered", completions.size)
                put("answeredSmall", smallCompletions)
            }
        }

    private suspend fun callRepeatedly(
        cluster: LocalCluster,
        client: EntryClient,
        organisation: String,
        worker: Int
    ) {
        val entry = cluster.entries[worker % cluster.entries.size].url
        var callCount = 0
        while (true) {
            val prompt = "$organisation $worker ${callCount++}"
            val response = client.chat(entry, MODEL, prompt, TOKENS, organisation = organisation)
            if (isCompleteStream(response)) completed += organisation else delay(BACKOFF_MILLIS)
        }
    }

    private fun countOverLimit(cluster: LocalCluster): Int =
        cluster.agents.sumOf { it.engine?.overLimit?.get() ?: 0 }

    /** Responses per millisecond of the engines when each is called directly at its capacity. */
    private suspend fun measureBaseline(cluster: LocalCluster, client: EntryClient): Double =
        coroutineScope {
            val engines = cluster.agents.mapNotNull { it.engine }
            val load = engines.flatMap { engine ->
                List(CAPACITY) { worker ->
                    launch { callEngineRepeatedly(engine.url, client, worker) }
                }
            }
            delay(BASELINE_MILLIS)
            load.forEach { it.cancelAndJoin() }
            directResponses.get().toDouble() / BASELINE_MILLIS
        }

    private suspend fun callEngineRepeatedly(url: String, client: EntryClient, worker: Int) {
        var callCount = 0
        while (true) {
            val response = client.chat(url, MODEL, "direct $worker ${callCount++}", TOKENS)
            if (isCompleteStream(response)) directResponses.incrementAndGet()
        }
    }
}
