package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class ResendPolicyTest :
    DescribeSpec({
        val plain = route("/p/", kind = CallKind.IDEMPOTENT)
        val once = route("/o/", kind = CallKind.AT_MOST_ONCE)
        val stream = route("/s/", kind = CallKind.STREAM, isResumable = true)
        val fixedStream = route("/f/", kind = CallKind.STREAM)

        fun history(
            sends: Int = 1,
            missed: Int = 0,
            last: SendOutcome = SendOutcome.MAY_HAVE_RUN,
            isCommitted: Boolean = false
        ) = SendHistory(sends, missed, last, isCommitted)

        describe("a request that has reached no endpoint") {
            it("is tried again whatever its kind, a few times") {
                val last = SendOutcome.UNREACHED
                listOf(plain, once, stream).forEach {
                    resendAfterFailure(it, history(0, 3, last)) shouldBe Resend.FREE
                    resendAfterFailure(it, history(0, 4, last)) shouldBe Resend.NEVER
                }
            }
        }
        describe("a request that may have run") {
            it("is sent again only if it may run twice") {
                resendAfterFailure(plain, history()) shouldBe Resend.IN_BUDGET
                resendAfterFailure(stream, history()) shouldBe Resend.IN_BUDGET
                resendAfterFailure(once, history()) shouldBe Resend.NEVER
                resendAfterFailure(fixedStream, history()) shouldBe Resend.NEVER
            }
            it("is not sent beyond its route's limit") {
                resendAfterFailure(plain, history(sends = 2)) shouldBe Resend.NEVER
            }
        }
        describe("a request that an endpoint did not run") {
            val last = SendOutcome.TURNED_AWAY
            it("is sent again also when it may run once only") {
                resendAfterFailure(once, history(0, 1, last)) shouldBe Resend.IN_BUDGET
                val single = route("/1/", kind = CallKind.AT_MOST_ONCE, endpointsMax = 1)
                resendAfterFailure(single, history(0, 1, last)) shouldBe Resend.IN_BUDGET
            }
            it("does not count for its route's limit, but is sent a few times only") {
                val resumed = history(2, 1, last, isCommitted = true)
                resendAfterFailure(stream, resumed) shouldBe Resend.IN_BUDGET
                resendAfterFailure(stream, resumed.copy(missed = 4)) shouldBe Resend.NEVER
            }
        }
        describe("an answer that the caller has in part") {
            it("goes on only as a stream that may resume") {
                resendAfterFailure(stream, history(isCommitted = true)) shouldBe Resend.IN_BUDGET
                resendAfterFailure(plain, history(isCommitted = true)) shouldBe Resend.NEVER
            }
        }
        describe("the time until silence counts") {
            it("follows the route's targets") {
                stallMillis(plain, isCommitted = false) shouldBe 400
                stallMillis(plain.copy(targetMillis = 50), isCommitted = false) shouldBe 150
                stallMillis(stream, isCommitted = false) shouldBe 800
                stallMillis(stream, isCommitted = true) shouldBe 900
            }
        }
    })
