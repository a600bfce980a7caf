package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.toucanspur.core.platform.ObjectKind

private fun at(millis: Long) = ClockReading(millis, millis)

// The endpoints were confirmed at 0 up to revision 5, the evacuations at 10 up to revision 7.
private fun freshness() = StoreFreshness(
    mapOf(
        ObjectKind.CONFIGURATION to 4000L,
        ObjectKind.ENDPOINTS to 2000L,
        ObjectKind.EVACUATIONS to 5000L
    )
).apply {
    onConfirmed(ObjectKind.ENDPOINTS, 5, at(0))
    onConfirmed(ObjectKind.EVACUATIONS, 7, at(10))
}

class StoreFreshnessTest :
    DescribeSpec({
        describe("a kind that is known up to the revision of a response about another kind") {
            it("is confirmed by it, and not checked") {
                val freshness = freshness()
                freshness.onConfirmed(ObjectKind.CONFIGURATION, 5, at(3000))
                freshness[ObjectKind.ENDPOINTS].ageMillis(at(3100)) shouldBe 100
                freshness[ObjectKind.EVACUATIONS].ageMillis(at(3100)) shouldBe 100
                freshness.takeDueForCheck(at(3100)).shouldBeEmpty()
                freshness.areAllWithin(200, at(3100)) shouldBe true
            }
        }
        describe("a kind that is known in another era of the store") {
            it("is not confirmed by a response with a lower revision, but checked") {
                val freshness = freshness()
                freshness.onConfirmed(ObjectKind.CONFIGURATION, 4, at(3000), era = 2)
                freshness[ObjectKind.EVACUATIONS].ageMillis(at(3000)) shouldBe 2990
                freshness.takeDueForCheck(at(3000)) shouldBe
                    listOf(ObjectKind.ENDPOINTS, ObjectKind.EVACUATIONS)
            }
        }
        describe("the last response in an era before") {
            it("is the last one of all kinds, also once the next era is known") {
                val freshness = StoreFreshness(mapOf(ObjectKind.ENDPOINTS to 2000L))
                freshness.lastRespondedBefore(1) shouldBe null
                freshness.onConfirmed(ObjectKind.ENDPOINTS, 5, at(100), era = 1)
                freshness.lastRespondedBefore(2) shouldBe at(100)
                freshness.onConfirmed(ObjectKind.ENDPOINTS, 3, at(900), era = 2)
                freshness.lastRespondedBefore(2) shouldBe at(100)
            }
        }
        describe("a kind that may have changed since it was confirmed") {
            // Guards against acting on an old list while a watch waits for a response that is lost.
            it("is checked once in half of its limit") {
                val freshness = freshness()
                freshness.onConfirmed(ObjectKind.CONFIGURATION, 6, at(900))
                freshness.takeDueForCheck(at(999)).shouldBeEmpty()
                freshness.takeDueForCheck(at(1000)) shouldBe listOf(ObjectKind.ENDPOINTS)
                freshness.takeDueForCheck(at(1999)).shouldBeEmpty()
                freshness.takeDueForCheck(at(2000)) shouldBe listOf(ObjectKind.ENDPOINTS)
                freshness.areAllWithin(1500, at(1600)) shouldBe false
            }
            it("is not checked while the store does not respond") {
                freshness().takeDueForCheck(at(9000)) shouldBe listOf(ObjectKind.ENDPOINTS)
                val silent = freshness()
                silent.onConfirmed(ObjectKind.ENDPOINTS, 7, at(10))
                silent.takeDueForCheck(at(9000)).shouldBeEmpty()
            }
        }
        describe("a store") {
            it("is changing while its revision has risen lately, and not after it returned") {
                val freshness = freshness()
                freshness.isChanging(at(5009), 5000) shouldBe true
                freshness.isChanging(at(5010), 5000) shouldBe false
                freshness.onConfirmed(ObjectKind.CONFIGURATION, 3, at(6000), era = 2)
                freshness.isChanging(at(6000), 5000) shouldBe false
            }
        }
        describe("a kind that was never listed") {
            it("is neither fresh nor checked") {
                val freshness = freshness()
                freshness.areAllWithin(9000, at(20)) shouldBe false
                freshness.takeDueForCheck(at(500)).shouldBeEmpty()
            }
        }
    })
