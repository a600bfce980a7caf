package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeInRange
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
                Triple(32, 0.95, 0.75),
                // Before, 0.42. All entries with waiting requests see the same slot become free.
                Triple(32, 1.2, 0.46)
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
        // Guards against learned values that keep requests from engines that read many prompts:
        // with a single entry, 0.90 instead of 0.93 were on time with learning.
        it("a single entry serves as many requests on time with learning as without") {
            val service = SimulatedService(true, 14, 110, 400, 1, slowness = { e, _, n ->
                if (e < 5 && n > 6) 2.5 else 1.0
            })
            val (off, on) = listOf(false, true).map { isLearning ->
                (1..4).map { LearningSimulation(service, it, isLearning).run().onTimeShare }
                    .average()
            }
            on shouldBeGreaterThan off - 0.001
        }
        // Guards against one request at a plain endpoint counting as one of each entry.
        it("13 entries do not take a plain endpoint with one request for full") {
            val fleet = Fleet().apply { put(record("e0", slots = 6), 0) }
            val endpoint = fleet.find(EndpointId("e0"))!!.apply { onAttempt(0) }
            endpoint.concurrency(service(timing = null), 10, 13) shouldBe 1
            // At 60 requests a second of 20 ms, 12 other entries have 14 in flight.
            repeat(60) {
                endpoint.onAttempt(it * 16L)
                endpoint.onEnd()
            }
            endpoint.concurrency(service(timing = null), 1000, 13) shouldBeInRange 12..15
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
