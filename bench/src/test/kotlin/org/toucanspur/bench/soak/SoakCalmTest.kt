package org.toucanspur.bench.soak

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

private val limits = CalmLimits(settleMillis = 4000, graceMillis = 8000)

private fun fault(kind: FaultKind, target: Int = 0) =
    SoakFault(kind, atMillis = 10_000, lastsMillis = 1000, target, LinkMode.SILENT)

class SoakCalmTest :
    DescribeSpec({
        fun isCalm(fault: SoakFault, fromMillis: Long, entry: Int = 0, place: Int = 0) =
            SoakCalm(listOf(fault), limits).isCalm(entry, place, fromMillis, fromMillis + 2000)

        describe("an entry") {
            it("is excused from a fault until it has settled") {
                val pause = fault(FaultKind.PAUSE)
                isCalm(pause, 7999) shouldBe true
                isCalm(pause, 8000) shouldBe false
                isCalm(pause, 15_000) shouldBe false
                isCalm(pause, 15_001) shouldBe true
            }
            it("is excused longer when it is ended, which may take its grace") {
                isCalm(fault(FaultKind.TERMINATE), 23_000) shouldBe false
                isCalm(fault(FaultKind.TERMINATE), 23_001) shouldBe true
            }
            it("is not excused by what hits others") {
                isCalm(fault(FaultKind.KILL, target = 1), 11_000) shouldBe true
                isCalm(fault(FaultKind.ENDPOINT_LINK, target = 1), 11_000) shouldBe true
                isCalm(fault(FaultKind.ENDPOINT_LINK), 11_000) shouldBe false
                isCalm(fault(FaultKind.CRASH), 11_000) shouldBe true
                isCalm(fault(FaultKind.VERSION_NAMED), 11_000) shouldBe true
            }
        }
        describe("fifty seeds that spare the entries") {
            it("leave entries calm for many bounds on leaving endpoints and old weights") {
                fun calmSpans(kind: FaultKind, boundMillis: Long) = (1L..50L).sumOf { seed ->
                    val targets = SoakTargets(entries = 2, agents = 3, endpoints = 5)
                    val plan = soakPlan(STEADY_SEEDS_FROM + seed, 20_000, targets)
                    val calm = SoakCalm(plan, limits)
                    plan.filter { it.kind == kind }.sumOf { event ->
                        (0..1).count {
                            calm.isCalm(it, 0, event.atMillis, event.atMillis + boundMillis)
                        }
                    }
                }
                calmSpans(FaultKind.DRAIN, 3000) shouldBeGreaterThan 100
                calmSpans(FaultKind.VERSION_NAMED, 8000) shouldBeGreaterThan 100
            }
        }
    })
