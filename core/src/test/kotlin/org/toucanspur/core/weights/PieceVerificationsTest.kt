package org.toucanspur.core.weights

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.toucanspur.core.gateway.ClockPair
import org.toucanspur.core.gateway.ClockReading

class PieceVerificationsTest :
    DescribeSpec({
        describe("verifications of staged pieces") {
            it("are missing until all pieces are recorded") {
                val verifications = PieceVerifications(2, ClockPair { ClockReading(0, 0) })
                verifications.record(0, ClockReading(0, 0))
                verifications.outdated(1000) shouldBe listOf(1)
            }
            it("become outdated one by one") {
                var now = ClockReading(0, 0)
                val verifications = PieceVerifications(2, ClockPair { now })
                verifications.record(0, ClockReading(0, 0))
                verifications.record(1, ClockReading(500, 500))
                now = ClockReading(999, 999)
                verifications.areWithin(1000) shouldBe true
                now = ClockReading(1000, 1000)
                verifications.outdated(1000) shouldBe listOf(0)
            }
            it("are outdated after a suspension that the monotonic clock does not show") {
                var now = ClockReading(0, 0)
                val verifications = PieceVerifications(1, ClockPair { now })
                verifications.record(0, now)
                now = ClockReading(10, 4000)
                verifications.areWithin(1000) shouldBe false
            }
        }
    })
