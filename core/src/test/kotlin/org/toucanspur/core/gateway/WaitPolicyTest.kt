package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class WaitPolicyTest :
    DescribeSpec({
        describe("the retry delay") {
            it("is jittered, so that refused callers do not retry simultaneously") {
                val random = Random(1)
                val times = List(50) { WaitPolicy.retryAfterMillis(500.0, random) }
                times.forEach { it shouldBeInRange 500L..800L }
                times.toSet().size shouldBeGreaterThan 30
            }
            it("stays within the range that callers honour") {
                WaitPolicy.retryAfterMillis(60_000.0, Random(1)) shouldBeInRange 1800L..2880L
            }
        }
        describe("the retry delay of a request that is refused in favour of others") {
            // Guards against callers that cut the delay to what they honour and return together.
            it("is spread below a third of the caller's remaining time") {
                val random = Random(1)
                val times = List(50) {
                    WaitPolicy.sharedRetryAfterMillis(0.2, 2, 1500, random)
                }
                times.forEach { it shouldBeInRange 150L..500L }
                times.toSet().size shouldBeGreaterThan 30
            }
            it("is shorter for more urgent requests, and when the next one has a good chance") {
                fun delay(share: Double, priority: Int) =
                    WaitPolicy.sharedRetryAfterMillis(share, priority, 9000, Random(1))
                delay(0.2, 0) shouldBeLessThan delay(0.2, 2)
                delay(0.9, 2) shouldBeLessThan delay(0.2, 0)
            }
        }
        describe("the urgency at an endpoint") {
            it("is the lowest for a late request") {
                WaitPolicy.urgency(isOnTime = false, priority = 0) shouldBe 9
                WaitPolicy.urgency(isOnTime = true, priority = 1) shouldBe 1
            }
        }
        describe("the rank of a waiting request") {
            it("is behind all requests that can be on time for a late one") {
                WaitPolicy.rank(isOnTime = false, priority = 0) shouldBeGreaterThan
                    WaitPolicy.rank(isOnTime = true, priority = 8)
            }
        }
    })
