package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.toucanspur.schema.EndpointId

class FleetTest :
    DescribeSpec({
        describe("an endpoint that is no longer listed") {
            it("goes at once") {
                val fleet = Fleet()
                fleet.put(record("e1"), 0)
                fleet.remove(EndpointId("e1"), 10)
                fleet.of(writers) shouldBe emptyList()
            }
            it("stays for its grace right after an outage of the store, then goes") {
                val fleet = Fleet(missingGraceMillis = 2000)
                fleet.put(record("e1"), 0)
                fleet.onStoreReturn(1000)
                fleet.replaceAll(emptyList(), 1100)
                fleet.of(writers).size shouldBe 1
                fleet.expire(2900)
                fleet.of(writers).size shouldBe 1
                fleet.expire(3000) shouldBe listOf(EndpointId("e1"))
                fleet.of(writers).size shouldBe 0
            }
            it("stays when its entry comes back within the grace") {
                val fleet = Fleet(missingGraceMillis = 2000)
                fleet.put(record("e1"), 0)
                fleet.onStoreReturn(1000)
                fleet.remove(EndpointId("e1"), 1100)
                fleet.put(record("e1"), 1500)
                fleet.expire(5000) shouldBe emptyList()
                fleet.of(writers).size shouldBe 1
            }
        }
        describe("an endpoint of a former life at the same address") {
            it("is superseded whatever the order in which the two are listed") {
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
            it("is the report and what was sent since") {
                endpoint.onReport(report(running = 5, waiting = 1, sequence = 2), 100)
                endpoint.onSend(110)
                endpoint.occupancy(120, entries = 4) shouldBe 7
            }
            it("does not go back to an older report that arrives late") {
                endpoint.onReport(report(running = 0, sequence = 1), 130)
                endpoint.occupancy(140, entries = 4) shouldBe 7
            }
            it("assumes that others send as much when reports have stopped") {
                endpoint.occupancy(5000, entries = 4) shouldBe 4
            }
        }
        describe("an endpoint that fails") {
            it("is left alone for a time that grows") {
                val endpoint = FleetEndpoint(record("e1"), 0)
                endpoint.onSign(EndpointSign.BROKEN, 0)
                endpoint.isAvoided(199) shouldBe true
                endpoint.isAvoided(200) shouldBe false
                endpoint.onSign(EndpointSign.BROKEN, 200)
                endpoint.isAvoided(599) shouldBe true
                endpoint.onSign(EndpointSign.ANSWERED, 700)
                endpoint.onSign(EndpointSign.BROKEN, 700)
                endpoint.isAvoided(900) shouldBe false
            }
            it("is not used again in its present life once another has its address") {
                val endpoint = FleetEndpoint(record("e1"), 0)
                endpoint.onSign(EndpointSign.REPLACED, 0)
                endpoint.isAvoided(100_000) shouldBe true
                endpoint.update(record("e1").copy(startedAtMillis = 5), 100_000)
                endpoint.isAvoided(100_000) shouldBe false
            }
        }
        describe("a cold endpoint") {
            it("gets its rate from all entries together") {
                val endpoints = List(4) { FleetEndpoint(record("e", coldMillis = 3000), 0) }
                var sends = 0
                for (millis in 0L until 1000L step 5) {
                    endpoints.filter { it.mayTakeCold(36.0, 4, millis) }.forEach {
                        it.onSend(millis)
                        sends++
                    }
                }
                sends shouldBe 36
            }
        }
    })
