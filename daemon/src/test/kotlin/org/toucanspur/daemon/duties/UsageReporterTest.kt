package org.toucanspur.daemon.duties

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.toucanspur.core.duties.DutyRecord
import org.toucanspur.core.duties.DutyReply
import org.toucanspur.core.duties.RecordedWindow
import org.toucanspur.core.duties.UsagePlan
import org.toucanspur.core.duties.UsageSource
import org.toucanspur.core.duties.UsageTiming
import org.toucanspur.daemon.gateway.LogCapture
import org.toucanspur.schema.OrganisationId

private const val WINDOW_MILLIS = 5000L
private const val FIRST_WINDOW = 100L

/** A reporter on [vm]; each entry counts [count] requests in each window. */
private class ReportingEntry(
    vm: String,
    stored: FakeLeaseObject,
    private val clocks: FakeClocks,
    private val api: FakeDutyApi,
    private val count: Long = 7,
    var isTimeKnown: Boolean = true
) {
    private val lease = FakeLease(vm, stored)
    private val source = object : UsageSource {
        override fun totals(window: Long) = mapOf(OrganisationId("o") to count)
        override fun completeShare(window: Long) = 1.0
    }
    private val reporter = UsageReporter(
        lease,
        RecordUpdates(lease),
        api,
        UsagePlan(UsageTiming(WINDOW_MILLIS, 10_000), source),
        clocks,
        callMillis = 600,
        { clocks.millis.takeIf { isTimeKnown } },
        LogCapture().log,
        SimpleMeterRegistry()
    )

    suspend fun runFor(millis: Long) {
        val end = clocks.millis + millis
        while (clocks.millis < end) {
            reporter.step()
            clocks.millis += 100
        }
    }
}

class UsageReporterTest :
    DescribeSpec({
        fun afterWindow(millis: Long) = FakeClocks((FIRST_WINDOW + 1) * WINDOW_MILLIS + millis)
        fun heldBy(vm: String) = FakeLeaseObject(DutyRecord(finalUntil = FIRST_WINDOW - 1), vm)

        describe("a holder") {
            it("reports each window once, with one write to the store for each") {
                val stored = heldBy("a")
                val api = FakeDutyApi()
                ReportingEntry("a", stored, afterWindow(0), api).runFor(18_000)
                api.reports.map { it.second } shouldBe (FIRST_WINDOW..FIRST_WINDOW + 3).toList()
                stored.stored.size shouldBe 4
            }
            it("does nothing while the time of day is not known") {
                val stored = heldBy("a")
                val api = FakeDutyApi()
                ReportingEntry("a", stored, afterWindow(0), api, isTimeKnown = false).runFor(9000)
                api.reports.shouldBeEmpty()
                stored.stored.shouldBeEmpty()
            }
        }
        describe("an API that answers 429, not at all, or slowly") {
            it("gets exactly the same counts again until it accepts them") {
                val replies = listOf(
                    DutyReply.RATE_LIMITED,
                    DutyReply.UNKNOWN,
                    DutyReply.UNKNOWN,
                    DutyReply.ACCEPTED
                )
                val api = FakeDutyApi(ArrayDeque(replies), delayMillis = 20)
                ReportingEntry("a", heldBy("a"), afterWindow(2500), api).runFor(4500)
                api.reports.size shouldBe 4
                api.reports.toSet().size shouldBe 1
            }
            it("gets no more calls for a window that is too late") {
                val api = FakeDutyApi(ArrayDeque(List(1000) { DutyReply.UNKNOWN }))
                ReportingEntry("a", heldBy("a"), afterWindow(2500), api).runFor(9000)
                val calls = api.reports.count { it.second == FIRST_WINDOW }
                // 7 s with a backoff that grows to 1.2 s.
                (calls in 4..9) shouldBe true
            }
        }
        describe("a change of holder between storing and sending") {
            it("lets the new holder send the stored counts, not its own") {
                val stored = heldBy("a")
                val clocks = afterWindow(2500)
                val firstApi = FakeDutyApi()
                // The write is executed, its response is lost, and the holder is killed.
                stored.losesResponses = true
                val first = ReportingEntry("a", stored, clocks, firstApi, count = 7)
                val second = ReportingEntry("b", stored, clocks, firstApi, count = 9)
                val lost = FakeLease("a", stored)
                lost.store(
                    DutyRecord(
                        listOf(
                            RecordedWindow(
                                FIRST_WINDOW,
                                mapOf(OrganisationId("o") to 7L),
                                isAccepted = false
                            )
                        ),
                        FIRST_WINDOW
                    )
                )
                stored.losesResponses = false
                stored.takeOver("b")
                first.runFor(500)
                firstApi.reports.shouldBeEmpty()
                second.runFor(2000)
                firstApi.reports shouldBe
                    listOf(Triple(2L, FIRST_WINDOW, mapOf(OrganisationId("o") to 7L)))
            }
        }
        describe("a window that two holders report") {
            it("has the same counts whenever the lease changes") {
                val stored = heldBy("a")
                val clocks = afterWindow(0)
                val api = FakeDutyApi(ArrayDeque(List(12) { DutyReply.UNKNOWN }))
                val entries = listOf("a" to 7L, "b" to 9L)
                    .associate { (vm, n) -> vm to ReportingEntry(vm, stored, clocks, api, n) }
                repeat(20) { turn ->
                    entries.getValue(if (turn % 2 == 0) "a" else "b").runFor(700L + turn * 130)
                    stored.takeOver(if (turn % 2 == 0) "b" else "a")
                }
                api.reports.groupBy { it.second }.values
                    .all { reports -> reports.map { it.third }.toSet().size == 1 } shouldBe true
                api.reports.map { it.first } shouldBe api.reports.map { it.first }.sorted()
            }
        }
    })
