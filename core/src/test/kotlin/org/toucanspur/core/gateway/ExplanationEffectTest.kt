package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.toucanspur.schema.EndpointId

private fun overloaded() = OverloadAdmission().apply {
    val demand = (0..2).map { ServiceDemand(writers, it, 150_000, 15_000, 0) }
    for (now in 0L..5000L step 100) {
        update(ServiceLoad(31, 496, 490, 20, 31_000.0), demand, 0, true, now)
    }
}

private fun suspectsOf(crashes: Int) = CrashSuspects().apply {
    repeat(crashes) {
        val sentMillis = 1000L + 100 * it
        val run = EndpointRun(EndpointId("e$it"), 0)
        onLost(LostAttempt(run, listOf(Fingerprint(1)), sentMillis, sentMillis + 50))
        confirm(sentMillis + 60) { true }
    }
}

class ExplanationEffectTest :
    DescribeSpec({
        // Guards against an explanation that takes the credit of the next request.
        describe("an admission that is not recorded") {
            it("is that of the next request, and changes none") {
                val admission = overloaded()
                val twin = overloaded()
                val decisions = List(100) {
                    val explained =
                        List(3) { admission.admits(2, null, isRepeated = false, false) }
                    val admitted = admission.admits(2, null, isRepeated = false)
                    explained.toSet() shouldBe setOf(admitted)
                    admitted
                }
                decisions shouldBe List(100) { twin.admits(2, null, isRepeated = false) }
                decisions.toSet() shouldBe setOf(true, false)
            }
        }
        // Guards against an explanation that extends a refusal or begins one.
        describe("a refusal that is only asked for") {
            it("is found, and does not last longer") {
                val suspects = suspectsOf(3)
                repeat(4) { suspects.onResponse(writers, 1400) }
                val revision = suspects.revision
                fun wouldRefuse(nowMillis: Long) =
                    suspects.wouldRefuse(writers, listOf(Fingerprint(1)), Fingerprint(2), nowMillis)
                wouldRefuse(1500) shouldBe true
                suspects.revision shouldBe revision
                suspects.refusedCount shouldBe 0
                wouldRefuse(60_000) shouldBe true
                wouldRefuse(62_000) shouldBe false
            }
            it("is found for a request that is held back") {
                suspectsOf(
                    3
                ).wouldRefuse(writers, listOf(Fingerprint(1)), Fingerprint(1), 1500) shouldBe
                    true
                suspectsOf(
                    2
                ).wouldRefuse(writers, listOf(Fingerprint(1)), Fingerprint(1), 1500) shouldBe
                    false
            }
        }
    })
