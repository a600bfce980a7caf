package org.toucanspur.core.duties

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.math.sin
import kotlin.random.Random
import org.toucanspur.core.gateway.ServiceScaling
import org.toucanspur.schema.ZoneId

private const val STEP_MILLIS = 500L
private val zones = listOf(ZoneId("a"), ZoneId("b"), ZoneId("c"))

/** A platform that starts endpoints after their boot time and removes them at once. */
private class ScaledService(
    first: Int,
    private val scaling: ServiceScaling = ServiceScaling(2, 40, 8000),
    private val deadZone: ZoneId? = null
) {
    var plan = EndpointScaling()
    private val live = zones.associateWithTo(HashMap()) { first / zones.size }
    private val booting = ArrayList<Pair<ZoneId, Long>>()
    private val orders = HashMap<ZoneId, Int>()
    private val random = Random(7)
    val totals = ArrayList<Int>()
    var callCount = 0
    var endpointSeconds = 0.0
    var refused = 0.0
    var offered = 0.0
    var nowMillis = 0L
        private set

    fun run(seconds: Int, demand: (second: Double) -> Double?) = repeat(seconds * 2) {
        nowMillis += STEP_MILLIS
        booting.filter { it.second <= nowMillis }.forEach { live.merge(it.first, 1, Int::plus) }
        booting.removeIf { it.second <= nowMillis }
        val exact = demand(nowMillis / 1000.0)
        if (exact != null) {
            offered += exact
            refused += maxOf(0.0, exact - live.values.sum())
        }
        endpointSeconds += (live.values.sum() + booting.size) * STEP_MILLIS / 1000.0
        val measured = exact?.let { it * (1 + random.nextDouble(-0.05, 0.05)) }
        plan.observe(
            measured,
            zones.map {
                ZoneEndpoints(it, live.getValue(it))
            },
            orders,
            nowMillis
        )
        val changed = if (measured == null) emptyMap() else plan.decide(scaling, orders, nowMillis)
        orders += changed
        (changed + plan.repeats(orders, nowMillis)).forEach { (zone, count) ->
            callCount++
            plan.onOrdered(zone, DutyReply.ACCEPTED, nowMillis)
            if (zone != deadZone) carryOut(zone, count)
        }
        totals += zones.sumOf { orders[it] ?: live.getValue(it) }
    }

    private fun carryOut(zone: ZoneId, count: Int) {
        while (live.getValue(zone) > count) live.merge(zone, -1, Int::plus)
        val present = live.getValue(zone) + booting.count { it.first == zone }
        repeat(count - present) { booting += zone to nowMillis + scaling.bootMillis }
    }

    fun lose(zone: ZoneId, count: Int) {
        live.merge(zone, -count, Int::plus)
    }

    val liveCount get() = live.values.sum()
    val changes get() = totals.zipWithNext().count { (a, b) -> a != b }

    /** Number of times that a rise follows a fall of the ordered number. */
    val reversals: Int
        get() = totals.zipWithNext { a, b -> b.compareTo(a) }.filter { it != 0 }
            .zipWithNext().count { (a, b) -> a < 0 && b > 0 }
}

class EndpointScalingTest :
    DescribeSpec({
        describe("a demand that rises in steps to 1.2 times the capacity at the start") {
            val service = ScaledService(first = 30)
            service.run(60) { second ->
                if (second <
                    9
                ) {
                    18 + 6 * (second / 3).toInt() + 0.0
                } else {
                    36.0
                }
            }
            it("is served a boot time after its last step") {
                service.liveCount shouldBeGreaterThan 36
                service.refused / service.offered shouldBeLessThan 0.05
            }
            it("does not get far more endpoints than it needs") {
                service.totals.max() shouldBeLessThan 50
            }
        }
        describe("a steady demand") {
            val service = ScaledService(first = 36)
            service.run(120) { 30.0 }
            it("changes no order") { service.changes shouldBe 0 }
        }
        describe("a demand that swings by 22 percent") {
            val service = ScaledService(first = 36)
            service.run(240) { second -> 30 * (1 + 0.11 * sin(second / 40 * 2 * Math.PI)) }
            it("does not make the orders oscillate") { service.reversals shouldBeLessThan 2 }
            it("is served") { service.refused / service.offered shouldBeLessThan 0.001 }
        }
        describe("bursts of 1.7 times the demand for 4 s") {
            val service = ScaledService(first = 39)
            service.run(120) { second -> if (second % 25 in 15.0..18.5) 51.0 else 30.0 }
            it("do not get endpoints that would serve after their end") {
                service.changes shouldBe 0
            }
        }
        describe("a service whose callers have not begun") {
            it("keeps its endpoints") {
                val service = ScaledService(first = 36)
                service.run(120) { 0.0 }
                service.changes shouldBe 0
            }
        }
        describe("a demand that falls to half") {
            val service = ScaledService(first = 36)
            service.run(30) { 30.0 }
            service.run(15) { 15.0 }
            it("keeps the endpoints for some time") { service.totals.last() shouldBe 36 }
            it("is followed within two minutes") {
                service.run(100) { 15.0 }
                service.totals.last() shouldBeLessThan 22
                service.refused shouldBe 0.0
            }
        }
        describe("a zone that loses its endpoints") {
            it("gets them again by a repeated order") {
                val service = ScaledService(first = 30)
                service.run(30) { 30.0 }
                val ordered = service.totals.last()
                service.lose(zones.first(), 8)
                service.run(12) { 30.0 }
                service.liveCount shouldBe ordered
            }
            it("is made up for in other zones if the platform starts none there") {
                val service = ScaledService(first = 30, deadZone = zones.first())
                service.run(20) { 30.0 }
                service.lose(zones.first(), 10)
                service.run(60) { 30.0 }
                service.liveCount shouldBeGreaterThan 34
            }
        }
        describe("a demand that is not known") {
            it("orders nothing") {
                val service = ScaledService(first = 12)
                service.run(60) { null }
                service.callCount shouldBe 0
            }
            it("keeps the order that is in force") {
                val service = ScaledService(first = 30)
                service.run(30) { 36.0 }
                val ordered = service.totals.last()
                service.run(60) { null }
                service.totals.last() shouldBe ordered
            }
        }
        describe("a new holder") {
            it("keeps the orders of the one before") {
                val service = ScaledService(first = 30)
                service.run(40) { 36.0 }
                val ordered = service.totals.last()
                service.plan = EndpointScaling()
                service.run(40) { 36.0 }
                service.totals.takeLast(80).toSet() shouldBe setOf(ordered)
            }
        }
        describe("the bounds of the configuration") {
            it("hold in each zone") {
                val service = ScaledService(first = 30, ServiceScaling(8, 12, 8000))
                service.run(60) { 100.0 }
                service.totals.last() shouldBe 36
                service.run(200) { 1.0 }
                service.totals.last() shouldBe 24
            }
            it("are not exceeded when an evacuated zone leaves the others") {
                val plan = EndpointScaling()
                val current = zones.map { ZoneEndpoints(it, 10, isEvacuated = it == zones.first()) }
                var ordered = emptyMap<ZoneId, Int>()
                for (millis in 500L..8000L step STEP_MILLIS) {
                    plan.observe(30.0, current, emptyMap(), millis)
                    ordered = plan.decide(ServiceScaling(1, 16, 8000), emptyMap(), millis)
                }
                ordered.values.sorted() shouldBe listOf(16, 16)
                ordered.keys.filter { it == zones.first() }.shouldBeEmpty()
            }
        }
    })
