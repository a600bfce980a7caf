package org.toucanspur.bench.soak

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe

class SoakPlanTest :
    DescribeSpec({
        describe("the faults of a seed") {
            it("are the same each time") {
                soakPlan(7, 20_000, 5, 5) shouldBe soakPlan(7, 20_000, 5, 5)
                soakPlan(7, 20_000, 5, 5) shouldNotBe soakPlan(8, 20_000, 5, 5)
            }
            it("hit only what is there, within the time of traffic") {
                val faults = (1L..50L).flatMap { soakPlan(it, 20_000, 5, 4) }
                faults.all { it.atMillis < 20_000 } shouldBe true
                faults.all {
                    val targets = when (it.kind.target) {
                        TargetKind.PROCESS -> 5
                        TargetKind.ENDPOINT -> 4
                        TargetKind.SHARED -> 1
                    }
                    it.target < targets
                } shouldBe true
            }
            it("cover all kinds and ways to fail, overlap, and come in series over fifty seeds") {
                val plans = (1L..50L).map { soakPlan(it, 20_000, 5, 5) }
                plans.flatten().map { it.kind }.toSet() shouldContainAll FaultKind.entries
                plans.flatten().map { it.mode }.toSet() shouldContainAll
                    LinkMode.entries - LinkMode.SOUND
                plans.count { plan ->
                    plan.zipWithNext().any { (a, b) -> b.atMillis < a.endMillis }
                }
                    .shouldBeGreaterThan(45)
                plans.count { plan ->
                    plan.zipWithNext().any { (a, b) -> a.atMillis == b.atMillis }
                }
                    .shouldBeGreaterThan(20)
            }
        }
    })
