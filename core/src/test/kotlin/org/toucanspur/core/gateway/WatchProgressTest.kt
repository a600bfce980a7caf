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
        describe("a call without changes") {
            it("dates the next ones to the end of its wait") {
                val progress = WatchProgress()
                progress.onUnchanged(at(0), at(2010), waitMillis = 2000)
                progress.unseenSince(at(2011), at(2020)) shouldBe at(2000)
            }
            // Guards against taking a watch that was cut off in a pause for one that has waited.
            it("dates them to its start when it ended early or late, or the process was paused") {
                val paused = WatchProgress { at(1000) }
                paused.onUnchanged(at(0), at(2010), waitMillis = 2000)
                paused.unlistedSince(at(2011)) shouldBe at(2011)
                listOf(1990L, 2450L).forEach { endMillis ->
                    val progress = WatchProgress()
                    progress.onUpToDate(at(0))
                    progress.onUnchanged(at(0), at(endMillis), waitMillis = 2000)
                    progress.unlistedSince(at(endMillis)) shouldBe at(0)
                }
            }
        }
        describe("a call on a silent connection") {
            it("does not confirm anything until it fails") {
                val progress = WatchProgress()
                progress.onUpToDate(at(2000))
                progress.onFailure(at(2000), at(4800))
                progress.unseenSince(at(4900), at(4910)) shouldBe at(2000)
            }
            it("does not count as an outage of the store when the next one is silent as well") {
                val progress = WatchProgress()
                progress.onUpToDate(at(2000))
                progress.onFailure(at(2000), at(2100))
                progress.onFailure(at(2300), at(5000))
                progress.unseenSince(at(5100), at(5110)) shouldBe at(2000)
            }
            it("is followed by a call whose connection may take a second") {
                val progress = WatchProgress()
                progress.onUpToDate(at(2000))
                progress.onFailure(at(2000), at(4800))
                progress.unseenSince(at(4900), at(5950)) shouldBe at(2000)
            }
        }
        describe("a listing") {
            it("does not prove anything by its duration") {
                val progress = WatchProgress()
                progress.onUpToDate(at(2000))
                progress.unlistedSince(at(2500)) shouldBe at(2000)
            }
        }
        describe("an outage of the store") {
            it("does not count towards the age of a change") {
                val progress = WatchProgress()
                progress.onUpToDate(at(2000))
                listOf(2100L, 2600, 3400, 4200).forEach { progress.onFailure(at(it), at(it + 5)) }
                progress.unseenSince(at(5000), at(5010)) shouldBe at(4200)
            }
            it("starts anew after a success") {
                val progress = WatchProgress()
                progress.onFailure(at(0), at(5))
                progress.onUpToDate(at(100))
                progress.onFailure(at(1500), at(1505))
                progress.unseenSince(at(1600), at(1610)) shouldBe at(100)
            }
        }
    })
