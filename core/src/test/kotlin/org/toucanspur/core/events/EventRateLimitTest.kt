package org.toucanspur.core.events

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val LIMIT = 200

class EventRateLimitTest :
    DescribeSpec({
        // Guards against a crowd of refused callers that fills the log: 100,000 requests to paths
        // without a route wrote as many lines.
        describe("the rate limit of an event") {
            it("bounds the lines of a flood in each second") {
                val limit = EventRateLimit(LIMIT)
                val allowed = (0L until 100_000L).count {
                    limit.allows(EventCode.REQUEST_REFUSED, it / 50)
                }
                allowed shouldBe 2 * LIMIT
            }
            it("does not displace other events") {
                val limit = EventRateLimit(LIMIT)
                repeat(1000) { limit.allows(EventCode.REQUEST_REFUSED, 0) }
                limit.allows(EventCode.REQUEST_ANSWERED, 0) shouldBe true
            }
            it("allows lines again after the wall clock has stepped back") {
                val limit = EventRateLimit(LIMIT)
                repeat(1000) { limit.allows(EventCode.REQUEST_REFUSED, 60_000) }
                limit.allows(EventCode.REQUEST_REFUSED, 0) shouldBe true
            }
        }
    })
