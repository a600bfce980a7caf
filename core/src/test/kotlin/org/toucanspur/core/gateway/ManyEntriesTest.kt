package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.random.Random
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.ZoneId

// Engines and streams of deployment K in docs/design/many-entries.md; a request costs 102.7 ms.
private val kinds = listOf(
    SimulatedKind(0.404, 1290, 126, 403),
    SimulatedKind(0.281, 787, 126, 402),
    SimulatedKind(0.315, 607, 70, 802)
)
private val engineOfK = engine.copy(
    slots = 12,
    stepsPerPass = 7,
    typicalPromptTokens = 929,
    typicalOutputTokens = 108
)

/** 13 entries in three regions, [load] times the capacity, and reports of their real age. */
fun manyEntries(engines: Int, load: Double) = SimulatedService(
    isEngine = true,
    endpoints = engines,
    arrivalsPerSecond = (engines * load * 1000 / 102.7).toInt(),
    targetMillis = 802,
    entries = 13,
    slots = engineOfK.slots,
    timing = engineOfK,
    kinds = kinds,
    regions = 3,
    passTokensMax = 2048,
    queueMax = 24,
    reportAgeMillis = 200
)

class ManyEntriesTest :
    DescribeSpec({
        // Guards against entries that all choose the same engines between two reports. When each
        // took the engine of the lowest cost, 0.77, 0.75, 0.54 and 0.51 were on time.
        describe("13 entries that read the same old reports") {
            listOf(
                Triple(56, 0.77, 0.98),
                Triple(32, 0.77, 0.98),
                Triple(56, 0.95, 0.8),
                Triple(32, 0.95, 0.75)
            ).forEach { (engines, load, least) ->
                it("serve most requests on time at $engines engines and $load of the capacity") {
                    (1..4).map { LearningSimulation(manyEntries(engines, load), it, true).run() }
                        .map { it.onTimeShare }.average() shouldBeGreaterThan least
                }
            }
            // Guards against an engine that reports no load and gets what all entries send.
            it("do not send more to an engine that reports no load") {
                val service = manyEntries(32, 0.77).copy(isLying = { it == 0 })
                val sent = LearningSimulation(service, 1, true).run().sentTo
                sent[0].toDouble() shouldBeLessThan sent.average() * 1.3
            }
        }
        // Guards against a changed choice where reports are fresh, and where there are none.
        describe("the endpoint of the lowest cost") {
            fun choices(entries: Int, isReported: Boolean): Set<String> {
                val fleet = Fleet()
                (0..2).forEach { fleet.put(record("e$it").copy(host = "10.0.0.$it"), 0) }
                if (isReported) {
                    listOf(5, 0, 5).forEachIndexed { index, running ->
                        fleet.find(EndpointId("e$index"))!!.onReport(report(running), 0)
                    }
                } else {
                    listOf("e0", "e2").forEach { fleet.find(EndpointId(it))!!.onAttempt(0) }
                }
                val placer = RequestPlacer(fleet, ZoneId("a"), RegionId("r"), 5, Random(1))
                val query = PlacementQuery(service(), 973, null, emptySet(), emptySet(), 0)
                return List(30) {
                    placer.place(query, 320.0, 0, entries)
                        .shouldBeInstanceOf<Placement.Send>().endpoint.record.id.value
                }.toSet()
            }
            it("is chosen by five entries") { choices(5, isReported = true) shouldBe setOf("e1") }
            it("is chosen without reports") { choices(13, isReported = false) shouldBe setOf("e1") }
        }
    })
