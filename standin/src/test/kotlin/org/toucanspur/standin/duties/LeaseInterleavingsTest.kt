package org.toucanspur.standin.duties

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.ints.shouldBeGreaterThan
import org.toucanspur.core.duties.AcquireReason
import org.toucanspur.core.duties.LeaseTerms
import org.toucanspur.core.duties.LossReason

private const val INTERLEAVINGS = 10_000
private const val FAULTY_INTERLEAVINGS = 1000
private const val THAW_SLACK_MILLIS = 300L
private val correctTerms = LeaseTerms(LEASE_MILLIS, THAW_SLACK_MILLIS)

private fun violations(isStrict: Boolean = false, termsOf: TermsOf): List<String> =
    (1L..FAULTY_INTERLEAVINGS).flatMap { seed ->
        val simulation = LeaseSimulation(seed, isStrict, termsOf)
        simulation.run()
        simulation.rules.violations
    }

class LeaseInterleavingsTest :
    DescribeSpec({
        describe("VMs that freeze, restart and lose responses, with a store that is restored") {
            it("never break a rule of order, and change holders") {
                var calls = 0
                var holderChanges = 0
                val acquired = HashSet<AcquireReason>()
                val lost = HashSet<LossReason>()
                val violations = (1L..INTERLEAVINGS).flatMap { seed ->
                    val simulation = LeaseSimulation(seed) { correctTerms }
                    simulation.run()
                    calls += simulation.rules.calls
                    holderChanges += simulation.rules.holderChanges
                    acquired += simulation.acquired.keys
                    lost += simulation.lost.keys
                    simulation.rules.violations.map { "seed $seed: $it" }
                }
                violations.take(10).shouldBeEmpty()
                calls shouldBeGreaterThan INTERLEAVINGS * 10
                holderChanges shouldBeGreaterThan INTERLEAVINGS / 2
                acquired shouldContainAll AcquireReason.entries
                lost shouldContainAll LossReason.entries - LossReason.STOPPING
            }
        }
        describe("the simulation") {
            it("finds the violations of a candidate that waits too short") {
                val terms = TermsOf { if (it == 0) LeaseTerms(1000, 0) else correctTerms }
                violations(termsOf = terms).size shouldBeGreaterThan 0
            }
            it("finds the violations of calls that leave after a freeze, if they counted") {
                violations(isStrict = true) { correctTerms }.size shouldBeGreaterThan 0
            }
        }
    })
