package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class VersionGateTest :
    DescribeSpec({
        describe("a target version") {
            val gate = VersionGate(boundMillis = 8000)
            gate.onTargetVersion(model, 2, 10_000)
            gate.onTargetVersion(model, 3, 12_000)
            it("has an age from the time at which it was observed") {
                gate.ageMillis(model, 2, 16_000) shouldBe 6000
                gate.ageMillis(model, 3, 16_000) shouldBe 4000
                gate.ageMillis(model, 4, 16_000) shouldBe null
            }
            it("is not required at first") { gate.versionMin(model, 16_000, 3) shouldBe 0 }
            it("is required shortly before its own bound ends") {
                gate.versionMin(model, 17_000, 3) shouldBe 2
                gate.versionMin(model, 18_799, 3) shouldBe 2
                gate.versionMin(model, 18_800, 1) shouldBe 3
            }
            it("is not replaced by an older version that is observed later") {
                gate.onTargetVersion(model, 2, 13_000)
                gate.newest(model) shouldBe 3
            }
        }
        describe("a target version found at the start of the process") {
            it("is required immediately, even if no endpoint serves it yet") {
                val gate = VersionGate(boundMillis = 8000)
                gate.onTargetVersion(model, 2, 0, VersionDiscovery.FOUND_AT_START)
                gate.versionMin(model, 0, loadedMax = 1) shouldBe 2
            }
        }
        describe("a target version found after a store outage") {
            val gate = VersionGate(boundMillis = 8000)
            gate.onTargetVersion(model, 2, 0, VersionDiscovery.FOUND_AFTER_OUTAGE)
            it("is required soon if an endpoint serves it") {
                gate.versionMin(model, 500, loadedMax = 2) shouldBe 2
            }
            it("is required shortly before its bound ends if no endpoint serves it") {
                gate.versionMin(model, 6799, loadedMax = 1) shouldBe 0
                gate.versionMin(model, 6800, loadedMax = 1) shouldBe 2
            }
        }
        describe("requests without a model") {
            it("require no version") { VersionGate(8000).versionMin(null, 0, 0) shouldBe 0 }
        }
    })
