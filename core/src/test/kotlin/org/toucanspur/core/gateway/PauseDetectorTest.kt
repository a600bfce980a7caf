package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val THRESHOLD_MILLIS = 400L

private fun detectorStartedAt(monotonicMillis: Long, wallMillis: Long) =
    PauseDetector(THRESHOLD_MILLIS).apply { observe(ClockReading(monotonicMillis, wallMillis)) }

class PauseDetectorTest :
    DescribeSpec({
        describe("a process that runs") {
            it("has no pause at the first observation") {
                PauseDetector(THRESHOLD_MILLIS).observe(ClockReading(9000, 9000)) shouldBe null
            }
            it("has no pause while observations are frequent and the clocks agree") {
                val detector = detectorStartedAt(0, 50_000)
                (1L..100L).forEach {
                    detector.observe(ClockReading(it * 100, 50_000 + it * 101)) shouldBe null
                }
                detector.latest shouldBe null
            }
        }
        describe("a pause") {
            it("is detected when the process was stopped") {
                detectorStartedAt(1000, 50_000).observe(ClockReading(4000, 53_000)) shouldBe
                    Pause(ClockReading(1000, 50_000), 3000, 3000)
            }
            it("is detected when the VM was suspended, during which the monotonic clock stops") {
                val pause = detectorStartedAt(1000, 50_000).observe(ClockReading(1100, 55_100))
                pause shouldBe Pause(ClockReading(1000, 50_000), 100, 5100)
                pause?.lengthMillis shouldBe 5100
                pause?.clockShiftMillis shouldBe 5000
                pause?.endedAt shouldBe ClockReading(1100, 55_100)
            }
            it("is detected when the wall clock was set back") {
                val pause = detectorStartedAt(1000, 50_000).observe(ClockReading(1100, 47_100))
                pause shouldBe Pause(ClockReading(1000, 50_000), 100, -2900)
                pause?.lengthMillis shouldBe 100
                pause?.clockShiftMillis shouldBe -3000
            }
            it("begins at the threshold") {
                detectorStartedAt(0, 0).observe(ClockReading(399, 399)) shouldBe null
                detectorStartedAt(0, 0).observe(ClockReading(400, 400)) shouldBe
                    Pause(ClockReading(0, 0), 400, 400)
                detectorStartedAt(0, 0).observe(ClockReading(0, -399)) shouldBe null
                detectorStartedAt(0, 0).observe(ClockReading(0, -400)) shouldBe
                    Pause(ClockReading(0, 0), 0, -400)
            }
            it("is reported once and remains the latest until the next one") {
                val detector = detectorStartedAt(0, 0)
                val first = detector.observe(ClockReading(3000, 3000))
                detector.observe(ClockReading(3100, 3100)) shouldBe null
                detector.latest shouldBe first
                val second = detector.observe(ClockReading(3200, 9200))
                detector.latest shouldBe second
            }
        }
    })
