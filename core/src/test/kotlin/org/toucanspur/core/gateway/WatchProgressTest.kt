package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private fun at(millis: Long) = ClockReading(millis, millis)

class WatchProgressTest :
    DescribeSpec({
        describe("a change") {
            it("is new when the call has waited for it") {
                WatchProgress().unseenSince(at(0), at(1500)) shouldBe at(1500)
            }
            it("dates back to the last confirmation when the call returns it immediately") {
                val progress = WatchProgress()
                progress.onUpToDate(at(2000))
                progress.unseenSince(at(2001), at(2010)) shouldBe at(2000)
            }
            it("dates back to the start of a pause of the process") {
                val progress = WatchProgress { at(1200) }
                progress.unseenSince(at(0), at(6200)) shouldBe at(1200)
            }
            it("dates back to the last confirmation when the pause began with the call") {
                val progress = WatchProgress { at(2100) }
                progress.onUpToDate(at(2000))
                progress.unseenSince(at(2001), at(7100)) shouldBe at(2000)
            }
        }
        describe("a call on a silent connection") {
            it("does not confirm anything until it fails") {
                val progress = WatchProgress()
                progress.onUpToDate(at(2000))
                progress.onFailure(at(4800))
                progress.unseenSince(at(4900), at(4910)) shouldBe at(2000)
            }
        }
        describe("an outage of the store") {
            it("does not count towards the age of a change") {
                val progress = WatchProgress()
                progress.onUpToDate(at(2000))
                listOf(2100L, 2600, 3400, 4200).forEach { progress.onFailure(at(it)) }
                progress.unseenSince(at(5000), at(5010)) shouldBe at(4200)
            }
            it("starts anew after a success") {
                val progress = WatchProgress()
                progress.onFailure(at(0))
                progress.onUpToDate(at(100))
                progress.onFailure(at(1500))
                progress.unseenSince(at(1600), at(1610)) shouldBe at(100)
            }
        }
    })
