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

private const val BUDGET_MILLIS = 320.0

class PlacementTest :
    DescribeSpec({
        fun fleet(vararg records: EndpointRecord) = Fleet().apply {
            records.forEachIndexed { index, it -> put(it.copy(host = "10.0.0.$index"), 0) }
        }

        fun placer(fleet: Fleet) = Placer(fleet, ZoneId("a"), RegionId("r"), 5, Random(1))

        fun query(
            service: TrafficService = service(),
            versionMin: Long = 0,
            zonesOut: Set<ZoneId> = emptySet(),
            tried: Set<EndpointId> = emptySet(),
            regions: Set<RegionId>? = null
        ) = PlacementQuery(service, 973, regions, zonesOut, tried, versionMin)

        fun Fleet.load(id: String, running: Int, version: Long = 1, isLoading: Boolean = false) =
            find(EndpointId(id))!!.onReport(
                report(running, version = version, isLoading = isLoading),
                0
            )
        describe("a request") {
            it("goes to the endpoint with the soonest first event") {
                val fleet = fleet(record("e0"), record("e1"))
                fleet.load("e0", 12)
                fleet.load("e1", 3)
                val sent = placer(fleet).place(query(), BUDGET_MILLIS, 0, 4)
                sent.shouldBeInstanceOf<Placement.Send>().endpoint.record.id.value shouldBe "e1"
            }
            it("stays in its region until that costs its first event too much") {
                val fleet = fleet(record("near"), record("far", zone = "b", region = "q"))
                fleet.load("near", 9)
                fleet.load("far", 3)
                val placer = placer(fleet)
                val first = placer.place(query(), BUDGET_MILLIS, 0, 4)
                first.shouldBeInstanceOf<Placement.Send>().endpoint.record.id.value shouldBe "near"
                fleet.find(EndpointId("near"))!!.onReport(report(15, sequence = 2), 0)
                val second = placer.place(query(), BUDGET_MILLIS, 0, 4)
                second.shouldBeInstanceOf<Placement.Send>().endpoint.record.id.value shouldBe "far"
            }
            it("finds all endpoints busy when each has a queue") {
                val fleet = fleet(record("e0"))
                fleet.load("e0", 17)
                placer(fleet).place(query(), BUDGET_MILLIS, 0, 4)
                    .shouldBeInstanceOf<Placement.Busy>().firstByteMillis shouldBeGreaterThan
                    BUDGET_MILLIS
            }
        }
        describe("an endpoint") {
            val cases = mapOf(
                "is leaving" to record("e", isReady = false),
                "has no weights" to record("e", version = 0)
            )
            cases.forEach { (name, record) ->
                it("gets nothing when it $name") {
                    placer(fleet(record)).place(query(), BUDGET_MILLIS, 0, 4) shouldBe
                        Placement.Nowhere
                }
            }
            it("gets nothing when it is behind the version, tried, out or outside the regions") {
                val placer = placer(fleet(record("e")))
                listOf(
                    query(versionMin = 2),
                    query(zonesOut = setOf(ZoneId("a"))),
                    query(tried = setOf(EndpointId("e"))),
                    query(regions = setOf(RegionId("q")))
                ).forEach { placer.place(it, BUDGET_MILLIS, 0, 4) shouldBe Placement.Nowhere }
            }
            it("gets nothing while its agent says that it loads") {
                val fleet = fleet(record("e"))
                fleet.load("e", 0, isLoading = true)
                placer(fleet).place(query(), BUDGET_MILLIS, 0, 4) shouldBe Placement.Nowhere
            }
        }
        describe("the last send that a request has, during a rollout of weights") {
            fun plannedFleet(firstMillis: Long, secondMillis: Long) =
                fleet(record("e0"), record("e1")).apply {
                    val plans = mapOf("e0" to firstMillis, "e1" to secondMillis)
                    plans.forEach { (id, millis) ->
                        find(EndpointId(id))!!.onReport(report(3, nextLoadMillis = millis), 0)
                    }
                }

            fun placeLast(fleet: Fleet, nowMillis: Long) = placer(fleet)
                .place(query().copy(mustFinish = true), BUDGET_MILLIS, nowMillis, 4)

            it("goes to an endpoint that does not load before the answer ends") {
                val sent = placeLast(plannedFleet(600, 5000), 0)
                sent.shouldBeInstanceOf<Placement.Send>().endpoint.record.id.value shouldBe "e1"
            }
            it("goes to an endpoint that has loaded already") {
                val sent = placeLast(plannedFleet(0, -1), 0)
                sent.shouldBeInstanceOf<Placement.Send>().endpoint.record.id.value shouldBe "e1"
            }
            it("finds none while all load soon, also by a report that has aged") {
                placeLast(plannedFleet(0, 600), 0) shouldBe Placement.Nowhere
                val agedMillis = 400L
                val justAfter = usualAnswerMillis(engine).toLong() + agedMillis - 1
                placeLast(plannedFleet(0, justAfter), agedMillis) shouldBe Placement.Nowhere
            }
            it("is not held back by loads when another send is left") {
                placer(plannedFleet(0, 600)).place(query(), BUDGET_MILLIS, 0, 4)
                    .shouldBeInstanceOf<Placement.Send>()
            }
        }
        describe("the prediction for one engine") {
            // First events measured on a day with twelve requests a second for each engine.
            val measured = mapOf(4 to 120.0, 8 to 135.0, 12 to 158.0, 14 to 241.0, 15 to 302.0)
            measured.forEach { (occupancy, millis) ->
                it("is near what was measured with $occupancy others") {
                    val predicted = predictedFirstEventMillis(engine, occupancy, 973, unseen = 1.5)
                    predicted shouldBeGreaterThan millis * 0.7
                    predicted shouldBeLessThan millis * 1.3
                }
            }
            it("rises with each request") {
                val times = (0..24).map { predictedFirstEventMillis(engine, it, 973, unseen = 1.5) }
                times shouldBe times.sorted()
            }
        }
    })
