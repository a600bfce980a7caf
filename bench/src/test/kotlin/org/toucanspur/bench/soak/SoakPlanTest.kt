package org.toucanspur.bench.soak

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe

private val targets = SoakTargets(entries = 2, agents = 3, endpoints = 5)

class SoakPlanTest :
    DescribeSpec({
        describe("the fault plan of a seed of planned work") {
            val plans = (1L..50L).map {
                soakPlan(PLANNED_WORK_SEEDS_FROM + it, 20_000, targets)
            }
            val faults = plans.flatten()
            it("covers the changes of the configuration, signals and silent endpoints") {
                faults.map { it.kind }.toSet() shouldContainAll configurationKinds +
                    listOf(
                        FaultKind.KEY_REVOKED,
                        FaultKind.RELOAD,
                        FaultKind.TERMINATE,
                        FaultKind.SILENCE,
                        FaultKind.PAUSE
                    )
            }
            it("has only existing targets and starts within the traffic period") {
                faults.all { it.atMillis < 20_000 } shouldBe true
                faults.all {
                    val targets = when (it.kind) {
                        FaultKind.IDLE_TIMEOUT -> idleTimeoutsMillis.size
                        FaultKind.HEADER_TIMEOUT -> headerTimeoutsMillis.size
                        FaultKind.ROUTE_TIMEOUT -> routeTimeoutsMillis.size
                        else -> when (it.kind.target) {
                            TargetKind.PROCESS -> 2
                            TargetKind.ENDPOINT -> 5
                            TargetKind.SHARED -> 1
                        }
                    }
                    it.target in 0 until targets
                } shouldBe true
            }
            it("leaves most requests beside planned work without other faults") {
                val unplanned = faults.count {
                    it.kind == FaultKind.PAUSE || it.kind == FaultKind.CRASH
                }
                unplanned shouldBeLessThan 50
            }
            it("has storms of changes and changes beside signals of the same entry") {
                plans.count { plan ->
                    plan.windowed(8).any { storm ->
                        storm.map { it.kind }.toSet().size == 1 &&
                            storm.last().atMillis - storm.first().atMillis < 600
                    }
                } shouldBeGreaterThan 20
                plans.count { plan ->
                    plan.zipWithNext().any { (a, b) ->
                        a.kind in configurationKinds &&
                            b.kind == FaultKind.TERMINATE &&
                            b.atMillis - a.atMillis < 400
                    }
                } shouldBeGreaterThan 20
            }
        }
        describe("the fault plan of a seed") {
            it("is deterministic") {
                soakPlan(7, 20_000, targets) shouldBe soakPlan(7, 20_000, targets)
                soakPlan(7, 20_000, targets) shouldNotBe soakPlan(8, 20_000, targets)
            }
            it("stays the same for a seed of a regression test") {
                val faults = soakPlan(101, 8000, targets).distinctBy { it.kind to it.atMillis }
                faults.map { "${it.kind} ${it.atMillis}+${it.lastsMillis}" } shouldBe listOf(
                    "PAUSE 1146+1741",
                    "TERMINATE 1531+1905",
                    "STORE_LINK 2676+1383",
                    "RELOAD 4576+607",
                    "ORIGIN_DOWN 5054+2651",
                    "STORE_COMPACTED 5493+655",
                    "STAGED_PIECE_SPOILT 6208+924",
                    "CRASH 6262+1446",
                    "DRAIN 7179+4430"
                )
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
                plans.flatten().map { it.kind }.toSet() shouldContainAll
                    FaultKind.entries - configurationKinds - FaultKind.SILENCE
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
