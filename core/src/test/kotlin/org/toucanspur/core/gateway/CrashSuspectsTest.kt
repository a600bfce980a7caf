package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.VmId

private const val HEARTBEAT_MILLIS = 1200L

private val popular = partFingerprint(writers, "popular")
private val deadly = partFingerprint(writers, "deadly")
private val other = partFingerprint(writers, "other")

private fun attempt(
    endpoint: Int,
    sentMillis: Long,
    lostMillis: Long = sentMillis + 50,
    fingerprints: List<Fingerprint> = listOf(popular, deadly)
) = LostAttempt(
    EndpointRun(EndpointId("e$endpoint"), 0),
    fingerprints,
    sentMillis,
    lostMillis
)

private fun CrashSuspects.crash(lost: LostAttempt) {
    onLost(lost)
    confirm(lost.lostMillis + 100) { true }
}

private fun CrashSuspects.serve(nowMillis: Long, fingerprint: Fingerprint = popular) =
    repeat(8) { onComplete(writers, listOf(fingerprint), nowMillis) }

private fun CrashSuspects.refuses(fingerprint: Fingerprint, nowMillis: Long) =
    isRefused(writers, listOf(fingerprint), nowMillis)

/** A table that refuses [deadly] since 1350 ms. */
private fun refusing(limits: CrashSuspectLimits = CrashSuspectLimits()) =
    CrashSuspects(limits).apply {
        repeat(3) { crash(attempt(it, sentMillis = 1000L + 100 * it)) }
        serve(1350)
        isRefused(writers, listOf(deadly), 1350) shouldBe true
    }

class CrashSuspectsTest :
    DescribeSpec({
        describe("a part with which endpoints crash one after the other") {
            it("is refused from the third crash on, and the other parts of its requests are not") {
                val suspects = CrashSuspects()
                repeat(2) { suspects.crash(attempt(it, sentMillis = 1000L + 100 * it)) }
                suspects.serve(1300)
                suspects.refuses(deadly, 1300) shouldBe false
                suspects.crash(attempt(2, sentMillis = 1300))
                suspects.serve(1400)
                suspects.refuses(deadly, 1400) shouldBe true
                suspects.refuses(popular, 1400) shouldBe false
            }
            it("is counted when a retry is sent in the millisecond of the crash") {
                val suspects = CrashSuspects()
                repeat(3) { suspects.crash(attempt(it, 1000L + 50 * it, 1050L + 50 * it)) }
                suspects.serve(1300)
                suspects.refuses(deadly, 1300) shouldBe true
            }
            it("is refused after many crashes at the same time") {
                val suspects = CrashSuspects()
                repeat(20) {
                    suspects.crash(attempt(it, sentMillis = 900, lostMillis = 1000L + it))
                }
                repeat(3) { suspects.crash(attempt(20 + it, sentMillis = 1100L + 100 * it)) }
                suspects.serve(1500)
                suspects.refuses(deadly, 1500) shouldBe true
            }
            it("is refused as long as requests with it arrive, and some time after the last") {
                val suspects = refusing(CrashSuspectLimits(refusalMillis = 10_000))
                repeat(20) { suspects.refuses(deadly, 2000L + 9000 * it) shouldBe true }
                suspects.refuses(deadly, 2000L + 9000 * 19 + 10_001) shouldBe false
            }
            it("is accepted again once a response with it has progressed") {
                val suspects = refusing()
                suspects.onComplete(writers, listOf(deadly), 1500)
                suspects.refuses(deadly, 1500) shouldBe false
            }
        }
        describe("a popular part") {
            it("is not refused when the endpoints of an availability zone crash together") {
                val suspects = CrashSuspects()
                repeat(6) { suspects.crash(attempt(it, 1000L + it, 1100L + it)) }
                suspects.serve(1300, other)
                suspects.refuses(popular, 1300) shouldBe false
            }
            it("is not refused when endpoints crash in turn and it is served between") {
                val suspects = CrashSuspects()
                repeat(20) {
                    suspects.crash(attempt(it, 1000L + 200 * it))
                    suspects.serve(1160L + 200 * it)
                    suspects.refuses(popular, 1160L + 200 * it) shouldBe false
                }
            }
            it("is not refused while no request of the service is served") {
                val suspects = CrashSuspects()
                repeat(20) { suspects.crash(attempt(it, 1000L + 200 * it)) }
                suspects.refuses(popular, 6000) shouldBe false
                suspects.refuses(deadly, 6000) shouldBe false
            }
            it("is not refused by a loss that was confirmed after it progressed") {
                val suspects = CrashSuspects()
                repeat(5) {
                    suspects.onLost(attempt(it, 1000L + 200 * it))
                    suspects.serve(1060L + 200 * it)
                    suspects.confirm(1150L + 200 * it) { true }
                }
                suspects.refuses(popular, 2100) shouldBe false
            }
        }
        describe("a lost attempt") {
            it("does not count unless its endpoint goes down within the confirmation time") {
                val suspects = CrashSuspects(CrashSuspectLimits(confirmationMillis = 3000))
                repeat(5) { suspects.onLost(attempt(it, 1000L + 200 * it)) }
                suspects.confirm(1900) { false }.shouldBeEmpty()
                suspects.confirm(6000) { true }.shouldBeEmpty()
                suspects.isConfirming shouldBe false
                suspects.size shouldBe 0
            }
            it("counts once for each run of an endpoint") {
                val suspects = CrashSuspects()
                repeat(5) { suspects.crash(attempt(endpoint = 1, 1000L + 200 * it)) }
                suspects.serve(2500)
                suspects.refuses(deadly, 2500) shouldBe false
            }
            it("is forgotten when the crashes are far apart") {
                val suspects = CrashSuspects()
                repeat(5) {
                    suspects.crash(attempt(it, 1000L + 40_000 * it))
                    suspects.serve(1200L + 40_000 * it)
                    suspects.refuses(deadly, 1200L + 40_000 * it) shouldBe false
                }
            }
        }
        describe("a request that crashes endpoints as a whole") {
            val ledger = ServiceId("ledger")
            fun fingerprintOf(
                body: String,
                path: String = "/credit",
                organisation: OrganisationId? = OrganisationId("o")
            ) = requestFingerprint(ledger, organisation, "POST", path, body.encodeToByteArray())
            it("is refused at a service without agents when its endpoints are no longer listed") {
                val suspects = CrashSuspects()
                val fleet = Fleet()
                repeat(5) { fleet.put(record("e$it", service = ledger), 0) }
                repeat(3) {
                    val sent = 1000L + 100 * it
                    suspects.onLost(
                        attempt(it, sent, fingerprints = listOf(fingerprintOf("same")))
                    )
                    suspects.confirm(sent + 60, fleet::hasCrashed).shouldBeEmpty()
                    fleet.remove(EndpointId("e$it"), sent + 70)
                    suspects.confirm(sent + 80, fleet::hasCrashed).size shouldBe 1
                }
                repeat(8) {
                    suspects.onComplete(ledger, listOf(fingerprintOf("other $it")), 1300)
                }
                suspects.isRefused(ledger, listOf(fingerprintOf("same")), 1300) shouldBe true
                suspects.isRefused(ledger, listOf(fingerprintOf("next")), 1300) shouldBe false
            }
            it("is refused at a service without agents when records expire late") {
                val suspects = CrashSuspects()
                val fleet = Fleet()
                val own = listOf(fingerprintOf("same"))
                repeat(5) { fleet.put(record("e$it", service = ledger), 0) }
                repeat(3) {
                    val sent = 1000L + 5000 * it
                    suspects.onLost(attempt(it, sent, fingerprints = own))
                    repeat(180) { tick -> suspects.confirm(sent + 20 * tick, fleet::hasCrashed) }
                    fleet.remove(EndpointId("e$it"), sent + HEARTBEAT_MILLIS * 3 + 100)
                    suspects.confirm(sent + HEARTBEAT_MILLIS * 3 + 120, fleet::hasCrashed)
                    repeat(4) { suspects.onComplete(ledger, emptyList(), sent + 4500) }
                }
                suspects.isRefused(ledger, own, 16_000) shouldBe true
            }
            it("waits while the service has responded to nothing else, and is tried again later") {
                val suspects = CrashSuspects(CrashSuspectLimits(holdMillis = 6000))
                val own = fingerprintOf("same")
                repeat(3) { suspects.crash(attempt(it, 1000, 1100L + it, listOf(own))) }
                suspects.isRefused(ledger, listOf(own), 2000) shouldBe false
                suspects.isHeldBack(own, 2000) shouldBe true
                suspects.isHeldBack(fingerprintOf("other"), 2000) shouldBe false
                suspects.isHeldBack(own, 7200) shouldBe false
                suspects.onSend(own, 7200)
                suspects.isHeldBack(own, 7201) shouldBe true
                suspects.onComplete(ledger, listOf(own), 7300)
                suspects.isHeldBack(own, 7301) shouldBe false
            }
            it("is refused when only all entries together have seen other responses") {
                val suspects = CrashSuspects()
                val own = fingerprintOf("same")
                repeat(3) {
                    suspects.crash(attempt(it, 1000L + 100 * it, fingerprints = listOf(own)))
                }
                repeat(2) { entry ->
                    val other = CrashSuspects()
                    repeat(2) { other.onResponse(ledger, 1400) }
                    repeat(3) {
                        suspects.mergeResponses(VmId("vm$entry"), other.responses(1500), 1500)
                    }
                    suspects.isRefused(ledger, listOf(own), 1600) shouldBe (entry == 1)
                }
            }
            it("has another fingerprint with another body, path or organisation") {
                val own = fingerprintOf("a")
                fingerprintOf("a") shouldBe own
                fingerprintOf("b") shouldNotBe own
                fingerprintOf("a", path = "/credit2") shouldNotBe own
                fingerprintOf("a", organisation = null) shouldNotBe own
            }
        }
        describe("an endpoint") {
            it("has crashed if it refuses connections and has not responded since") {
                val fleet = Fleet()
                fleet.put(record("e1"), 0)
                val known = checkNotNull(fleet.find(EndpointId("e1")))
                val lost = attempt(1, sentMillis = 1000)
                known.onConnectionRefused(1000)
                fleet.hasCrashed(lost) shouldBe false
                known.onConnectionRefused(1300)
                fleet.hasCrashed(lost) shouldBe true
                known.onSignal(EndpointSignal.OVERLOADED, 1310)
                fleet.hasCrashed(lost) shouldBe false
            }
            it("has crashed if its agent found it unresponsive or it runs again since") {
                val fleet = Fleet()
                fleet.put(record("e1"), 0)
                val lost = attempt(1, sentMillis = 1000)
                fleet.hasCrashed(lost) shouldBe false
                fleet.find(EndpointId("e1"))
                    ?.onReport(report(0).copy(isResponding = false), 1200)
                fleet.hasCrashed(lost) shouldBe true
                fleet.hasCrashed(attempt(1, sentMillis = 5000)) shouldBe false
                fleet.put(record("e1").copy(startedAtMillis = 7), 5000)
                fleet.hasCrashed(attempt(1, sentMillis = 5000)) shouldBe true
            }
        }
        describe("evidence of another entry") {
            it("adds up with own evidence") {
                val first = CrashSuspects()
                val second = CrashSuspects()
                first.crash(attempt(0, 1000))
                second.crash(attempt(1, 1100))
                first.crash(attempt(2, 1200))
                second.merge(first.evidence(1400), 1400)
                second.serve(1500)
                second.refuses(deadly, 1500) shouldBe true
            }
            it("does not count twice when it is repeated") {
                val first = CrashSuspects()
                val second = CrashSuspects()
                first.crash(attempt(0, 1000))
                repeat(10) {
                    second.merge(first.evidence(1400L + 100 * it), 1405L + 100 * it)
                    first.merge(second.evidence(1450L + 100 * it), 1455L + 100 * it)
                }
                second.serve(2500)
                second.refuses(deadly, 2500) shouldBe false
            }
            it("makes an entry that starts refuse at once") {
                val started = CrashSuspects()
                started.merge(refusing().evidence(9000), 9005)
                started.refuses(deadly, 9010) shouldBe true
            }
            it("clears a part that progressed at the other entry") {
                val first = refusing()
                val second = CrashSuspects()
                second.merge(first.evidence(2000), 2000)
                second.onComplete(writers, listOf(deadly), 2100)
                first.merge(second.evidence(2200), 2200)
                first.refuses(deadly, 2200) shouldBe false
            }
            it("is answered with the progress of a part that this entry has seen served since") {
                val first = CrashSuspects()
                val second = CrashSuspects()
                first.crash(attempt(0, 1000))
                second.onComplete(writers, listOf(deadly, popular), 1200)
                second.merge(first.evidence(1300), 1300)
                first.merge(second.evidence(1400), 1400)
                first.size shouldBe 0
            }
        }
        describe("memory") {
            it("is bounded for fingerprints, lost attempts and evidence") {
                val limits = CrashSuspectLimits(suspectsMax = 50, lostAttemptsMax = 20)
                val suspects = CrashSuspects(limits)
                repeat(500) {
                    val part = partFingerprint(writers, "p$it")
                    suspects.onLost(attempt(it, 1000L + it, fingerprints = listOf(part)))
                }
                suspects.confirm(1600) { true }.size shouldBeLessThanOrEqual 20
                repeat(500) {
                    val part = partFingerprint(writers, "p$it")
                    suspects.crash(attempt(it, 2000L + it, fingerprints = listOf(part)))
                }
                suspects.size shouldBeLessThanOrEqual 50
                suspects.evidence(2600).size shouldBeLessThanOrEqual 24
            }
        }
    })
