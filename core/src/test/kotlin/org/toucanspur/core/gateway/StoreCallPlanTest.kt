package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import org.toucanspur.core.platform.ObjectKind

private const val DRAIN_MILLIS = 2000L
private const val EVACUATION_LIMIT_MILLIS = 3700L
private val plan = StoreCallPlan(DRAIN_MILLIS, EVACUATION_LIMIT_MILLIS)

class StoreCallPlanTest :
    DescribeSpec({
        // Guards against slower changes in deployments whose calls cost little.
        it("calls for up to five entries as often as before") {
            (1..5).forEach { entries ->
                plan.pauseMillis(entries, isJoinUrgent = false) shouldBe 250
                plan.waitMillis(ObjectKind.ENDPOINTS, entries, true, 0) shouldBe null
                plan.waitMillis(ObjectKind.EVACUATIONS, entries, true, 0) shouldBe null
            }
        }
        // Guards against calls that grow with the number of entries.
        it("pauses longer with more entries, up to the part of the bound on draining endpoints") {
            plan.pauseMillis(6, isJoinUrgent = false) shouldBe 300
            plan.pauseMillis(13, isJoinUrgent = false) shouldBe 650
            plan.pauseMillis(370, isJoinUrgent = false) shouldBe 700
            StoreCallPlan(500, 500).pauseMillis(370, isJoinUrgent = false) shouldBe 250
        }
        it("pauses for half a second while requests wait for endpoints that serve at once") {
            plan.pauseMillis(13, isJoinUrgent = true) shouldBe 500
            plan.pauseMillis(6, isJoinUrgent = true) shouldBe 300
        }
        // Guards against a check in addition to each wait, and against a list that is older than
        // half of its bound while the next response is due.
        it("ends a call for the endpoints before half of the bound has passed") {
            listOf(0L, 5L, 250L, 500L, 700L).forEach { age ->
                val wait = checkNotNull(plan.waitMillis(ObjectKind.ENDPOINTS, 13, true, age))
                (age + wait) shouldBeInRange 900L..DRAIN_MILLIS / 2
            }
        }
        it("ends a call for the evacuations so that a silent one is repeated within its limit") {
            plan.waitMillis(ObjectKind.EVACUATIONS, 13, true, 0) shouldBe 2600
        }
        it("does not limit a wait while the store does not change, or with short bounds") {
            plan.waitMillis(ObjectKind.ENDPOINTS, 13, false, 0) shouldBe null
            plan.waitMillis(ObjectKind.CONFIGURATION, 13, true, 0) shouldBe null
            StoreCallPlan(300, 1000).waitMillis(ObjectKind.EVACUATIONS, 13, true, 0) shouldBe null
        }
    })
