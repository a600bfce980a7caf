package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.toucanspur.schema.EndpointId

class ReportPeriodTest :
    DescribeSpec({
        describe("the interval between load reports") {
            it("is the minimum for up to four entries") {
                listOf(0, 1, 4).forEach { reportPeriodMillis(it) shouldBe 100 }
            }
            it("bounds the datagram rate of an agent") {
                listOf(8, 12, 24).forEach {
                    (it * 1000 / reportPeriodMillis(it)).toInt() shouldBeLessThan 42
                }
            }
        }
        describe("a load report") {
            it("stays fresh for several report periods") {
                val fleet = Fleet().apply { put(record("e"), 0) }
                val endpoint = fleet.find(EndpointId("e"))!!
                endpoint.onReport(report(7, periodMillis = 300), 0)
                endpoint.freshReport(1199)?.running shouldBe 7
                endpoint.freshReport(1200) shouldBe null
                endpoint.onReport(report(7, sequence = 2, periodMillis = 100), 3000)
                endpoint.freshReport(3499)?.running shouldBe 7
                endpoint.freshReport(3500) shouldBe null
            }
            it("shows the load for as long again, until the endpoint counts as silent") {
                val fleet = Fleet().apply { put(record("e"), 0) }
                val endpoint = fleet.find(EndpointId("e"))!!
                endpoint.onReport(report(7, periodMillis = 300), 0)
                endpoint.occupancy(2399, 12) shouldBe 7
                endpoint.isSilent(2399) shouldBe false
                endpoint.occupancy(2400, 12) shouldBe 0
                endpoint.isSilent(2400) shouldBe true
                endpoint.onReport(report(7, sequence = 2, periodMillis = 100), 3000)
                endpoint.occupancy(3999, 4) shouldBe 7
                endpoint.occupancy(4000, 4) shouldBe 0
            }
        }
    })
