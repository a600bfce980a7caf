package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class RequestedBackoffTest :
    DescribeSpec({
        describe("a requested backoff") {
            it("lasts for the requested time") {
                val backoff = RequestedBackoff()
                backoff.remainingMillis(100) shouldBe 0
                backoff.onRefused(4000, 100)
                backoff.remainingMillis(100) shouldBe 4000
                backoff.remainingMillis(4099) shouldBe 1
                backoff.remainingMillis(4100) shouldBe 0
            }
            it("is not shortened by a later refusal, but extended") {
                val backoff = RequestedBackoff()
                backoff.onRefused(4000, 0)
                backoff.onRefused(100, 1000)
                backoff.remainingMillis(1000) shouldBe 3000
                backoff.onRefused(0, 1500)
                backoff.remainingMillis(1500) shouldBe 2500
                backoff.onRefused(4000, 2000)
                backoff.remainingMillis(2000) shouldBe 4000
            }
            it("ends with the run of the endpoint") {
                val backoff = RequestedBackoff()
                backoff.onRefused(4000, 0)
                backoff.reset()
                backoff.remainingMillis(1) shouldBe 0
            }
        }
    })
