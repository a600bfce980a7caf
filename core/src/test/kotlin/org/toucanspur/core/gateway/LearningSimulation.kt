package org.toucanspur.core.gateway

import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.LoadReport
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.ZoneId

/** One kind of requests to a simulated service, [share] of all of them. */
class SimulatedKind(
    val share: Double,
    val promptTokens: Int,
    val outputTokens: Int,
    val targetMillis: Long
)

/** Speed and behaviour of the simulated endpoints. */
data class SimulatedService(
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
    val runMillis: Long = 20_000,
    val timing: EngineTiming = engine,
    val kinds: List<SimulatedKind> = listOf(SimulatedKind(1.0, 973, 106, targetMillis)),
    val regions: Int = 1,
    /** Prompt tokens that an engine reads in one pass. */
    val passTokensMax: Int = Int.MAX_VALUE,
    /** Requests that wait at an engine before it refuses others. */
    val queueMax: Int = Int.MAX_VALUE,
    /** Age of the endpoints' own reports; if above 0, each agent reports at times of its own. */
    val reportAgeMillis: Long = 0
) {
    /** The same service, simulated for [millis]. */
    fun until(millis: Long) = copy(runMillis = millis)
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
    private class Request(val kind: SimulatedKind, val arrivedMillis: Long) {
        var attempts = 0
        var untilMillis = 0L
    }

    private class Running(
        val request: Request,
        val endpoint: FleetEndpoint,
        val time: AttemptTiming
    ) {
        var events = 0
        var unreadTokens = request.kind.promptTokens
    }

    private inner class Node(val index: Int) {
        val running = ArrayList<Running>()
        val waiting = ArrayDeque<Running>()
        var isBusy = false

        fun submit(run: Running, now: Long) = when {
            !service.isEngine -> serve(run, now)
            waiting.size >= service.queueMax -> refuse(run, now)
            else -> {
                waiting.addLast(run)
                if (!isBusy) pass(now) else Unit
            }
        }

        private fun factor(now: Long) = service.slowness(index, now, running.size)

        private fun serve(run: Running, now: Long) {
            if (running.size >= service.slots) {
                refuse(run, now)
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

        private fun refuse(run: Running, now: Long) {
            run.time.close()
            run.endpoint.onEnd()
            run.endpoint.onSignal(EndpointSignal.OVERLOADED, now)
            if (++run.request.attempts < 4) place(run.request, now)
        }

        private fun pass(now: Long) {
            while (running.size < service.slots && waiting.isNotEmpty()) {
                running += waiting.removeFirst()
            }
            isBusy = running.isNotEmpty()
            if (!isBusy) return
            var tokens = 0
            for (run in running) {
                val read = minOf(run.unreadTokens, service.passTokensMax - tokens)
                run.unreadTokens -= read
                tokens += read
            }
            val work = service.timing.stepsPerPass * stepMillis(service.timing, running.size) +
                prefillMillis(service.timing, tokens)
            schedule(
                now + (work * factor(now) * (0.9 + 0.2 * random.nextDouble())).toLong()
            ) { end ->
                running.filter { it.unreadTokens == 0 }.forEach { event(it, end) }
                pass(end)
            }
        }

        private fun event(run: Running, now: Long) {
            if (run.events++ == 0) complete(run, now)
            run.time.onEvents(now)
            if (run.events * service.timing.stepsPerPass < run.request.kind.outputTokens) return
            running -= run
            run.time.onComplete(true, now)
            run.endpoint.onEnd()
        }
    }

    private val random = Random(seed)
    private val fleets =
        List(service.entries) { Fleet(random = Random(seed), isLearning = isLearning) }
    private val placers = fleets.mapIndexed { index, fleet ->
        val region = index % service.regions
        RequestPlacer(fleet, ZoneId("a$region"), RegionId("r$region"), 0, Random(seed + index))
    }
    private val nodes = List(service.endpoints) { Node(it) }
    private val queues = List(service.entries) { ArrayDeque<Request>() }
    private val events =
        PriorityQueue<Triple<Long, Long, (Long) -> Unit>>(compareBy({ it.first }, { it.second }))
    private val traffic =
        service(timing = if (service.isEngine) service.timing else null, connectionsMax = 4000)
    private var order = 0L
    private var arrived = 0
    private var onTime = 0
    private var sentFar = 0

    /** Requests sent to each endpoint. */
    val sentTo = IntArray(service.endpoints)

    /** Share of the requests whose first event or response was on time. */
    val onTimeShare: Double get() = onTime.toDouble() / arrived

    /** Share of the requests sent to another region. */
    val farShare: Double get() = sentFar.toDouble() / sentTo.sum()

    /** Usual times that the first entry has learned. */
    val usualTimes get() = fleets[0].usualTimes(traffic.id)

    fun run(): LearningSimulation {
        fleets.forEach { fleet ->
            nodes.forEach {
                val region = it.index % service.regions
                val record = record("e${it.index}", "a$region", "r$region", slots = service.slots)
                fleet.put(record.copy(host = "10.0.0.${it.index}"), 0)
            }
        }
        arrive(0)
        when {
            !service.isEngine -> Unit
            service.reportAgeMillis == 0L -> report(0, 1)
            else -> {
                val period = reportPeriodMillis(service.entries)
                nodes.forEach { node ->
                    schedule(random.nextLong(period)) { agedReport(node, it, 1, period) }
                }
                schedule(0) { tick(it) }
            }
        }
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
            place(Request(kind(), time), time)
            arrive(time)
        }
    }

    private fun kind(): SimulatedKind {
        if (service.kinds.size == 1) return service.kinds[0]
        var left = random.nextDouble()
        return service.kinds.firstOrNull { kind -> (left - kind.share).also { left = it } < 0 }
            ?: service.kinds.last()
    }

    private fun place(request: Request, now: Long, entry: Int = random.nextInt(service.entries)) {
        if (tryPlace(request, now, entry)) return
        request.untilMillis = now + WaitPolicy.waitMillis(request.kind.targetMillis, 6000, true)
        queues[entry].addLast(request)
    }

    private fun tryPlace(request: Request, now: Long, entry: Int): Boolean {
        val waited = now - request.arrivedMillis
        val kind = request.kind
        val budget = WaitPolicy.firstByteBudgetMillis(kind.targetMillis, waited, true)
        val query = PlacementQuery(traffic, kind.promptTokens, null, emptySet(), emptySet(), 0)
        val sent = placers[entry].place(query, budget, now, service.entries) as? Placement.Send
            ?: return false
        val endpoint = sent.endpoint
        val occupancy = endpoint.concurrency(traffic, now, service.entries) + 1
        val timing =
            endpoint.times.begin(service.isEngine, sent.modelMillis, occupancy, service.slots, now)
        endpoint.onAttempt(now)
        val index = endpoint.record.id.value.drop(1).toInt()
        if (now >= fromMillis) {
            sentTo[index]++
            if (index % service.regions != entry % service.regions) sentFar++
        }
        nodes[index].submit(Running(request, endpoint, timing), now)
        return true
    }

    private fun complete(run: Running, now: Long) {
        val arrivedMillis = run.request.arrivedMillis
        val isCounted =
            arrivedMillis >= fromMillis && arrivedMillis < service.runMillis - service.targetMillis
        if (isCounted && now - arrivedMillis <= run.request.kind.targetMillis) onTime++
    }

    private fun report(now: Long, sequence: Long) {
        nodes.forEach { deliver(it.index, loadOf(it, sequence, 100), now) }
        drain(now)
        schedule(now + 100) { report(it, sequence + 1) }
    }

    private fun loadOf(node: Node, sequence: Long, periodMillis: Long): LoadReport {
        val isLying = service.isLying(node.index)
        return report(
            if (isLying) 0 else node.running.size,
            if (isLying) 0 else node.waiting.size,
            sequence,
            periodMillis = periodMillis
        ).copy(entries = service.entries)
    }

    private fun deliver(index: Int, load: LoadReport, now: Long) =
        fleets.forEachIndexed { entry, fleet ->
            fleet.find(EndpointId("e$index"))!!.onReport(load.copy(entryIndex = entry), now)
        }

    private fun agedReport(node: Node, now: Long, sequence: Long, period: Long) {
        val load = loadOf(node, sequence, period)
        schedule(now + service.reportAgeMillis) { deliver(node.index, load, it) }
        schedule(now + period) { agedReport(node, it, sequence + 1, period) }
    }

    private fun tick(now: Long) {
        drain(now)
        schedule(now + 20) { tick(it) }
    }

    private fun drain(now: Long) = queues.forEachIndexed { entry, queue ->
        queue.removeIf { now > it.untilMillis }
        // A request that an engine refuses is placed again at once and may have to wait here.
        val waiting = queue.toList()
        queue.clear()
        queue.addAll(0, waiting.filterNot { tryPlace(it, now, entry) })
    }

    private companion object {
        const val CALL_MILLIS = 40.0
    }
}
