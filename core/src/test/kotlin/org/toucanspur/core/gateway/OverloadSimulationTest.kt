package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.ZoneId

private const val ENTRIES = 4
private const val ENGINES = 6
private const val REPORT_PERIOD_MILLIS = 100L
private const val ARRIVALS_PER_SECOND = 98
private const val RUN_MILLIS = 30_000L
private const val TARGET_MILLIS = 400L
private const val FIRST_EVENT_DELAY_MILLIS = 120L
private const val MEAN_DURATION_MILLIS = 1300.0
private const val LIMIT_PER_SECOND = 2.2

/** Engine with a fixed number of slots and a queue of requests that wait for one. */
private class SlotEngine(private val slots: Int) {
    var running = 0
    private val queue = ArrayDeque<(Long) -> Unit>()
    val waiting: Int get() = queue.size

    fun submit(now: Long, begin: (Long) -> Unit) {
        if (running < slots) {
            running++
            begin(now)
        } else {
            queue.addLast(begin)
        }
    }

    fun end(now: Long) {
        running--
        val next = queue.removeFirstOrNull() ?: return
        running++
        next(now)
    }
}

private class SimulatedCall(override val untilMillis: Long, val arrivedMillis: Long) : WaitingCall {
    override val serviceId = writers
    override val rank = 1
    override val organisationId = null
    override val costMillis = 100.0
    override val reviewMillis = untilMillis
    override val heldBytes = 1L
    override val placementKind: Any = Unit
}

/**
 * Simulates four entries that send more requests to six engines than these can process. The first
 * [limitedCount] engines name [LIMIT_PER_SECOND].
 */
private class OverloadSimulation(seed: Int, private val limitedCount: Int = 0) {
    private val random = Random(seed)
    private val engines = List(ENGINES) { SlotEngine(engine.slots) }
    private val fleets = List(ENTRIES) { Fleet(random = Random(seed + it)) }
    private val placers = fleets.mapIndexed { index, fleet ->
        RequestPlacer(fleet, ZoneId("a"), RegionId("r"), 0, Random(seed + index))
    }
    private val waiting = List(ENTRIES) { WaitingCalls<SimulatedCall>(256) }
    private val events = PriorityQueue<Pair<Long, (Long) -> Unit>>(compareBy { it.first })
    private var busyMillis = 0.0
    var onTime = 0
    var sent = 0
    var refused = 0
    val sentTo = IntArray(ENGINES)

    val utilisation: Double get() = busyMillis / (RUN_MILLIS * ENGINES * engine.slots)

    fun run() {
        fleets.forEach { fleet ->
            repeat(ENGINES) { fleet.put(record("e$it").copy(host = "10.0.0.$it"), 0) }
            repeat(limitedCount) {
                fleet.find(EndpointId("e$it"))
                    ?.onNamedLimit(NamedLimit.Rate(LIMIT_PER_SECOND), 0, 0)
            }
        }
        scheduleArrival(0)
        schedule(0) { report(it, 1) }
        while (events.isNotEmpty() && events.peek().first < RUN_MILLIS) {
            val (time, action) = events.poll()
            action(time)
        }
    }

    private fun schedule(time: Long, action: (Long) -> Unit) {
        events += time to action
    }

    private fun scheduleArrival(now: Long) {
        val gap = -ln(1 - random.nextDouble()) * 1000 / ARRIVALS_PER_SECOND
        schedule(now + maxOf(1, gap.toLong())) { time ->
            val entry = random.nextInt(ENTRIES)
            val until = time + WaitPolicy.waitMillis(TARGET_MILLIS, 6000, isOnTime = true)
            val call = SimulatedCall(until, time)
            if (!place(entry, call, time)) waiting[entry].add(call)
            scheduleArrival(time)
        }
    }

    private fun place(entry: Int, call: SimulatedCall, now: Long): Boolean {
        val waited = now - call.arrivedMillis
        val budget = WaitPolicy.firstByteBudgetMillis(TARGET_MILLIS, waited, isOnTime = true)
        val query = PlacementQuery(service(), 973, null, emptySet(), emptySet(), 0)
        val choice = placers[entry].place(query, budget, now, ENTRIES)
        if (choice !is Placement.Send) return false
        val endpoint = choice.endpoint
        val index = endpoint.record.id.value.drop(1).toInt()
        val target = engines[index]
        sentTo[index]++
        endpoint.onAttempt(now)
        sent++
        target.submit(now) { startedMillis -> begin(entry, endpoint, target, call, startedMillis) }
        return true
    }

    private fun begin(
        entry: Int,
        endpoint: FleetEndpoint,
        target: SlotEngine,
        call: SimulatedCall,
        startedMillis: Long
    ) {
        if (startedMillis + FIRST_EVENT_DELAY_MILLIS - call.arrivedMillis <= TARGET_MILLIS) onTime++
        val durationMillis = (MEAN_DURATION_MILLIS * (0.4 + 1.2 * random.nextDouble())).toLong()
        busyMillis += minOf(durationMillis, RUN_MILLIS - startedMillis)
        schedule(startedMillis + durationMillis) { time ->
            target.end(time)
            endpoint.onEnd()
            drain(entry, time)
        }
    }

    private fun report(now: Long, sequence: Long) {
        engines.forEachIndexed { index, target ->
            fleets.forEachIndexed { entry, fleet ->
                val loadReport =
                    report(target.running, target.waiting, sequence, entryIndex = entry)
                fleet.find(EndpointId("e$index"))!!.onReport(loadReport, now)
            }
        }
        repeat(ENTRIES) { drain(it, now) }
        schedule(now + REPORT_PERIOD_MILLIS) { report(it, sequence + 1) }
    }

    private fun drain(entry: Int, now: Long) {
        val capacity = WaitCapacity(Double.MAX_VALUE, Double.MAX_VALUE)
        refused += waiting[entry].removeUnservable(now) { capacity }.size
        waiting[entry].drain {
            if (place(entry, it, now)) PlacementResult.PLACED else PlacementResult.BUSY
        }
    }
}

class OverloadSimulationTest :
    DescribeSpec({
        describe("four entries that send a third more requests than six engines can process") {
            for (seed in 1..5) {
                val simulation = OverloadSimulation(seed).apply { run() }
                it("get the first event on time for over 95% of sent requests (seed $seed)") {
                    simulation.onTime.toDouble() / simulation.sent shouldBeGreaterThan 0.95
                }
                it("keep the slot utilisation above 85% (seed $seed)") {
                    simulation.utilisation shouldBeGreaterThan 0.85
                    simulation.utilisation shouldBeLessThan 1.0
                }
                it("refuse the excess requests (seed $seed)") {
                    simulation.refused shouldBeGreaterThan 300
                }
            }
        }
        describe("engines that name a limit under overload") {
            for (seed in 1..5) {
                val simulation = OverloadSimulation(seed, limitedCount = 3).apply { run() }
                val limited = LIMIT_PER_SECOND * RUN_MILLIS / 1000
                it("get most of it and no more (seed $seed)") {
                    simulation.sentTo.take(3).forAll {
                        it.toDouble() shouldBeGreaterThan limited * 0.8
                        it.toDouble() shouldBeLessThan limited * 1.1
                    }
                }
                it("leave the other engines as busy as before (seed $seed)") {
                    val capacity = engine.slots * RUN_MILLIS / MEAN_DURATION_MILLIS
                    simulation.sentTo.drop(3).forAll {
                        it.toDouble() shouldBeGreaterThan capacity * 0.85
                    }
                }
            }
        }
    })
