package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class FreshnessTest :
    DescribeSpec({
        describe("the age of a reading") {
            it("counts a suspension, in which the steady clock stood still") {
                ClockReading(1000, 9000).ageMillis(ClockReading(900, 4000)) shouldBe 5000
            }
            it("does not shrink when the time of day jumps back") {
                ClockReading(3000, 1000).ageMillis(ClockReading(1000, 5000)) shouldBe 2000
            }
        }
        describe("a proof of freshness") {
            it("is not there before the store has answered") {
                FreshnessProof(1000).isFresh(ClockReading(0, 0)) shouldBe false
            }
            it("ends at its limit") {
                val proof = FreshnessProof(1000)
                proof.renew(ClockReading(0, 0))
                proof.isFresh(ClockReading(999, 999)) shouldBe true
                proof.isFresh(ClockReading(1000, 1000)) shouldBe false
            }
            it("ends when a VM wakes from a suspension") {
                val proof = FreshnessProof(1000)
                proof.renew(ClockReading(0, 0))
                proof.isFresh(ClockReading(10, 6000)) shouldBe false
            }
            it("is not made older by an answer that comes late") {
                val proof = FreshnessProof(1000)
                proof.renew(ClockReading(500, 500))
                proof.renew(ClockReading(100, 100))
                proof.ageMillis(ClockReading(600, 600)) shouldBe 100
            }
        }
    })
