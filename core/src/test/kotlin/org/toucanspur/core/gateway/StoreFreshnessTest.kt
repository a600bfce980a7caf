package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.toucanspur.core.platform.ObjectKind

private fun at(millis: Long) = ClockReading(millis, millis)

// A response that arrives as soon as its call starts.
private fun StoreFreshness.onPrompt(
    kind: ObjectKind,
    revision: Long,
    at: ClockReading,
    era: Long? = null
) = onConfirmed(kind, revision, at, at, era)

// The endpoints were confirmed at 0 up to revision 5, the evacuations at 10 up to revision 7.
private fun freshness() = StoreFreshness(
    mapOf(
        ObjectKind.CONFIGURATION to 4000L,
        ObjectKind.ENDPOINTS to 2000L,
        ObjectKind.EVACUATIONS to 5000L
    )
).apply {
    onPrompt(ObjectKind.ENDPOINTS, 5, at(0))
    onPrompt(ObjectKind.EVACUATIONS, 7, at(10))
}

class StoreFreshnessTest :
    DescribeSpec({
        describe("a kind that is known up to the revision of a response about another kind") {
            it("is confirmed by it, and not checked") {
                val freshness = freshness()
                freshness.onPrompt(ObjectKind.CONFIGURATION, 5, at(3000))
                freshness[ObjectKind.ENDPOINTS].ageMillis(at(3100)) shouldBe 100
                freshness[ObjectKind.EVACUATIONS].ageMillis(at(3100)) shouldBe 100
                freshness.takeDueForCheck(at(3100)).shouldBeEmpty()
                freshness.areAllWithin(200, at(3100)) shouldBe true
            }
        }
        // Guards against taking a response for newer than its call, which made an outdated
        // configuration count as current after a pause.
        describe("a response that arrives long after its call started") {
            it("confirms its kind, and those known up to its revision, as of that start") {
                val freshness = freshness()
                freshness.onConfirmed(ObjectKind.CONFIGURATION, 7, at(20), at(9000))
                freshness[ObjectKind.CONFIGURATION].ageMillis(at(9000)) shouldBe 8980
                freshness[ObjectKind.EVACUATIONS].ageMillis(at(9000)) shouldBe 8980
            }
            it("confirms its kind as of a later call whose response had no higher revision") {
                val freshness = freshness()
                freshness.onPrompt(ObjectKind.CONFIGURATION, 7, at(3000))
                freshness.onConfirmed(ObjectKind.ENDPOINTS, 7, at(20), at(3100))
                freshness[ObjectKind.ENDPOINTS].ageMillis(at(3100)) shouldBe 100
                freshness.onPrompt(ObjectKind.CONFIGURATION, 9, at(4000))
                freshness.onConfirmed(ObjectKind.EVACUATIONS, 8, at(30), at(4100))
                freshness[ObjectKind.EVACUATIONS].ageMillis(at(4100)) shouldBe 1100
            }
            it("is not ordered by its revision among those of another era") {
                val freshness = freshness()
                freshness.onPrompt(ObjectKind.CONFIGURATION, 7, at(3000))
                freshness.onConfirmed(ObjectKind.ENDPOINTS, 9, at(20), at(3100), era = 2)
                freshness[ObjectKind.ENDPOINTS].ageMillis(at(3100)) shouldBe 3080
            }
        }
        describe("a kind that is known in another era of the store") {
            it("is not confirmed by a response with a lower revision, but checked") {
                val freshness = freshness()
                freshness.onPrompt(ObjectKind.CONFIGURATION, 4, at(3000), era = 2)
                freshness[ObjectKind.EVACUATIONS].ageMillis(at(3000)) shouldBe 2990
                freshness.takeDueForCheck(at(3000)) shouldBe
                    listOf(ObjectKind.ENDPOINTS, ObjectKind.EVACUATIONS)
            }
        }
        describe("the last response in an era before") {
            it("is the last one of all kinds, also once the next era is known") {
                val freshness = StoreFreshness(mapOf(ObjectKind.ENDPOINTS to 2000L))
                freshness.lastRespondedBefore(1) shouldBe null
                freshness.onPrompt(ObjectKind.ENDPOINTS, 5, at(100), era = 1)
                freshness.lastRespondedBefore(2) shouldBe at(100)
                freshness.onPrompt(ObjectKind.ENDPOINTS, 3, at(900), era = 2)
                freshness.lastRespondedBefore(2) shouldBe at(100)
            }
        }
        describe("a kind that may have changed since it was confirmed") {
            // Guards against acting on an old list while a watch waits for a response that is lost.
            it("is checked once in half of its limit") {
                val freshness = freshness()
                freshness.onPrompt(ObjectKind.CONFIGURATION, 6, at(900))
                freshness.takeDueForCheck(at(999)).shouldBeEmpty()
                freshness.takeDueForCheck(at(1000)) shouldBe listOf(ObjectKind.ENDPOINTS)
                freshness.takeDueForCheck(at(1999)).shouldBeEmpty()
                freshness.takeDueForCheck(at(2000)) shouldBe listOf(ObjectKind.ENDPOINTS)
                freshness.areAllWithin(1500, at(1600)) shouldBe false
            }
            it("is checked at once when its response proves nothing within its limit") {
                val freshness = freshness()
                freshness.onPrompt(ObjectKind.CONFIGURATION, 9, at(8000))
                freshness.onConfirmed(ObjectKind.ENDPOINTS, 7, at(20), at(8000))
                freshness.takeDueForCheck(at(8000)) shouldBe
                    listOf(ObjectKind.ENDPOINTS, ObjectKind.EVACUATIONS)
            }
            it("is not checked while its waits end in time, though each proves only its start") {
                val freshness = freshness()
                freshness.onConfirmed(ObjectKind.ENDPOINTS, 7, at(10), at(900))
                freshness.onPrompt(ObjectKind.CONFIGURATION, 9, at(1500))
                freshness.takeDueForCheck(at(1800)).shouldBeEmpty()
            }
            it("is not checked while the store does not respond") {
                freshness().takeDueForCheck(at(9000)) shouldBe listOf(ObjectKind.ENDPOINTS)
                val silent = freshness()
                silent.onPrompt(ObjectKind.ENDPOINTS, 7, at(10))
                silent.takeDueForCheck(at(9000)).shouldBeEmpty()
            }
        }
        describe("a store") {
            it("is changing while its revision has risen lately, and not after it returned") {
                val freshness = freshness()
                freshness.isChanging(at(5009), 5000) shouldBe true
                freshness.isChanging(at(5010), 5000) shouldBe false
                freshness.onPrompt(ObjectKind.CONFIGURATION, 3, at(6000), era = 2)
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
