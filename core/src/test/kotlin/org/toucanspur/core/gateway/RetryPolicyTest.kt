package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class RetryPolicyTest :
    DescribeSpec({
        val plain = route("/p/", kind = CallKind.IDEMPOTENT)
        val once = route("/o/", kind = CallKind.AT_MOST_ONCE)
        val stream = route("/s/", kind = CallKind.STREAM, isResumable = true)
        val nonResumableStream = route("/f/", kind = CallKind.STREAM)

        fun history(
            executedAttempts: Int = 1,
            unexecutedAttempts: Int = 0,
            lastOutcome: AttemptOutcome = AttemptOutcome.MAY_HAVE_RUN,
            isCommitted: Boolean = false
        ) = AttemptHistory(executedAttempts, unexecutedAttempts, lastOutcome, isCommitted)

        describe("a request that reached no endpoint") {
            it("is retried up to the attempt limit, regardless of its kind") {
                val lastOutcome = AttemptOutcome.UNREACHED
                listOf(plain, once, stream).forEach {
                    decideRetry(it, history(0, 3, lastOutcome)) shouldBe RetryDecision.UNBUDGETED
                    decideRetry(it, history(0, 4, lastOutcome)) shouldBe RetryDecision.DENIED
                }
            }
        }
        describe("a request that may have been executed") {
            it("is retried only if it may be executed twice") {
                decideRetry(plain, history()) shouldBe RetryDecision.BUDGETED
                decideRetry(stream, history()) shouldBe RetryDecision.BUDGETED
                decideRetry(once, history()) shouldBe RetryDecision.DENIED
                decideRetry(nonResumableStream, history()) shouldBe RetryDecision.DENIED
            }
            it("is not retried beyond the limit of its route") {
                decideRetry(plain, history(executedAttempts = 2)) shouldBe RetryDecision.DENIED
            }
        }
        describe("a request that an endpoint refused") {
            val lastOutcome = AttemptOutcome.TURNED_AWAY
            it("is retried within the budget even if it may be executed only once") {
                decideRetry(once, history(0, 1, lastOutcome)) shouldBe RetryDecision.BUDGETED
                val single = route("/1/", kind = CallKind.AT_MOST_ONCE, endpointsMax = 1)
                decideRetry(single, history(0, 1, lastOutcome)) shouldBe RetryDecision.BUDGETED
            }
            it("is retried up to the attempt limit, regardless of the limit of its route") {
                val resumed = history(2, 1, lastOutcome, isCommitted = true)
                decideRetry(stream, resumed) shouldBe RetryDecision.BUDGETED
                decideRetry(stream, resumed.copy(unexecutedAttempts = 4)) shouldBe
                    RetryDecision.DENIED
            }
        }
        describe("a partially relayed response") {
            it("is continued only for a resumable stream") {
                decideRetry(stream, history(isCommitted = true)) shouldBe RetryDecision.BUDGETED
                decideRetry(plain, history(isCommitted = true)) shouldBe RetryDecision.DENIED
            }
        }
        describe("the stall timeout") {
            it("is derived from the latency targets of the route") {
                stallMillis(plain, isCommitted = false) shouldBe 400
                stallMillis(plain.copy(targetMillis = 50), isCommitted = false) shouldBe 150
                stallMillis(stream, isCommitted = false) shouldBe 800
                stallMillis(stream, isCommitted = true) shouldBe 900
            }
        }
    })
