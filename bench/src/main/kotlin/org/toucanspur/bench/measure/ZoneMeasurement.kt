/*
 * Service while an availability zone leaves and returns.
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
import org.toucanspur.bench.CallerAnswer
import org.toucanspur.bench.Callers
import org.toucanspur.bench.LocalCluster
import org.toucanspur.bench.isWholeStream
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.standin.EngineBehaviour

private const val CAPACITY = 16
private const val CALLERS_PER_ENTRY = 6
private const val TOKENS = 10
private const val PHASE_MILLIS = 6000L
private const val WARM_UP_MILLIS = 3000L
private const val POLL_MILLIS = 20L
private const val ENTRIES = 3

/** `zone`: chats, lookups and bookings on all entries while zone b leaves and returns. */
internal class ZoneMeasurement : Measurement {
    override val name = "zone"

    private class Sample(val kind: String, val atMillis: Long, val answer: CallerAnswer)

    private val samples = ConcurrentLinkedQueue<Sample>()
    private val bookings = AtomicInteger(0)

    override suspend fun run(options: Options): JsonObject {
        val behaviour = EngineBehaviour(CAPACITY, tokenMillis = 2)
        val cluster = measurementCluster(engines = 6, behaviour, services = 3, entries = ENTRIES)
        return Callers(ORGANISATION).use { measure(cluster, it) }.also { cluster.close() }
    }

    private suspend fun measure(cluster: LocalCluster, callers: Callers): JsonObject =
        coroutineScope {
            val load = cluster.entries.flatMap { entry ->
                List(CALLERS_PER_ENTRY) { launch { call(callers, entry.url) } }
            }
            delay(WARM_UP_MILLIS)
            val startMillis = monotonicMillis()
            delay(PHASE_MILLIS)
            val outMillis = monotonicMillis()
            publishTo(cluster, measurementDocument(CAPACITY, stateOfB = "out"))
            val lastWork = lastNewWork(cluster, outMillis)
            publishTo(cluster, measurementDocument(CAPACITY))
            delay(PHASE_MILLIS)
            load.forEach { it.cancelAndJoin() }
            figures(cluster, startMillis, outMillis, lastWork)
        }

    private suspend fun call(callers: Callers, entry: String) {
        var number = 0
        while (true) {
            sample("chat") { callers.chat(entry, MODEL, "question ${number++}", TOKENS) }
            sample("lookup") { callers.service(entry, "GET", "slots/free?day=${number % 7}") }
            val booking = "booking-${bookings.incrementAndGet()}"
            sample("booking") { callers.service(entry, "POST", "slots/bookings", booking, booking) }
        }
    }

    private suspend fun sample(kind: String, call: suspend () -> CallerAnswer) {
        val answer = call()
        samples += Sample(kind, monotonicMillis(), answer)
    }

    // Work that runs when the zone leaves may finish; only starts count.
    private suspend fun lastNewWork(cluster: LocalCluster, outMillis: Long): Long {
        val inZone = cluster.agents.filter { it.place.zone == "b" }
        fun started() = inZone.sumOf { vm ->
            (vm.engine?.started?.get() ?: 0) + (vm.service?.started?.get() ?: 0)
        }
        var last = 0L
        var count = started()
        while (monotonicMillis() - outMillis < PHASE_MILLIS) {
            delay(POLL_MILLIS)
            val now = started()
            if (now != count) last = monotonicMillis() - outMillis
            count = now
        }
        return last
    }

    private fun figures(
        cluster: LocalCluster,
        startMillis: Long,
        outMillis: Long,
        lastWork: Long
    ): JsonObject {
        val before = times { it in startMillis until outMillis }
        val during = times { it >= outMillis }
        val p99Before = percentile(before, P99)
        val p99During = percentile(during, P99)
        val runs = cluster.agents.mapNotNull { it.service }.flatMap { it.runs.entries }
            .filter { "/bookings" in it.key }
        return buildJsonObject {
            put("requests", samples.size)
            put("failedIdempotent", samples.count { it.kind != "booking" && !isGood(it) })
            put("failedBookings", samples.count { it.kind == "booking" && !isGood(it) })
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
                    it.answer.saysDidNotRun &&
                        it.kind == "booking" &&
                        hasRun(runs, it)
                }
            )
            put("lastNewWorkMillis", lastWork)
            put("p99BeforeMillis", p99Before)
            put("p99DuringMillis", p99During)
            put("p99RatioDuring", p99During.toDouble() / maxOf(1, p99Before))
            put("overLimit", cluster.agents.sumOf { it.engine?.overLimit?.get() ?: 0 })
        }
    }

    private fun times(isWanted: (Long) -> Boolean): List<Long> =
        samples.filter { isWanted(it.atMillis) }.map { it.answer.elapsedMillis }

    private fun isGood(sample: Sample): Boolean =
        if (sample.kind == "chat") isWholeStream(sample.answer) else sample.answer.isOk

    private fun hasRun(runs: List<Map.Entry<String, AtomicInteger>>, sample: Sample): Boolean =
        runs.any { it.key.endsWith(" ${sample.answer.tag}") }
}
