package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

class RetryBudgetShareTest :
    DescribeSpec({
        val limits = RetryBudgetLimits(ratio = 0.2, windowMillis = 10_000, allowance = 100)
        describe("the retry budget of all entries") {
            it("is not exceeded in any window when every request fails at every entry") {
                val entries = List(4) { RetryBudgetShare(limits) }
                val retries = mutableListOf<Long>()
                val requests = mutableListOf<Long>()
                for (millis in 0L until 40_000L step 10) {
                    val entry = entries[(millis / 10 % 4).toInt()]
                    entry.onRequest(millis)
                    requests += millis
                    if (entry.tryAcquire(millis, 4)) retries += millis
                }
                for (end in 10_000L..40_000L step 500) {
                    val window = (end - 10_000) until end
                    val allowed = requests.count { it in window } * 0.2 + 100
                    retries.count { it in window } shouldBeLessThanOrEqual allowed.toInt()
                }
            }
        }
        describe("one entry") {
            it("may use its share of the allowance without any requests") {
                val budget = RetryBudgetShare(limits)
                (1..100).count { budget.tryAcquire(0, entryCount = 4) } shouldBe 20
            }
            // Guards against less urgent requests that use up the budget under contention.
            it("keeps a part of its share for urgent requests") {
                val budget = RetryBudgetShare(limits)
                fun retries(part: Double) =
                    (1..100).count { budget.tryAcquire(0, entryCount = 4, usablePart = part) }
                retries(0.5) shouldBe 10
                retries(1.0) shouldBe 10
            }
            it("regains its share after the window has passed") {
                val budget = RetryBudgetShare(limits)
                repeat(100) { budget.tryAcquire(0, entryCount = 4) }
                budget.tryAcquire(5000, entryCount = 4) shouldBe false
                budget.tryAcquire(11_000, entryCount = 4) shouldBe true
            }
        }
    })
