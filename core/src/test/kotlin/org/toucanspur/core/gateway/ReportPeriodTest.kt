package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.toucanspur.schema.EndpointId

class ReportPeriodTest :
    DescribeSpec({
        describe("the time between two reports") {
            it("is the shortest up to four entries") {
                listOf(0, 1, 4).forEach { reportPeriodMillis(it) shouldBe 100 }
            }
            it("keeps the number of datagrams of an agent") {
                listOf(8, 12, 24).forEach {
                    (it * 1000 / reportPeriodMillis(it)).toInt() shouldBeLessThan 42
                }
            }
        }
        describe("a report") {
            it("is believed for some periods") {
                val fleet = Fleet().apply { put(record("e"), 0) }
                val endpoint = fleet.find(EndpointId("e"))!!
                endpoint.onReport(report(7, periodMillis = 300), 0)
                endpoint.occupancy(1199, 12) shouldBe 7
                endpoint.occupancy(1200, 12) shouldBe 0
                endpoint.onReport(report(7, sequence = 2, periodMillis = 100), 2000)
                endpoint.occupancy(2499, 4) shouldBe 7
                endpoint.occupancy(2500, 4) shouldBe 0
            }
        }
    })
