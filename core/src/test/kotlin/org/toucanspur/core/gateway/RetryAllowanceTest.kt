package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class RetryAllowanceTest :
    DescribeSpec({
        val limits = RetryBudgetLimits(ratio = 0.2, windowMillis = 10_000, allowance = 100)
        describe("the budget of all entries") {
            it("is kept in any window when every request fails at every entry") {
                val entries = List(4) { RetryAllowance(limits) }
                val repeats = mutableListOf<Long>()
                val requests = mutableListOf<Long>()
                for (millis in 0L until 40_000L step 10) {
                    val entry = entries[(millis / 10 % 4).toInt()]
                    entry.onRequest(millis)
                    requests += millis
                    if (entry.tryTake(millis, 4)) repeats += millis
                }
                for (end in 10_000L..40_000L step 500) {
                    val window = (end - 10_000) until end
                    val allowed = requests.count { it in window } * 0.2 + 100
                    repeats.count { it in window } shouldBeLessThanOrEqual allowed.toInt()
                }
            }
        }
        describe("one entry") {
            it("has its share of the allowance without any requests") {
                val allowance = RetryAllowance(limits)
                (1..100).count { allowance.tryTake(0, entries = 4) } shouldBe 20
            }
            it("gets it back when the window has passed") {
                val allowance = RetryAllowance(limits)
                repeat(100) { allowance.tryTake(0, entries = 4) }
                allowance.tryTake(5000, entries = 4) shouldBe false
                allowance.tryTake(11_000, entries = 4) shouldBe true
            }
        }
    })
