package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

class ActiveTimeTest :
    DescribeSpec({
        describe("the time of bytes that arrive") {
            it("is counted while they keep arriving") {
                val time = ActiveTime(silenceMaxMillis = 100)
                (1000L..1400L step 20).forEach(time::onArrival)
                time.millis shouldBe 400
            }
            it("counts a silence no longer than the limit") {
                val time = ActiveTime(silenceMaxMillis = 100)
                listOf(1000L, 61_000L, 61_010L).forEach(time::onArrival)
                time.millis shouldBe 110
            }
            it("grows without end when bytes arrive rarely") {
                val time = ActiveTime(silenceMaxMillis = 100)
                (0L..20_000L step 1000).forEach(time::onArrival)
                time.millis shouldBeGreaterThan 1000
            }
            it("starts again after a reset") {
                val time = ActiveTime(silenceMaxMillis = 100)
                listOf(1000L, 1050L).forEach(time::onArrival)
                time.reset()
                time.millis shouldBe 0
                listOf(5000L, 5010L).forEach(time::onArrival)
                time.millis shouldBe 10
            }
        }
    })
