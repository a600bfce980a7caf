package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class VersionGateTest :
    DescribeSpec({
        describe("a named version") {
            val gate = VersionGate(boundMillis = 8000)
            gate.onNamed(model, 2, 10_000)
            gate.onNamed(model, 3, 12_000)
            it("may be missing at first") { gate.versionMin(model, 16_000, 3) shouldBe 0 }
            it("is needed before its bound ends, each from its own naming") {
                gate.versionMin(model, 17_000, 3) shouldBe 2
                gate.versionMin(model, 18_799, 3) shouldBe 2
                gate.versionMin(model, 18_800, 1) shouldBe 3
            }
            it("is not replaced by an older one that is seen again") {
                gate.onNamed(model, 2, 13_000)
                gate.newest(model) shouldBe 3
            }
        }
        describe("a version that is found named at a start") {
            it("is needed at once, also when no endpoint has it yet") {
                val gate = VersionGate(boundMillis = 8000)
                gate.onNamed(model, 2, 0, NameAge.FOUND_AT_START)
                gate.versionMin(model, 0, loadedMax = 1) shouldBe 2
            }
        }
        describe("a version that is found named after an outage of the store") {
            val gate = VersionGate(boundMillis = 8000)
            gate.onNamed(model, 2, 0, NameAge.FOUND_AFTER_OUTAGE)
            it("is needed soon when an endpoint has it") {
                gate.versionMin(model, 500, loadedMax = 2) shouldBe 2
            }
            it("has its bound while no endpoint has it") {
                gate.versionMin(model, 6799, loadedMax = 1) shouldBe 0
                gate.versionMin(model, 6800, loadedMax = 1) shouldBe 2
            }
        }
        describe("requests without a model") {
            it("need no version") { VersionGate(8000).versionMin(null, 0, 0) shouldBe 0 }
        }
    })
