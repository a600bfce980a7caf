package org.toucanspur.core.platform

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class ResponseTimeoutTest :
    DescribeSpec({
        val limits = TransferLimits(silenceMillis = 800, totalMillis = 5000)
        describe("the end of a call") {
            it("is its time-out while there is no response") {
                ResponseTimeout(100, 1000, limits).dueMillis shouldBe 1100
            }
            it("is not earlier because the response has begun") {
                val timeout = ResponseTimeout(0, 1000, limits)
                timeout.onBytes(50)
                timeout.dueMillis shouldBe 1000
            }
            it("counts from the connection on") {
                val timeout = ResponseTimeout(0, 1000, limits)
                timeout.onConnected(700)
                timeout.dueMillis shouldBe 1700
            }
            it("is delayed while bytes arrive") {
                val timeout = ResponseTimeout(0, 1000, limits)
                listOf(900L, 1600L, 2300L).forEach(timeout::onBytes)
                timeout.dueMillis shouldBe 3100
            }
            it("is delayed only up to the limit of the whole response") {
                val timeout = ResponseTimeout(0, 1000, limits)
                (900L..7000L step 100).forEach(timeout::onBytes)
                timeout.dueMillis shouldBe 5900
            }
            it("is its time-out without limits of a transfer") {
                val timeout = ResponseTimeout(0, 1000, limits = null)
                timeout.onConnected(100)
                timeout.onBytes(900)
                timeout.dueMillis shouldBe 1000
            }
        }
    })
