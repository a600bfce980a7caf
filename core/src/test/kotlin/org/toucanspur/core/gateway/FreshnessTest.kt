package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class FreshnessTest :
    DescribeSpec({
        describe("the age of a reading") {
            it("includes a suspension, during which the monotonic clock stops") {
                ClockReading(1000, 9000).ageMillis(ClockReading(900, 4000)) shouldBe 5000
            }
            it("does not decrease when the wall clock is set back") {
                ClockReading(3000, 1000).ageMillis(ClockReading(1000, 5000)) shouldBe 2000
            }
        }
        describe("the freshness of the configuration") {
            it("is absent before the first confirmation") {
                Freshness(1000).isFresh(ClockReading(0, 0)) shouldBe false
            }
            it("ends at the age limit") {
                val freshness = Freshness(1000)
                freshness.renew(ClockReading(0, 0))
                freshness.isFresh(ClockReading(999, 999)) shouldBe true
                freshness.isFresh(ClockReading(1000, 1000)) shouldBe false
            }
            it("ends when a VM resumes after a suspension longer than the limit") {
                val freshness = Freshness(1000)
                freshness.renew(ClockReading(0, 0))
                freshness.isFresh(ClockReading(10, 6000)) shouldBe false
            }
            it("is not reduced by a confirmation that arrives late") {
                val freshness = Freshness(1000)
                freshness.renew(ClockReading(500, 500))
                freshness.renew(ClockReading(100, 100))
                freshness.ageMillis(ClockReading(600, 600)) shouldBe 100
            }
        }
    })
