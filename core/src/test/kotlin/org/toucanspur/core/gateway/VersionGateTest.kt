package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private fun at(millis: Long) = ClockReading(millis, millis)

class VersionGateTest :
    DescribeSpec({
        describe("a target version") {
            val gate = VersionGate(boundMillis = 8000)
            gate.onTargetVersion(model, 2, at(10_000))
            gate.onTargetVersion(model, 3, at(12_000))
            it("is not required at first") { gate.versionMin(model, at(16_000), 3) shouldBe 0 }
            it("is due for requests that wait at an endpoint just before its bound ends") {
                gate.versionDue(model, at(17_399)) shouldBe 0
                gate.versionDue(model, at(17_400)) shouldBe 2
                gate.versionDue(model, at(19_400)) shouldBe 3
            }
            it("has an age from the start of its bound") {
                gate.ageMillis(model, 2, at(16_000)) shouldBe 6000
                gate.ageMillis(model, 3, at(16_000)) shouldBe 4000
                gate.ageMillis(model, 4, at(16_000)) shouldBe null
            }
            it("is required earlier where requests take seconds to reach an endpoint") {
                gate.versionMinForSlowPath(model, at(13_499), 3) shouldBe 0
                gate.versionMinForSlowPath(model, at(13_500), 3) shouldBe 2
            }
            it("is required shortly before its own bound ends") {
                gate.versionMin(model, at(17_000), 3) shouldBe 2
                gate.versionMin(model, at(18_799), 3) shouldBe 2
                gate.versionMin(model, at(18_800), 1) shouldBe 3
            }
            it("is not replaced by an older version that is observed later") {
                gate.onTargetVersion(model, 2, at(13_000))
                gate.newest(model) shouldBe 3
            }
        }
        describe("a target version found at the start of the process") {
            it("is required immediately, even if no endpoint serves it yet") {
                val gate = VersionGate(boundMillis = 8000)
                gate.onTargetVersion(model, 2, at(0), VersionDiscovery.FOUND_AT_START)
                gate.versionMin(model, at(0), loadedMax = 1) shouldBe 2
            }
        }
        describe("a target version found after a store outage") {
            val gate = VersionGate(boundMillis = 8000)
            gate.onTargetVersion(model, 2, at(0), VersionDiscovery.FOUND_AFTER_OUTAGE)
            it("is required soon if an endpoint serves it") {
                gate.versionMin(model, at(500), loadedMax = 2) shouldBe 2
            }
            it("is required shortly before its bound ends if no endpoint serves it") {
                gate.versionMin(model, at(6799), loadedMax = 1) shouldBe 0
                gate.versionMin(model, at(6800), loadedMax = 1) shouldBe 2
            }
        }
        describe("a target version while the VM is suspended") {
            val gate = VersionGate(boundMillis = 8000)
            gate.onTargetVersion(model, 2, ClockReading(0, 50_000))
            it("ages, although the monotonic clock stands still") {
                gate.versionMin(model, ClockReading(1800, 56_799), loadedMax = 1) shouldBe 0
                gate.versionMin(model, ClockReading(1801, 56_800), loadedMax = 1) shouldBe 2
            }
            it("does not get younger when the wall clock is set back") {
                gate.versionMin(model, ClockReading(6800, 52_000), loadedMax = 1) shouldBe 2
            }
        }
        describe("target versions beyond those that are kept") {
            val gate = VersionGate(boundMillis = 8000)
            (2L..12L).forEach { gate.onTargetVersion(model, it, at(it * 100)) }
            it("leave their bound to a newer version") {
                gate.versionMin(model, at(7000), loadedMax = 1) shouldBe 5
            }
        }
        describe("requests without a model") {
            it("require no version") { VersionGate(8000).versionMin(null, at(0), 0) shouldBe 0 }
        }
    })
