package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import org.toucanspur.schema.EntryDemand
import org.toucanspur.schema.EntryNotice
import org.toucanspur.schema.Incarnation
import org.toucanspur.schema.VmId

private fun notice(vm: String, vararg costs: Pair<Int, Long>) = EntryNotice(
    VmId(vm),
    Incarnation(1),
    sequence = 1,
    wallMillis = 0,
    periodMillis = 1000,
    demand = costs.map { (priority, cost) -> EntryDemand(writers, priority, 1000, cost, 0, 0) }
)

/** The view of an entry that hears from [live]. */
private class Exchange(var live: Set<VmId> = emptySet(), var entryCount: Int = 1) {
    val meter = DemandMeter()
    val exchange = DemandExchange(meter, { live }, { entryCount })

    fun costs(nowMillis: Long) =
        exchange.total(writers, nowMillis).associate { it.priority to it.costMillisPerSecond }
}

class DemandExchangeTest :
    DescribeSpec({
        describe("the demand at one entry") {
            it("is averaged over a second and includes refused and repeated requests") {
                val meter = DemandMeter()
                for (millis in 0L until 3000 step 10) {
                    meter.onRequest(writers, 1, 50.0, isRepeated = millis % 20 == 0L, millis)
                    if (millis % 40 == 0L) meter.onRefused(writers, 1, 50.0, millis)
                }
                val demand = meter.demand(writers, 2999).single()
                demand.milliRequestsPerSecond shouldBeInRange 90_000L..100_000L
                demand.costMillisPerSecond shouldBeInRange 4500L..5000L
                demand.refusedCostMillisPerSecond shouldBeInRange 1100L..1300L
                demand.repeatedCostMillisPerSecond shouldBeInRange 2200L..2600L
            }
            it("is announced as zero for a while after it has ended") {
                val meter = DemandMeter()
                meter.onRequest(writers, 1, 50.0, isRepeated = false, 1000)
                meter.demand(writers, 3000).single().costMillisPerSecond shouldBe 0
                meter.demand(writers, 9000).shouldBeEmpty()
            }
            it("costs more for a long prompt") {
                requestCostMillis(engine, engine.typicalPromptTokens) shouldBe
                    (completionIntervalMillis(engine) plusOrMinus 1e-9)
                val longer = requestCostMillis(engine, engine.typicalPromptTokens + 31_900)
                longer - completionIntervalMillis(engine) shouldBe (1000.0 plusOrMinus 1e-6)
            }
        }
        describe("the demand of three entries") {
            val peers = setOf(VmId("a"), VmId("b"))
            fun threeEntries() = Exchange(peers, entryCount = 3).apply {
                meter.onRequest(writers, 0, 100.0, isRepeated = false, 1000)
                exchange.onNotice(notice("a", 0 to 200, 1 to 30), 1000)
                exchange.onNotice(notice("b", 0 to 300), 1000)
            }
            it("is added up by priority") {
                threeEntries().costs(1100) shouldBe mapOf(0 to 600L, 1 to 30L)
            }
            it("lacks the notices that have expired, and an entry that has stopped") {
                threeEntries().costs(4100) shouldBe mapOf(0 to 0L)
                val exchange = threeEntries()
                exchange.live = setOf(VmId("a"))
                exchange.costs(1100) shouldBe mapOf(0 to 300L, 1 to 30L)
            }
            it("is not counted twice when a datagram is repeated or divided") {
                val exchange = threeEntries()
                exchange.exchange.onNotice(notice("a", 1 to 30), 1010)
                exchange.exchange.onNotice(notice("a", 0 to 200), 1020)
                exchange.costs(1100) shouldBe mapOf(0 to 600L, 1 to 30L)
            }
        }
        describe("an entry that gets no notices") {
            it("assumes its own demand at all entries, which is not known demand") {
                val exchange = Exchange(entryCount = 5)
                exchange.meter.onRequest(writers, 0, 100.0, isRepeated = false, 1000)
                exchange.costs(1100) shouldBe mapOf(0 to 500L)
                exchange.exchange.isKnown(1100) shouldBe false
            }
            it("knows the demand if it is the only entry") {
                Exchange(entryCount = 1).exchange.isKnown(1100) shouldBe true
            }
        }
        describe("the time between notices") {
            it("grows with the number of entries, up to a limit") {
                listOf(1, 13, 20, 40, 370).map(::noticePeriodMillis) shouldBe
                    listOf(1000L, 1000L, 1000L, 2000L, 5000L)
            }
        }
    })
