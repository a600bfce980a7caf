package org.toucanspur.bench.soak

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

private val limits = SettleLimits(settleMillis = 4000, graceMillis = 8000)

private fun fault(kind: FaultKind, target: Int = 0) =
    SoakFault(kind, atMillis = 10_000, lastsMillis = 1000, target, LinkMode.SILENT)

class SoakDisturbancesTest :
    DescribeSpec({
        fun isUndisturbed(fault: SoakFault, fromMillis: Long, entry: Int = 0, endpoint: Int = 0) =
            SoakDisturbances(listOf(fault), limits).isUndisturbed(
                entry,
                endpoint,
                fromMillis,
                fromMillis + 2000
            )

        describe("an entry") {
            it("is exempt from bounds until it has settled after a fault") {
                val pause = fault(FaultKind.PAUSE)
                isUndisturbed(pause, 7999) shouldBe true
                isUndisturbed(pause, 8000) shouldBe false
                isUndisturbed(pause, 13_000) shouldBe false
                isUndisturbed(pause, 13_001) shouldBe true
            }
            it("is exempt from bounds that started before the store and its links had settled") {
                val outage = fault(FaultKind.STORE_DOWN)
                isUndisturbed(outage, 7999) shouldBe true
                isUndisturbed(outage, 8000) shouldBe false
                isUndisturbed(outage, 15_000) shouldBe false
                isUndisturbed(outage, 15_001) shouldBe true
                isUndisturbed(fault(FaultKind.STORE_LINK), 15_000) shouldBe false
            }
            it("must keep a bound during which it was paused once it has settled") {
                SoakDisturbances(listOf(fault(FaultKind.PAUSE)), limits)
                    .isUndisturbed(0, 0, fromMillis = 9000, toMillis = 17_001) shouldBe true
            }
            it("is exempt for the grace period as well when it is terminated") {
                isUndisturbed(fault(FaultKind.TERMINATE), 21_000) shouldBe false
                isUndisturbed(fault(FaultKind.TERMINATE), 21_001) shouldBe true
            }
            it("is not exempt because of faults that do not affect it") {
                isUndisturbed(fault(FaultKind.KILL, target = 1), 11_000) shouldBe true
                isUndisturbed(fault(FaultKind.ENDPOINT_LINK, target = 1), 11_000) shouldBe true
                isUndisturbed(fault(FaultKind.ENDPOINT_LINK), 11_000) shouldBe false
                isUndisturbed(fault(FaultKind.CRASH), 11_000) shouldBe true
                isUndisturbed(fault(FaultKind.VERSION_NAMED), 11_000) shouldBe true
            }
        }
        describe("a missing or incomplete response") {
            fun excuses(
                fault: SoakFault,
                isBegun: Boolean,
                toMillis: Long,
                fromMillis: Long = 9000
            ) = SoakDisturbances(listOf(fault), limits).excuses(
                IncompleteResponse(0, setOf(1), isBegun, fromMillis, toMillis)
            )
            it("is excused by a pause or kill of its entry until the entry has settled") {
                listOf(FaultKind.PAUSE, FaultKind.KILL).forEach { kind ->
                    excuses(fault(kind), false, toMillis = 9999) shouldBe false
                    excuses(fault(kind), false, toMillis = 10_000) shouldBe true
                    excuses(fault(kind), false, 16_000, fromMillis = 15_000) shouldBe true
                    excuses(fault(kind), false, 16_000, fromMillis = 15_001) shouldBe false
                    excuses(fault(kind, target = 1), true, toMillis = 10_000) shouldBe false
                }
            }
            it("is excused by a fault of its endpoint only once it has begun") {
                listOf(FaultKind.CRASH, FaultKind.DRAIN, FaultKind.ENDPOINT_LINK).forEach { kind ->
                    excuses(fault(kind, target = 1), true, toMillis = 10_000) shouldBe true
                    excuses(fault(kind, target = 1), false, toMillis = 10_000) shouldBe false
                    excuses(fault(kind, target = 0), true, toMillis = 10_000) shouldBe false
                }
            }
            it("is excused by SIGTERM only in the last sixth of the grace period") {
                val stop = fault(FaultKind.TERMINATE)
                excuses(stop, true, toMillis = 16_666) shouldBe false
                excuses(stop, true, toMillis = 16_667) shouldBe true
                excuses(stop, false, toMillis = 16_667) shouldBe false
            }
            it("is not excused by other signals, the store or changes of the configuration") {
                val others = FaultKind.entries - listOf(
                    FaultKind.PAUSE,
                    FaultKind.KILL,
                    FaultKind.TERMINATE,
                    FaultKind.CRASH,
                    FaultKind.DRAIN,
                    FaultKind.ENDPOINT_LINK
                )
                others.none { kind ->
                    (0..1).any { excuses(fault(kind, it), true, toMillis = 10_000) }
                } shouldBe true
            }
        }
        describe("fifty entry-sparing seeds") {
            it("leave entries undisturbed for many drain and weight version bounds") {
                fun undisturbedSpans(kind: FaultKind, boundMillis: Long) = (1L..50L).sumOf { seed ->
                    val targets = SoakTargets(entries = 2, agents = 3, endpoints = 5)
                    val plan = soakPlan(ENTRY_SPARING_SEEDS_FROM + seed, 20_000, targets)
                    val disturbances = SoakDisturbances(plan, limits)
                    plan.filter { it.kind == kind }.sumOf { event ->
                        (0..1).count {
                            disturbances.isUndisturbed(
                                it,
                                0,
                                event.atMillis,
                                event.atMillis + boundMillis
                            )
                        }
                    }
                }
                undisturbedSpans(FaultKind.DRAIN, 3000) shouldBeGreaterThan 100
                undisturbedSpans(FaultKind.VERSION_NAMED, 8000) shouldBeGreaterThan 100
            }
        }
    })
