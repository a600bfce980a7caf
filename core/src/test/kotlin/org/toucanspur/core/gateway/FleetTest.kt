package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.toucanspur.schema.EndpointId

class FleetTest :
    DescribeSpec({
        describe("the endpoints of a host") {
            it("are those listed there now") {
                val fleet = Fleet()
                val first = record("e0").copy(host = "10.0.0.1")
                val second = record("e1").copy(host = "10.0.0.1", port = 81)
                fleet.put(first, 0)
                fleet.put(second, 0)
                fun on(host: String) = fleet.on(host).map { it.record.id.value }
                on("10.0.0.1") shouldBe listOf("e0", "e1")
                fleet.put(first.copy(host = "10.0.0.2"), 1)
                on("10.0.0.1") shouldBe listOf("e1")
                on("10.0.0.2") shouldBe listOf("e0")
                fleet.remove(second.id, 2)
                on("10.0.0.1") shouldBe emptyList()
                fleet.put(second, 3)
                on("10.0.0.1") shouldBe listOf("e1")
            }
        }
        describe("an endpoint that is no longer listed") {
            it("is removed immediately") {
                val fleet = Fleet()
                fleet.put(record("e1"), 0)
                fleet.remove(EndpointId("e1"), 10)
                fleet.of(writers) shouldBe emptyList()
            }
            it("is removed only after the grace period shortly after a store outage") {
                val fleet = Fleet(stabilityMillis = 3000)
                fleet.put(record("e1"), 0)
                fleet.onStoreRecovered(StoreOutage(-4000, 900, 1000))
                fleet.replaceAll(emptyList(), 1100)
                fleet.of(writers).size shouldBe 1
                fleet.expire(2900)
                fleet.of(writers).size shouldBe 1
                fleet.expire(3000) shouldBe listOf(EndpointId("e1"))
                fleet.of(writers).size shouldBe 0
            }
            // Guards against sending to an endpoint that has left because a watch was cut off.
            it("is removed immediately after an interruption in which no record expires") {
                val fleet = Fleet(stabilityMillis = 3000)
                fleet.put(record("e1"), 0)
                fleet.onStoreRecovered(StoreOutage(800, 900, 1000))
                fleet.remove(EndpointId("e1"), 1100)
                fleet.of(writers) shouldBe emptyList()
            }
            it("is not kept longer by interruptions in which no record expires") {
                val fleet = Fleet(stabilityMillis = 3000)
                fleet.put(record("e1"), 0)
                fleet.onStoreRecovered(StoreOutage(-4000, 900, 1000))
                fleet.remove(EndpointId("e1"), 1100)
                fleet.onStoreRecovered(StoreOutage(2700, 2800, 2900))
                fleet.expire(3000) shouldBe listOf(EndpointId("e1"))
            }
            // Guards against sending to an endpoint that left while only this entry was cut off.
            it("is not kept longer than the store may be back for, if its return was seen late") {
                val fleet = Fleet(stabilityMillis = 3000)
                fleet.put(record("e1"), 0)
                fleet.onStoreRecovered(StoreOutage(1000, 5000, 7500))
                fleet.remove(EndpointId("e1"), 7600)
                fleet.expire(7699) shouldBe emptyList()
                fleet.expire(7700) shouldBe listOf(EndpointId("e1"))
            }
            it("is kept for the grace period of its first outage only") {
                val fleet = Fleet(stabilityMillis = 3000)
                fleet.put(record("e1"), 0)
                fleet.onStoreRecovered(StoreOutage(-4000, 900, 1000))
                fleet.replaceAll(emptyList(), 1100)
                fleet.onStoreRecovered(StoreOutage(1200, 2700, 2800))
                fleet.replaceAll(emptyList(), 2850)
                fleet.expire(3000) shouldBe listOf(EndpointId("e1"))
            }
            it("is kept for the grace period if an older copy of the store lacks it") {
                val fleet = Fleet(stabilityMillis = 3000)
                fleet.put(record("e1"), 0)
                fleet.onStoreRestored(StoreOutage(900, 900, 1000))
                fleet.onStoreRestored(StoreOutage(0, 0, 1000))
                fleet.replaceAll(emptyList(), 1000, isRestored = true)
                fleet.expire(2999) shouldBe emptyList()
                fleet.expire(3000) shouldBe listOf(EndpointId("e1"))
            }
            it("is kept when it is listed again within the grace period") {
                val fleet = Fleet(stabilityMillis = 3000)
                fleet.put(record("e1"), 0)
                fleet.onStoreRecovered(StoreOutage(-4000, 900, 1000))
                fleet.remove(EndpointId("e1"), 1100)
                fleet.put(record("e1"), 1500)
                fleet.expire(5000) shouldBe emptyList()
                fleet.of(writers).size shouldBe 1
            }
        }
        describe("a draining endpoint that an older copy of the store lists as ready") {
            it("stays draining until the store says otherwise or it starts again") {
                val fleet = Fleet()
                fun isReady() = fleet.find(EndpointId("e1"))!!.record.isReady
                fleet.put(record("e1", isReady = false), 0)
                fleet.replaceAll(listOf(record("e1")), 100, isRestored = true)
                isReady() shouldBe false
                fleet.replaceAll(listOf(record("e1")), 200)
                isReady() shouldBe true
                fleet.put(record("e1", isReady = false), 300)
                val restarted = record("e1").copy(startedAtMillis = 7)
                fleet.replaceAll(listOf(restarted), 400, isRestored = true)
                isReady() shouldBe true
            }
            // Guards against requests to an endpoint that has left, which an older copy lists.
            it("stays draining after its record was removed") {
                val fleet = Fleet()
                fleet.put(record("e1", isReady = false), 0)
                fleet.remove(EndpointId("e1"), 100)
                fleet.replaceAll(listOf(record("e1")), 200, isRestored = true)
                fleet.find(EndpointId("e1"))!!.record.isReady shouldBe false
            }
        }
        describe("an endpoint that is listed again") {
            val id = EndpointId("e0")
            fun relisted(startedAtMillis: Long) = Fleet().run {
                put(record("e0"), 0)
                find(id)!!.onAttempt(100)
                find(id)!!.onSlowPath(100)
                remove(id, 200)
                put(record("e0").copy(startedAtMillis = startedAtMillis), 1300)
                find(id)!!
            }
            it("keeps its requests in flight and the state of its path") {
                relisted(startedAtMillis = 0).ownInFlight shouldBe 1
                relisted(startedAtMillis = 0).hasSlowPath(1300) shouldBe true
            }
            it("starts without them after a restart") {
                relisted(startedAtMillis = 7).ownInFlight shouldBe 0
                relisted(startedAtMillis = 7).hasSlowPath(1300) shouldBe false
            }
        }
        describe("an earlier incarnation of an endpoint at the same address") {
            it("is superseded regardless of the order of the listings") {
                val old = record("old").copy(startedAtMillis = 5)
                val new = record("new").copy(startedAtMillis = 9)
                listOf(listOf(old, new), listOf(new, old)).forEach { records ->
                    val fleet = Fleet()
                    records.forEach { fleet.put(it, 0) }
                    fleet.find(EndpointId("old"))?.isSuperseded shouldBe true
                    fleet.find(EndpointId("new"))?.isSuperseded shouldBe false
                }
            }
        }
        describe("the occupancy of an endpoint") {
            val endpoint = FleetEndpoint(record("e1"), 0)
            it("is the reported load plus the requests sent since the report") {
                endpoint.onReport(report(running = 5, waiting = 1, sequence = 2), 100)
                endpoint.onAttempt(110)
                endpoint.occupancy(120, entryCount = 4) shouldBe 7
            }
            it("ignores an older report that arrives late") {
                endpoint.onReport(report(running = 0, sequence = 1), 130)
                endpoint.occupancy(140, entryCount = 4) shouldBe 7
            }
            it("assumes equal load from every entry when no fresh report exists") {
                endpoint.occupancy(5000, entryCount = 4) shouldBe 4
            }
        }
        describe("an endpoint that fails") {
            it("is excluded for a backoff that doubles and resets after a success") {
                val endpoint = FleetEndpoint(record("e1"), 0)
                endpoint.onSignal(EndpointSignal.TRANSPORT_FAILURE, 0)
                endpoint.isExcluded(199) shouldBe true
                endpoint.isExcluded(200) shouldBe false
                endpoint.onSignal(EndpointSignal.TRANSPORT_FAILURE, 200)
                endpoint.isExcluded(599) shouldBe true
                endpoint.onSignal(EndpointSignal.SUCCEEDED, 700)
                endpoint.onSignal(EndpointSignal.TRANSPORT_FAILURE, 700)
                endpoint.isExcluded(900) shouldBe false
            }
            it("stays excluded until its next start once its address was reused") {
                val endpoint = FleetEndpoint(record("e1"), 0)
                endpoint.onSignal(EndpointSignal.ADDRESS_REUSED, 0)
                endpoint.isExcluded(100_000) shouldBe true
                endpoint.update(record("e1").copy(startedAtMillis = 5), 100_000)
                endpoint.isExcluded(100_000) shouldBe false
            }
        }
        describe("a cold endpoint") {
            it("receives at most its rate limit from all entries together") {
                val endpoints = List(4) { FleetEndpoint(record("e", coldMillis = 3000), 0) }
                var attempts = 0
                for (millis in 0L until 1000L step 5) {
                    endpoints.filter { it.isWithinColdRate(36.0, 4, millis) }.forEach {
                        it.onAttempt(millis)
                        attempts++
                    }
                }
                attempts shouldBe 36
            }
        }
    })
