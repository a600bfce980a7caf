package org.toucanspur.bench.soak

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

private val limits = GuaranteeLimits(
    endpointsMax = 2,
    revocationMillis = 5000,
    versionMillis = 8000,
    drainMillis = 3000
)

class SoakObservationsTest :
    DescribeSpec({
        lateinit var observations: SoakObservations
        beforeTest { observations = SoakObservations(limits) }

        fun sent(id: String, kind: CallKind = CallKind.IDEMPOTENT, atMillis: Long = 0) =
            observations.onSent(SentCall(id, kind, 0, "key", atMillis))

        fun run(
            id: String,
            kind: CallKind = CallKind.IDEMPOTENT,
            instance: Int = 1,
            version: Long = 0,
            atMillis: Long = 0,
            organisation: String? = SoakObservations.ORGANISATION
        ) = observations.onRun(
            EndpointRun(id, kind, organisation, instance, endpointIndex = 0, version, atMillis)
        )

        fun answered(id: String, outcome: CallOutcome) =
            observations.onResponse(CallerResponse(id, 503, outcome, "", 0))

        fun verdict(isUndisturbed: Boolean = true) =
            observations.verdict { _, _, _, _ -> isUndisturbed }.map { it.guarantee }

        describe("a request") {
            it("may run on up to two endpoints when it is idempotent") {
                sent("a")
                repeat(2) { run("a") }
                verdict().shouldBeEmpty()
                run("a")
                verdict() shouldBe listOf("too many runs")
            }
            it("may run only once when it is not idempotent") {
                sent("a", CallKind.AT_MOST_ONCE)
                repeat(2) { run("a", CallKind.AT_MOST_ONCE) }
                verdict() shouldBe listOf("run twice")
            }
            it("must not be executed when reported as not executed, unless it is idempotent") {
                sent("a", CallKind.AT_MOST_ONCE)
                sent("b")
                listOf(
                    "a" to CallKind.AT_MOST_ONCE,
                    "b" to CallKind.IDEMPOTENT
                ).forEach { (id, kind) ->
                    run(id, kind)
                    answered(id, CallOutcome.NOT_RUN)
                }
                verdict() shouldBe listOf("false refusal")
            }
            it("must not be executed when it is unknown, modified or of another organisation") {
                run("unknown")
                sent("a")
                run("a", CallKind.AT_MOST_ONCE)
                sent("b")
                run("b", organisation = "other")
                verdict() shouldBe listOf(
                    "run of an unknown request",
                    "modified request",
                    "wrong organisation"
                )
            }
            it("must not receive a response that no endpoint sent") {
                sent("a")
                answered("a", CallOutcome.MIXED)
                verdict() shouldBe listOf("mixed response")
            }
        }
        describe("a request that was sent completely") {
            fun ended(id: String, end: CallEnd, afterMillis: Long, status: Int = 0) {
                val outcome = CallOutcome.BROKEN_OFF
                observations.onResponse(
                    CallerResponse(id, status, outcome, "", afterMillis, end, sentMillis = 0)
                )
            }
            it("must not end without a response once an endpoint has run it") {
                sent("a")
                run("a")
                ended("a", CallEnd.UNANSWERED, afterMillis = 10)
                verdict() shouldBe listOf("request without a response")
                observations.crossedCount() shouldBe 0
            }
            it("may cross the close of its connection when no endpoint has run it") {
                sent("a")
                ended("a", CallEnd.UNANSWERED, afterMillis = 200)
                verdict().shouldBeEmpty()
                observations.crossedCount() shouldBe 1
            }
            it("must not end without a response later than a request crosses a close") {
                sent("a")
                ended("a", CallEnd.UNANSWERED, afterMillis = 201)
                verdict() shouldBe listOf("request without a response")
            }
            it("must not end inside its response") {
                sent("a")
                run("a")
                ended("a", CallEnd.CUT, afterMillis = 10, status = 200)
                verdict() shouldBe listOf("request without a response")
            }
            it("must not stay without a response until its caller gives up") {
                sent("a")
                ended("a", CallEnd.GIVEN_UP, afterMillis = 8000)
                verdict() shouldBe listOf("request without a response")
            }
            it("may end inside its response when its endpoint loads weights meanwhile") {
                sent("a", CallKind.STREAM)
                run("a", CallKind.STREAM)
                ended("a", CallEnd.CUT, afterMillis = 10, status = 200)
                observations.onLoad(0, 11)
                verdict() shouldBe listOf("request without a response")
                observations.onLoad(0, 10)
                verdict().shouldBeEmpty()
            }
            it("may end without a response because of a fault that excuses it") {
                sent("a")
                run("a")
                ended("a", CallEnd.UNANSWERED, afterMillis = 10)
                observations.verdict({ _, _, runs -> runs.size == 1 }) { _, _, _, _ -> true }
                    .shouldBeEmpty()
            }
        }
        describe("a request that was not sent completely") {
            it("may end without a response") {
                sent("a")
                observations.onResponse(
                    CallerResponse("a", 0, CallOutcome.BROKEN_OFF, "", 900, CallEnd.NOT_SENT, 0)
                )
                verdict().shouldBeEmpty()
            }
        }
        describe("the end of a run") {
            it("reports the served share of each kind separately") {
                sent("a", CallKind.AT_MOST_ONCE, 10)
                answered("a", CallOutcome.SERVED)
                sent("b", CallKind.STREAM, 10)
                answered("b", CallOutcome.NOT_RUN)
                sent("c", CallKind.STREAM, 5)
                answered("c", CallOutcome.SERVED)
                observations.servedShare(CallKind.AT_MOST_ONCE, 10) shouldBe 1.0
                observations.servedShare(CallKind.STREAM, 10) shouldBe 0.0
            }
        }
        describe("a bound") {
            it("on a revoked key applies to disturbed processes too") {
                observations.onRevoked("key", 1000)
                sent("a", atMillis = 6000)
                sent("b", atMillis = 6001)
                listOf("a", "b").forEach { run(it, atMillis = 9000) }
                verdict(isUndisturbed = false) shouldBe listOf("revoked key")
            }
            it("on a draining endpoint applies to undisturbed processes only") {
                observations.onDrained(1, endpointIndex = 0, 1000)
                sent("a")
                run("a", atMillis = 4000)
                verdict().shouldBeEmpty()
                run("a", atMillis = 4001)
                verdict() shouldBe listOf("drain")
                verdict(isUndisturbed = false).shouldBeEmpty()
            }
            it("on old weights starts at the first newer version") {
                observations.onTargetVersionSet(2, 1000)
                observations.onTargetVersionSet(3, 8000)
                sent("a", CallKind.STREAM)
                run("a", CallKind.STREAM, version = 2, atMillis = 9500)
                verdict().shouldBeEmpty()
                run("a", CallKind.STREAM, version = 1, atMillis = 9500)
                verdict() shouldBe listOf("old weights")
            }
        }
    })
