/*
 * Measures the latency and throughput cost of the entry and the agent for a call to an engine.
 */
package org.toucanspur.bench.measure

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.toucanspur.bench.EntryClient
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.standin.EngineBehaviour

private const val CAPACITY = 256
private const val WARM_UP_CALLS = 1500
private const val CALLS = 1000
private const val CONCURRENCY = 16
private const val TOKENS = 16
private const val MILLIS_PER_SECOND = 1000.0

/** `overhead`: time to first byte and throughput through an entry and directly at the engine. */
internal class OverheadMeasurement : Measurement {
    override val name = "overhead"

    private class LoadResult(
        val firstByteP50: Long,
        val firstByteP99: Long,
        val callsPerSecond: Double
    )

    override suspend fun run(options: Options): JsonObject {
        val behaviour = EngineBehaviour(CAPACITY, firstTokenMillis = 2, tokenMillis = 1)
        val cluster = measurementCluster(engines = 1, behaviour)
        val engineUrl = checkNotNull(cluster.agents[0].engine).url
        val entryUrl = cluster.entries[0].url
        return EntryClient(ORGANISATION).use { client ->
            runCalls(client, engineUrl, WARM_UP_CALLS)
            runCalls(client, entryUrl, WARM_UP_CALLS)
            val direct = runCalls(client, engineUrl, CALLS)
            val throughEntry = runCalls(client, entryUrl, CALLS)
            buildJsonObject {
                put("directFirstP50Millis", direct.firstByteP50)
                put("directFirstP99Millis", direct.firstByteP99)
                put("firstP50Millis", throughEntry.firstByteP50)
                put("firstP99Millis", throughEntry.firstByteP99)
                put("addedFirstP99Millis", throughEntry.firstByteP99 - direct.firstByteP99)
                put("throughputRatio", throughEntry.callsPerSecond / direct.callsPerSecond)
            }
        }.also { cluster.close() }
    }

    private suspend fun runCalls(client: EntryClient, url: String, count: Int): LoadResult =
        coroutineScope {
            val startMillis = monotonicMillis()
            val responses = List(CONCURRENCY) { worker ->
                async {
                    List(count / CONCURRENCY) {
                        client.chat(url, MODEL, "call $worker $it", TOKENS)
                    }
                }
            }.awaitAll().flatten()
            check(responses.all { it.isOk }) { "a call failed: ${responses.first { !it.isOk }}" }
            val seconds = (monotonicMillis() - startMillis) / MILLIS_PER_SECOND
            val firstByteTimes = responses.map { it.firstByteMillis }
            LoadResult(
                percentile(firstByteTimes, P50),
                percentile(firstByteTimes, P99),
                responses.size / seconds
            )
        }
}
