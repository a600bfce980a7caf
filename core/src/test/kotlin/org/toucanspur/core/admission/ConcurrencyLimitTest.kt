package org.toucanspur.core.admission

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class ConcurrencyLimitTest :
    DescribeSpec({
        describe("a concurrency limit") {
            it("applies a higher cold limit when the settings change") {
                val limit = ConcurrencyLimit(ConcurrencyLimitSettings(1, 1))
                limit.configure(ConcurrencyLimitSettings(4, 8))
                limit.current shouldBe 4
            }
            it("grows with completed requests up to the warm limit") {
                val limit = ConcurrencyLimit(ConcurrencyLimitSettings(2, 5))
                repeat(10) { limit.onCompleted(10) }
                limit.current shouldBe 5
                limit.isWarm shouldBe true
            }
            it("is reset to the cold limit by one response far later than usual") {
                val limit = ConcurrencyLimit(ConcurrencyLimitSettings(2, 8))
                repeat(6) { limit.onCompleted(20) }
                limit.onCompleted(500) shouldBe true
                limit.current shouldBe 2
            }
            it("keeps its value when the warm limit is raised") {
                val limit = ConcurrencyLimit(ConcurrencyLimitSettings(2, 8))
                repeat(6) { limit.onCompleted(20) }
                limit.configure(ConcurrencyLimitSettings(2, 16))
                limit.current shouldBe 8
            }
        }
    })
