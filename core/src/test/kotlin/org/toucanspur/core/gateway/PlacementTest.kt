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

        fun placer(fleet: Fleet) = RequestPlacer(fleet, ZoneId("a"), RegionId("r"), 5, Random(1))

        fun query(
            service: TrafficService = service(),
            versionMin: Long = 0,
            excludedZones: Set<ZoneId> = emptySet(),
            tried: Set<EndpointId> = emptySet(),
            regions: Set<RegionId>? = null
        ) = PlacementQuery(service, 973, regions, excludedZones, tried, versionMin)

        fun Fleet.load(id: String, running: Int, version: Long = 1, isLoading: Boolean = false) =
            find(EndpointId(id))!!.onReport(
                report(running, version = version, isLoading = isLoading),
                0
            )
        describe("a request") {
            it("is placed on the endpoint with the earliest predicted first event") {
                val fleet = fleet(record("e0"), record("e1"))
                fleet.load("e0", 12)
                fleet.load("e1", 3)
                val sent = placer(fleet).place(query(), BUDGET_MILLIS, 0, 4)
                sent.shouldBeInstanceOf<Placement.Send>().endpoint.record.id.value shouldBe "e1"
            }
            it("stays in its region until the local endpoint is slower than the region penalty") {
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
            it("finds all endpoints busy when each of them has queued requests") {
                val fleet = fleet(record("e0"))
                fleet.load("e0", 17)
                placer(fleet).place(query(), BUDGET_MILLIS, 0, 4)
                    .shouldBeInstanceOf<Placement.Busy>().firstByteMillis shouldBeGreaterThan
                    BUDGET_MILLIS
            }
        }
        // Guards against taking an endpoint whose VM is frozen for an idle one: its last report
        // expires, and it got the requests that no other endpoint could take.
        describe("an endpoint whose agent stops reporting") {
            it("keeps the load of its last report until it counts as silent") {
                val fleet = fleet(record("e0"))
                fleet.load("e0", 17)
                placer(fleet).place(query(), BUDGET_MILLIS, 900, 4)
                    .shouldBeInstanceOf<Placement.Busy>()
            }
            it("receives one request at most while it is silent, if no other one is free") {
                val fleet = fleet(record("e0"), record("e1"))
                fleet.load("e0", 3)
                fun place() = placer(fleet).place(query(), BUDGET_MILLIS, 1000, 4)
                place().shouldBeInstanceOf<Placement.Send>().endpoint.record.id.value shouldBe "e1"
                fleet.remove(EndpointId("e1"), 1000)
                place().shouldBeInstanceOf<Placement.Send>()
                fleet.find(EndpointId("e0"))!!.onAttempt(1000)
                place() shouldBe Placement.Nowhere
            }
            it("receives requests while it sends responses") {
                val fleet = fleet(record("e0"))
                fleet.load("e0", 3)
                fleet.find(EndpointId("e0"))!!.run {
                    onAttempt(100)
                    onHeard(500)
                }
                placer(fleet).place(query(), BUDGET_MILLIS, 1400, 1)
                    .shouldBeInstanceOf<Placement.Send>()
                placer(fleet).place(query(), BUDGET_MILLIS, 1500, 1) shouldBe Placement.Nowhere
            }
        }
        describe("an endpoint that says that it is leaving") {
            it("receives no requests until its next run") {
                val fleet = fleet(record("e"))
                fleet.find(EndpointId("e"))!!.onLeaving()
                fleet.put(record("e").copy(host = "10.0.0.0"), 10)
                placer(fleet).place(query(), BUDGET_MILLIS, 10, 4) shouldBe Placement.Nowhere
                fleet.put(record("e").copy(host = "10.0.0.0", startedAtMillis = 5), 20)
                placer(fleet).place(query(), BUDGET_MILLIS, 20, 4)
                    .shouldBeInstanceOf<Placement.Send>()
            }
        }
        describe("an endpoint that requests a backoff") {
            fun Fleet.refuse(id: String, backoffMillis: Long) =
                find(EndpointId(id))!!.onBackoffRequested(backoffMillis, 0)
            it("receives no request before the end of the backoff") {
                val fleet = fleet(record("e0"), record("e1"))
                fleet.refuse("e0", 4000)
                listOf(0L, 3999L).forEach { now ->
                    placer(fleet).place(query(), BUDGET_MILLIS, now, 4)
                        .shouldBeInstanceOf<Placement.Send>().endpoint.record.id.value shouldBe "e1"
                }
                fleet.refuse("e1", 8000)
                placer(fleet).place(query(), BUDGET_MILLIS, 4000, 4)
                    .shouldBeInstanceOf<Placement.Send>().endpoint.record.id.value shouldBe "e0"
            }
            it("is the first to take requests again if all others ask for more") {
                val fleet = fleet(record("e0"), record("e1"))
                fleet.refuse("e0", 4000)
                fleet.refuse("e1", 3000)
                placer(fleet).place(query(), BUDGET_MILLIS, 1000, 4)
                    .shouldBeInstanceOf<Placement.Busy>().opensInMillis shouldBe 2000
            }
            it("tells when it opens also while it is excluded after failures") {
                val fleet = fleet(record("e"))
                fleet.refuse("e", 4000)
                fleet.find(EndpointId("e"))!!.onSignal(EndpointSignal.OVERLOADED, 0)
                placer(fleet).place(query(), BUDGET_MILLIS, 10, 4)
                    .shouldBeInstanceOf<Placement.Busy>().opensInMillis shouldBe 3990
            }
            it("does not hide that another one may recover at any time") {
                val fleet = fleet(record("e0"), record("e1"))
                fleet.refuse("e0", 4000)
                fleet.find(EndpointId("e1"))!!.onSignal(EndpointSignal.OVERLOADED, 0)
                placer(fleet).place(query(), BUDGET_MILLIS, 10, 4)
                    .shouldBeInstanceOf<Placement.Busy>().opensInMillis shouldBe 0
            }
        }
        describe("an endpoint") {
            val cases = mapOf(
                "is draining" to record("e", isReady = false),
                "has no weights" to record("e", version = 0)
            )
            cases.forEach { (name, record) ->
                it("receives no requests when it $name") {
                    placer(fleet(record)).place(query(), BUDGET_MILLIS, 0, 4) shouldBe
                        Placement.Nowhere
                }
            }
            it("receives no request when its version, zone, region or an earlier try forbids it") {
                val placer = placer(fleet(record("e")))
                listOf(
                    query(versionMin = 2),
                    query(excludedZones = setOf(ZoneId("a"))),
                    query(tried = setOf(EndpointId("e"))),
                    query(regions = setOf(RegionId("q")))
                ).forEach {
                    placer.place(it, BUDGET_MILLIS, 0, 4) shouldBe Placement.Nowhere
                }
            }
            it("receives no requests while its agent reports a weight load") {
                val fleet = fleet(record("e"))
                fleet.load("e", 0, isLoading = true)
                placer(fleet).place(query(), BUDGET_MILLIS, 0, 4) shouldBe
                    Placement.Nowhere
            }
        }
        describe("an endpoint on an older version with a slow path") {
            val fleet = fleet(record("e0", version = 1))
            val rollout = query().copy(slowPathVersionMin = 2)
            it("gets requests while its path is fast") {
                placer(fleet).place(rollout, BUDGET_MILLIS, 0, 4)
                    .shouldBeInstanceOf<Placement.Send>()
            }
            it("gets none that could arrive after the bound of a newer version") {
                fleet.find(EndpointId("e0"))!!.onSlowPath(0)
                placer(fleet).place(rollout, BUDGET_MILLIS, 7000, 4) shouldBe Placement.Nowhere
            }
        }
        describe("the last attempt of a request during a weight rollout") {
            fun plannedFleet(firstMillis: Long, secondMillis: Long) =
                fleet(record("e0"), record("e1")).apply {
                    val plans = mapOf("e0" to firstMillis, "e1" to secondMillis)
                    plans.forEach { (id, millis) ->
                        find(EndpointId(id))!!.onReport(report(3, nextLoadMillis = millis), 0)
                    }
                }

            fun placeLast(fleet: Fleet, nowMillis: Long) = placer(fleet)
                .place(query().copy(mustFinish = true), BUDGET_MILLIS, nowMillis, 4)

            it("is placed on an endpoint that does not load before the response ends") {
                val sent = placeLast(plannedFleet(600, 5000), 0)
                sent.shouldBeInstanceOf<Placement.Send>().endpoint.record.id.value shouldBe "e1"
            }
            it("is placed on an endpoint without a planned load") {
                val sent = placeLast(plannedFleet(0, -1), 0)
                sent.shouldBeInstanceOf<Placement.Send>().endpoint.record.id.value shouldBe "e1"
            }
            it("finds no endpoint while all load soon, including the age of the report") {
                placeLast(plannedFleet(0, 600), 0) shouldBe Placement.Nowhere
                val agedMillis = 400L
                val justAfter = typicalResponseMillis(engine).toLong() + agedMillis - 1
                placeLast(plannedFleet(0, justAfter), agedMillis) shouldBe
                    Placement.Nowhere
            }
            it("ignores planned loads when another attempt is possible") {
                placer(plannedFleet(0, 600)).place(query(), BUDGET_MILLIS, 0, 4)
                    .shouldBeInstanceOf<Placement.Send>()
            }
        }
        describe("the prediction for one engine") {
            // Measured times to the first event at a rate of twelve requests a second per engine.
            val measured = mapOf(4 to 120.0, 8 to 135.0, 12 to 158.0, 14 to 241.0, 15 to 302.0)
            measured.forEach { (occupancy, millis) ->
                it("is within 30% of the measurement with $occupancy other requests") {
                    val predicted =
                        predictedFirstEventMillis(engine, occupancy, 973, unreportedArrivals = 1.5)
                    predicted shouldBeGreaterThan millis * 0.7
                    predicted shouldBeLessThan millis * 1.3
                }
            }
            it("increases with the occupancy") {
                val times = (0..24).map {
                    predictedFirstEventMillis(engine, it, 973, unreportedArrivals = 1.5)
                }
                times shouldBe times.sorted()
            }
        }
    })
