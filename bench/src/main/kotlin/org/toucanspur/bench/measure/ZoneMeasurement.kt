/*
 * Measures availability while an availability zone is taken out and put back.
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
import org.toucanspur.bench.EntryResponse
import org.toucanspur.bench.LocalCluster
import org.toucanspur.bench.isCompleteStream
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.standin.EngineBehaviour

private const val CAPACITY = 16
private const val WORKERS_PER_ENTRY = 6
private const val TOKENS = 10
private const val PHASE_MILLIS = 6000L
private const val WARM_UP_MILLIS = 3000L
private const val POLL_MILLIS = 20L
private const val ENTRIES = 3

/** `zone`: chats, lookups and bookings on all entries while zone b is taken out and put back. */
internal class ZoneMeasurement : Measurement {
    override val name = "zone"

    private class Sample(val kind: String, val atMillis: Long, val response: EntryResponse)

    private val samples = ConcurrentLinkedQueue<Sample>()
    private val bookingCount = AtomicInteger(0)

    override suspend fun run(options: Options): JsonObject {
        val behaviour = EngineBehaviour(CAPACITY, tokenMillis = 2)
        val cluster = measurementCluster(engines = 6, behaviour, services = 3, entries = ENTRIES)
        return EntryClient(ORGANISATION).use { measure(cluster, it) }.also { cluster.close() }
    }

    private suspend fun measure(cluster: LocalCluster, client: EntryClient): JsonObject =
        coroutineScope {
            val load = cluster.entries.flatMap { entry ->
                List(WORKERS_PER_ENTRY) { launch { callRepeatedly(client, entry.url) } }
            }
            delay(WARM_UP_MILLIS)
            val startMillis = monotonicMillis()
            delay(PHASE_MILLIS)
            val outMillis = monotonicMillis()
            publishDocument(cluster, measurementDocument(CAPACITY, zoneBState = "out"))
            val lastStartMillis = lastStartInZone(cluster, outMillis)
            publishDocument(cluster, measurementDocument(CAPACITY))
            delay(PHASE_MILLIS)
            load.forEach { it.cancelAndJoin() }
            toJson(cluster, startMillis, outMillis, lastStartMillis)
        }

    private suspend fun callRepeatedly(client: EntryClient, entry: String) {
        var callCount = 0
        while (true) {
            record("chat") { client.chat(entry, MODEL, "question ${callCount++}", TOKENS) }
            record("lookup") { client.service(entry, "GET", "slots/free?day=${callCount % 7}") }
            val booking = "booking-${bookingCount.incrementAndGet()}"
            record("booking") { client.service(entry, "POST", "slots/bookings", booking, booking) }
        }
    }

    private suspend fun record(kind: String, call: suspend () -> EntryResponse) {
        val response = call()
        samples += Sample(kind, monotonicMillis(), response)
    }

    // Requests that run when the zone is taken out may finish, so only starts are counted.
    private suspend fun lastStartInZone(cluster: LocalCluster, outMillis: Long): Long {
        val inZone = cluster.agents.filter { it.location.zone == "b" }
        fun started() = inZone.sumOf { vm ->
            (vm.engine?.started?.get() ?: 0) + (vm.service?.started?.get() ?: 0)
        }
        var lastStartMillis = 0L
        var count = started()
        while (monotonicMillis() - outMillis < PHASE_MILLIS) {
            delay(POLL_MILLIS)
            val now = started()
            if (now != count) lastStartMillis = monotonicMillis() - outMillis
            count = now
        }
        return lastStartMillis
    }

    private fun toJson(
        cluster: LocalCluster,
        startMillis: Long,
        outMillis: Long,
        lastStartMillis: Long
    ): JsonObject {
        val elapsedBefore = elapsedTimes { it in startMillis until outMillis }
        val elapsedDuring = elapsedTimes { it >= outMillis }
        val p99Before = percentile(elapsedBefore, P99)
        val p99During = percentile(elapsedDuring, P99)
        val runs = cluster.agents.mapNotNull { it.service }.flatMap { it.runs.entries }
            .filter { "/bookings" in it.key }
        return buildJsonObject {
            put("requests", samples.size)
            put("failedIdempotent", samples.count { it.kind != "booking" && !isSuccessful(it) })
            put("failedBookings", samples.count { it.kind == "booking" && !isSuccessful(it) })
            put(
                "doubled",
                runs.groupBy { it.key }.count { group ->
                    group.value.sumOf { it.value.get() } >
                        1
                }
            )
            put(
                "falseDidNotRun",
                samples.count {
                    it.response.declaresNotExecuted &&
                        it.kind == "booking" &&
                        wasExecuted(runs, it)
                }
            )
            put("lastNewWorkMillis", lastStartMillis)
            put("p99BeforeMillis", p99Before)
            put("p99DuringMillis", p99During)
            put("p99RatioDuring", p99During.toDouble() / maxOf(1, p99Before))
            put("overLimit", cluster.agents.sumOf { it.engine?.overLimit?.get() ?: 0 })
        }
    }

    private fun elapsedTimes(isIncluded: (Long) -> Boolean): List<Long> =
        samples.filter { isIncluded(it.atMillis) }.map { it.response.elapsedMillis }

    private fun isSuccessful(sample: Sample): Boolean =
        if (sample.kind == "chat") isCompleteStream(sample.response) else sample.response.isOk

    private fun wasExecuted(runs: List<Map.Entry<String, AtomicInteger>>, sample: Sample): Boolean =
        runs.any { it.key.endsWith(" ${sample.response.requestBody}") }
}
