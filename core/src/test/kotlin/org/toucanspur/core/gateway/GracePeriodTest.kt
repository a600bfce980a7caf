package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class GracePeriodTest :
    DescribeSpec({
        describe("a grace period") {
            val grace = GracePeriod(1000, 8000)
            it("ends before the process is killed") {
                grace.endMillis shouldBe 8300
                GracePeriod(1000, 0).endMillis shouldBe 1000
            }
            it("admits requests that can still be served") {
                val plain = service(timing = null)
                grace.admits(route("/a/"), plain, 7900) shouldBe true
                grace.admits(route("/a/"), plain, 7901) shouldBe false
            }
            it("admits streams of an engine as long as most of them end in time") {
                val needed = (typicalResponseMillis(engine) * 2).toLong()
                grace.admits(route("/a/"), service(), 8300 - needed) shouldBe true
                grace.admits(route("/a/"), service(), 8301 - needed) shouldBe false
            }
            it("admits streams that begin after the handover only if they must end in time") {
                val stream = route("/a/", kind = CallKind.STREAM)
                grace.admits(stream, service(), 4000) shouldBe true
                grace.admits(stream, service(), 4001) shouldBe false
                grace.admits(stream, service(), 4001, remainingMillis = 4300) shouldBe false
                grace.admits(stream, service(), 4001, remainingMillis = 4299) shouldBe true
                grace.admits(route("/a/"), service(), 4001) shouldBe true
            }
        }
    })
