package org.toucanspur.bench.soak

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe

private val targets = SoakTargets(entries = 2, agents = 3, endpoints = 5)

class SoakPlanTest :
    DescribeSpec({
        describe("the fault plan of a seed") {
            it("is deterministic") {
                soakPlan(7, 20_000, targets) shouldBe soakPlan(7, 20_000, targets)
                soakPlan(7, 20_000, targets) shouldNotBe soakPlan(8, 20_000, targets)
            }
            it("has only existing targets and starts within the traffic period") {
                val faults = (1L..50L).flatMap { soakPlan(it, 20_000, targets) }
                faults.all { it.atMillis < 20_000 } shouldBe true
                faults.all {
                    val targets = when (it.kind.target) {
                        TargetKind.PROCESS -> 5
                        TargetKind.ENDPOINT -> 5
                        TargetKind.SHARED -> 1
                    }
                    it.target < targets
                } shouldBe true
            }
            it("spares entries, store and links for entry-sparing seeds") {
                val faults = (1L..50L).flatMap { seed ->
                    soakPlan(ENTRY_SPARING_SEEDS_FROM + seed, 20_000, targets)
                }
                faults.filter { it.kind.target == TargetKind.PROCESS }.map { it.target }.toSet()
                    .shouldBe(setOf(2, 3, 4))
                faults.none { it.kind == FaultKind.STORE_DOWN } shouldBe true
                faults.none { it.kind == FaultKind.ENDPOINT_LINK } shouldBe true
            }
            it(
                "covers all kinds and link modes, overlaps, and hits several targets in fifty seeds"
            ) {
                val plans = (1L..50L).map { soakPlan(it, 20_000, targets) }
                plans.flatten().map { it.kind }.toSet() shouldContainAll FaultKind.entries
                plans.flatten().map { it.mode }.toSet() shouldContainAll
                    LinkMode.entries - LinkMode.NORMAL
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
