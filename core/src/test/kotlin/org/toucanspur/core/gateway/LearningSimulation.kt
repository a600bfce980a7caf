package org.toucanspur.core.gateway

import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.ZoneId

/** Speed and behaviour of the simulated endpoints. */
class SimulatedService(
    val isEngine: Boolean,
    val endpoints: Int,
    val arrivalsPerSecond: Int,
    val targetMillis: Long,
    val entries: Int = 4,
    val slots: Int = if (isEngine) engine.slots else 6,
    /** Factor on the time of endpoint [Int] at time [Long] while it runs [Int] requests. */
    val slowness: (Int, Long, Int) -> Double = { _, _, _ -> 1.0 },
    /** Endpoints that report no load, whatever they run. */
    val isLying: (Int) -> Boolean = { false },
    val runMillis: Long = 20_000
) {
    /** The same service, simulated for [millis]. */
    fun until(millis: Long) = SimulatedService(
        isEngine,
        endpoints,
        arrivalsPerSecond,
        targetMillis,
        entries,
        slots,
        slowness,
        isLying,
        millis
    )
}

/**
 * Simulates entries that place requests on endpoints of different speed. Engines work in passes, in
 * which each stream gets an event; plain endpoints refuse requests beyond their slots.
 */
class LearningSimulation(
    private val service: SimulatedService,
    seed: Int,
    isLearning: Boolean,
    private val fromMillis: Long = 2000
) {
    private class Request(val arrivedMillis: Long) {
        var attempts = 0
        var untilMillis = 0L
    }

    private class Running(
        val request: Request,
        val endpoint: FleetEndpoint,
        val time: AttemptTiming
    ) {
        var events = 0
    }

    private inner class Node(val index: Int) {
        val running = ArrayList<Running>()
        val waiting = ArrayDeque<Running>()
        var isBusy = false

        fun submit(run: Running, now: Long) = if (service.isEngine) {
            waiting.addLast(run)
            if (!isBusy) pass(now) else Unit
        } else {
            serve(run, now)
        }

        private fun factor(now: Long) = service.slowness(index, now, running.size)

        private fun serve(run: Running, now: Long) {
            if (running.size >= service.slots) {
                run.time.close()
                run.endpoint.onEnd()
                run.endpoint.onSignal(EndpointSignal.OVERLOADED, now)
                if (++run.request.attempts < 4) place(run.request, now)
                return
            }
            running += run
            val tail = if (random.nextInt(100) == 0) 5.0 else 0.8 + 0.4 * random.nextDouble()
            schedule(now + (CALL_MILLIS * tail * factor(now)).toLong()) { end ->
                running -= run
                complete(run, end)
                run.time.onComplete(true, end)
                run.endpoint.onEnd()
            }
        }

        private fun pass(now: Long) {
            var admitted = 0
            while (running.size < service.slots && waiting.isNotEmpty()) {
                running += waiting.removeFirst()
                admitted++
            }
            isBusy = running.isNotEmpty()
            if (!isBusy) return
            val work = engine.stepsPerPass * stepMillis(engine, running.size) +
                admitted * prefillMillis(engine, engine.typicalPromptTokens)
            schedule(
                now + (work * factor(now) * (0.9 + 0.2 * random.nextDouble())).toLong()
            ) { end ->
                running.toList().forEach { event(it, end) }
                pass(end)
            }
        }

        private fun event(run: Running, now: Long) {
            if (run.events++ == 0) complete(run, now)
            run.time.onEvents(now)
            if (run.events * engine.stepsPerPass < engine.typicalOutputTokens) return
            running -= run
            run.time.onComplete(true, now)
            run.endpoint.onEnd()
        }
    }

    private val random = Random(seed)
    private val fleets =
        List(service.entries) { Fleet(random = Random(seed), isLearning = isLearning) }
    private val placers = fleets.mapIndexed { index, fleet ->
        RequestPlacer(fleet, ZoneId("a"), RegionId("r"), 0, Random(seed + index))
    }
    private val nodes = List(service.endpoints) { Node(it) }
    private val queues = List(service.entries) { ArrayDeque<Request>() }
    private val events =
        PriorityQueue<Triple<Long, Long, (Long) -> Unit>>(compareBy({ it.first }, { it.second }))
    private val traffic =
        service(timing = if (service.isEngine) engine else null, connectionsMax = 4000)
    private var order = 0L
    private var arrived = 0
    private var onTime = 0

    /** Requests sent to each endpoint. */
    val sentTo = IntArray(service.endpoints)

    /** Share of the requests whose first event or response was on time. */
    val onTimeShare: Double get() = onTime.toDouble() / arrived

    /** Usual times that the first entry has learned. */
    val usualTimes get() = fleets[0].usualTimes(traffic.id)

    fun run(): LearningSimulation {
        fleets.forEach { fleet ->
            nodes.forEach {
                val record = record("e${it.index}", slots = service.slots)
                fleet.put(record.copy(host = "10.0.0.${it.index}"), 0)
            }
        }
        arrive(0)
        if (service.isEngine) report(0, 1)
        while (events.isNotEmpty() && events.peek().first < service.runMillis) {
            val (time, _, action) = events.poll()
            action(time)
        }
        return this
    }

    private fun schedule(time: Long, action: (Long) -> Unit) {
        events += Triple(time, order++, action)
    }

    private fun arrive(now: Long) {
        val gap = -ln(1 - random.nextDouble()) * 1000 / service.arrivalsPerSecond
        schedule(now + random.nextInt(2) + gap.toLong()) { time ->
            if (time >= fromMillis && time < service.runMillis - service.targetMillis) arrived++
            place(Request(time), time)
            arrive(time)
        }
    }

    private fun place(request: Request, now: Long, entry: Int = random.nextInt(service.entries)) {
        if (tryPlace(request, now, entry)) return
        request.untilMillis = now + WaitPolicy.waitMillis(service.targetMillis, 6000, true)
        queues[entry].addLast(request)
    }

    private fun tryPlace(request: Request, now: Long, entry: Int): Boolean {
        val waited = now - request.arrivedMillis
        val budget = WaitPolicy.firstByteBudgetMillis(service.targetMillis, waited, true)
        val query = PlacementQuery(traffic, 973, null, emptySet(), emptySet(), 0)
        val sent = placers[entry].place(query, budget, now, service.entries) as? Placement.Send
            ?: return false
        val endpoint = sent.endpoint
        val occupancy = endpoint.occupancy(now, service.entries) + 1
        val timing =
            endpoint.times.begin(service.isEngine, sent.modelMillis, occupancy, service.slots, now)
        endpoint.onAttempt(now)
        val index = endpoint.record.id.value.drop(1).toInt()
        if (now >= fromMillis) sentTo[index]++
        nodes[index].submit(Running(request, endpoint, timing), now)
        return true
    }

    private fun complete(run: Running, now: Long) {
        val arrivedMillis = run.request.arrivedMillis
        val isCounted =
            arrivedMillis >= fromMillis && arrivedMillis < service.runMillis - service.targetMillis
        if (isCounted && now - arrivedMillis <= service.targetMillis) onTime++
    }

    private fun report(now: Long, sequence: Long) {
        nodes.forEach { node ->
            val isLying = service.isLying(node.index)
            fleets.forEachIndexed { entry, fleet ->
                val load = report(
                    if (isLying) 0 else node.running.size,
                    if (isLying) 0 else node.waiting.size,
                    sequence,
                    entryIndex = entry
                ).copy(entries = service.entries)
                fleet.find(EndpointId("e${node.index}"))!!.onReport(load, now)
            }
        }
        queues.forEachIndexed { entry, queue ->
            queue.removeIf { now > it.untilMillis }
            queue.removeIf { tryPlace(it, now, entry) }
        }
        schedule(now + 100) { report(it, sequence + 1) }
    }

    private companion object {
        const val CALL_MILLIS = 40.0
    }
}
