package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private fun at(millis: Long) = ClockReading(millis, millis)

private val pause = Pause(at(1000), monotonicMillis = 7000, wallMillis = 7000)

class InputHoldTest :
    DescribeSpec({
        describe("input of callers") {
            it("is held when a pause has just ended") {
                inputHoldMillis(pause, at(8000), areKeysChecked = true) shouldBe 300
                inputHoldMillis(pause, at(8100), areKeysChecked = true) shouldBe 300
            }
            it("is not held long after a pause, or without one") {
                inputHoldMillis(pause, at(8101), areKeysChecked = true) shouldBe 0
                inputHoldMillis(null, at(8000), areKeysChecked = true) shouldBe 0
            }
            it("is not held when there are no keys to check") {
                inputHoldMillis(pause, at(8000), areKeysChecked = false) shouldBe 0
            }
        }
    })
