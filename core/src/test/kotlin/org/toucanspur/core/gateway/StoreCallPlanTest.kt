package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.longs.shouldBeLessThan
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
            val waitMillis = plan.waitMillis(ObjectKind.EVACUATIONS, 13, true, 0)
            waitMillis shouldBe 1300
            // The call before proves its start only; a silent one ends 800 ms late.
            (2 * checkNotNull(waitMillis) + 800) shouldBeLessThan EVACUATION_LIMIT_MILLIS
        }
        it("ends a call for the weight versions likewise, with any number of entries") {
            listOf(1, 13).forEach { entries ->
                plan.waitMillis(ObjectKind.WEIGHT_VERSIONS, entries, true, 0) shouldBe 1300
                plan.waitMillis(ObjectKind.WEIGHT_VERSIONS, entries, false, 0) shouldBe null
            }
        }
        // Guards against an age of the configuration beyond its limit between two responses.
        it("waits for the configuration so that two calls end within its limit") {
            fun waitMillis(limitMillis: Long) =
                StoreCallPlan(DRAIN_MILLIS, EVACUATION_LIMIT_MILLIS, 3700, limitMillis)
                    .configurationWaitMillis
            waitMillis(2000) shouldBe 800
            waitMillis(700) shouldBe 280
            waitMillis(9000) shouldBe 1000
        }
        it("does not limit a wait while the store does not change, or with short bounds") {
            plan.waitMillis(ObjectKind.ENDPOINTS, 13, false, 0) shouldBe null
            plan.waitMillis(ObjectKind.CONFIGURATION, 13, true, 0) shouldBe null
            StoreCallPlan(300, 1000).waitMillis(ObjectKind.EVACUATIONS, 13, true, 0) shouldBe null
        }
    })
