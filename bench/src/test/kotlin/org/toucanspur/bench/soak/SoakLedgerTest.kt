package org.toucanspur.bench.soak

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

private val limits = PromiseLimits(
    endpointsMax = 2,
    revocationMillis = 5000,
    versionMillis = 8000,
    drainMillis = 3000
)

class SoakLedgerTest :
    DescribeSpec({
        lateinit var ledger: SoakLedger
        beforeTest { ledger = SoakLedger(limits) }

        fun sent(id: String, shape: CallShape = CallShape.REPEATABLE, atMillis: Long = 0) =
            ledger.onSent(SentCall(id, shape, 0, "key", atMillis))

        fun run(
            id: String,
            shape: CallShape = CallShape.REPEATABLE,
            endpoint: Int = 1,
            version: Long = 0,
            atMillis: Long = 0,
            organisation: String? = SoakLedger.ORGANISATION
        ) = ledger.onRun(
            EndpointRun(id, shape, organisation, endpoint, place = 0, version, atMillis)
        )

        fun answered(id: String, end: CallEnd) = ledger.onAnswer(CallerAnswer(id, 503, end, "", 0))

        fun verdict(isCalm: Boolean = true) =
            ledger.verdict { _, _, _, _ -> isCalm }.map { it.promise }

        describe("a request") {
            it("may run on two endpoints when it is repeatable, not on three") {
                sent("a")
                repeat(2) { run("a") }
                verdict().shouldBeEmpty()
                run("a")
                verdict() shouldBe listOf("sent too often")
            }
            it("may run once when it is not repeatable") {
                sent("a", CallShape.ONCE)
                repeat(2) { run("a", CallShape.ONCE) }
                verdict() shouldBe listOf("run twice")
            }
            it("may not have run when it is refused, unless it is repeatable") {
                sent("a", CallShape.ONCE)
                sent("b")
                listOf("a" to CallShape.ONCE, "b" to CallShape.REPEATABLE).forEach { (id, shape) ->
                    run(id, shape)
                    answered(id, CallEnd.NOT_RUN)
                }
                verdict() shouldBe listOf("false refusal")
            }
            it("may not run when nobody sent it, changed, or for another organisation") {
                run("unknown")
                sent("a")
                run("a", CallShape.ONCE)
                sent("b")
                run("b", organisation = "other")
                verdict() shouldBe listOf(
                    "run of a request that nobody sent",
                    "changed request",
                    "wrong organisation"
                )
            }
            it("may not get an answer that no endpoint gave") {
                sent("a")
                answered("a", CallEnd.MIXED)
                verdict() shouldBe listOf("mixed answer")
            }
        }
        describe("the end of a run") {
            it("gives the share served of each kind by itself") {
                sent("a", CallShape.ONCE, 10)
                answered("a", CallEnd.SERVED)
                sent("b", CallShape.STREAM, 10)
                answered("b", CallEnd.NOT_RUN)
                sent("c", CallShape.STREAM, 5)
                answered("c", CallEnd.SERVED)
                ledger.servedShare(CallShape.ONCE, 10) shouldBe 1.0
                ledger.servedShare(CallShape.STREAM, 10) shouldBe 0.0
            }
        }
        describe("a bound") {
            it("on a revoked key holds for processes in trouble too") {
                ledger.onRevoked("key", 1000)
                sent("a", atMillis = 6000)
                sent("b", atMillis = 6001)
                listOf("a", "b").forEach { run(it, atMillis = 9000) }
                verdict(isCalm = false) shouldBe listOf("revoked key")
            }
            it("on a leaving endpoint holds for calm processes") {
                ledger.onDrained(1, place = 0, 1000)
                sent("a")
                run("a", atMillis = 4000)
                verdict().shouldBeEmpty()
                run("a", atMillis = 4001)
                verdict() shouldBe listOf("drain")
                verdict(isCalm = false).shouldBeEmpty()
            }
            it("on old weights counts from the first newer version") {
                ledger.onNamed(2, 1000)
                ledger.onNamed(3, 8000)
                sent("a", CallShape.STREAM)
                run("a", CallShape.STREAM, version = 2, atMillis = 9500)
                verdict().shouldBeEmpty()
                run("a", CallShape.STREAM, version = 1, atMillis = 9500)
                verdict() shouldBe listOf("old weights")
            }
        }
    })
