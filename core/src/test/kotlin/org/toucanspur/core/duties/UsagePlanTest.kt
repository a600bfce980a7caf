package org.toucanspur.core.duties

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.toucanspur.schema.FencingNumber
import org.toucanspur.schema.OrganisationId

private const val WINDOW_MILLIS = 5000L
private val timing = UsageTiming(WINDOW_MILLIS, latenessMillis = 10_000)
private val counts = mapOf(OrganisationId("o") to 7L)
private val firstHolder = FencingNumber(5)

/** Counts of one organisation, of which the share [complete] of the entries is known. */
private class FixedSource(var complete: Double = 1.0, var counts: Map<OrganisationId, Long>) :
    UsageSource {
    override fun totals(window: Long) = counts
    override fun completeShare(window: Long) = complete
}

private fun endMillis(window: Long) = (window + 1) * WINDOW_MILLIS

private fun plan(complete: Double = 1.0) = UsagePlan(timing, FixedSource(complete, counts))

class UsagePlanTest :
    DescribeSpec({
        describe("a new record") {
            it("leaves out the windows that have ended, as an earlier holder may have sent them") {
                val next = plan().nextRecord(DutyRecord(), 0, endMillis(99) + 10)
                next shouldBe DutyRecord(finalUntil = 99)
            }
            it("leaves out the windows in the gap of a restored store") {
                val gapUntil = endMillis(101) + 10
                plan().nextRecord(DutyRecord(), gapUntil, endMillis(99) + 10) shouldBe
                    DutyRecord(finalUntil = 101)
            }
        }
        describe("a window") {
            val record = DutyRecord(finalUntil = 99)
            val final = record.copy(
                windows = listOf(RecordedWindow(100, counts, isAccepted = false)),
                finalUntil = 100
            )
            it("becomes final 2.5 s after its end") {
                plan().nextRecord(record, 0, endMillis(100) + 2499) shouldBe null
                plan().nextRecord(record, 0, endMillis(100) + 2500) shouldBe final
            }
            it("waits for entries whose counts are missing, but not until it is too late") {
                plan(0.9).nextRecord(record, 0, endMillis(100) + 5999) shouldBe null
                plan(0.9).nextRecord(record, 0, endMillis(100) + 6000) shouldBe final
            }
            it("is not reported when the counts of many entries are missing") {
                plan(0.5).nextRecord(record, 0, endMillis(100) + 9499) shouldBe null
                plan(0.5).nextRecord(record, 0, endMillis(100) + 9500) shouldBe
                    record.copy(finalUntil = 100)
            }
            it("is not made final a second time with other counts") {
                val other = UsagePlan(timing, FixedSource(1.0, mapOf(OrganisationId("o") to 9L)))
                other.nextRecord(final, 0, endMillis(100) + 3000) shouldBe null
                other.nextReport(final, firstHolder, endMillis(100) + 3000, 0)?.counts shouldBe
                    counts
            }
        }
        describe("a gap of many windows without a holder") {
            it("is passed over at once") {
                val next = plan().nextRecord(DutyRecord(finalUntil = 99), 0, endMillis(1000))
                next.shouldNotBeNull().finalUntil shouldBe 999
                next.windows.map { it.window } shouldBe listOf(999L)
            }
        }
        describe("a report") {
            val record = DutyRecord(
                listOf(RecordedWindow(100, counts, isAccepted = false)),
                finalUntil = 100
            )
            val dueMillis = endMillis(100) + 2600
            fun UsagePlan.report(nowMillis: Long, fencing: FencingNumber = firstHolder) =
                nextReport(record, fencing, dueMillis, nowMillis)?.window
            fun UsagePlan.sendAt(nowMillis: Long, reply: DutyReply) {
                report(nowMillis) shouldBe 100
                onSent(100, firstHolder, nowMillis)
                onReply(100, reply, nowMillis)
            }
            it("is repeated unchanged with backoff until it is accepted") {
                val plan = plan()
                plan.sendAt(0, DutyReply.UNKNOWN)
                plan.report(299) shouldBe null
                plan.sendAt(300, DutyReply.RATE_LIMITED)
                plan.report(899) shouldBe null
                plan.sendAt(900, DutyReply.ACCEPTED)
                plan.report(60_000) shouldBe null
            }
            it("is repeated after a rejection only with another fencing number") {
                val plan = plan()
                plan.sendAt(0, DutyReply.REJECTED)
                plan.report(60_000) shouldBe null
                plan.report(60_000, FencingNumber(6)) shouldBe 100
            }
            it("is not sent when it would be late") {
                val plan = plan()
                plan.sendAt(0, DutyReply.UNKNOWN)
                val lateMillis = endMillis(100) + 9500
                plan.nextReport(record, firstHolder, lateMillis, 9000) shouldBe null
                plan.takeMissed(record, lateMillis) shouldBe listOf(100L)
                plan.takeMissed(record, lateMillis) shouldBe emptyList()
            }
            it("is marked as accepted with the next final window") {
                val plan = plan()
                plan.sendAt(0, DutyReply.ACCEPTED)
                val next = plan.nextRecord(record, 0, endMillis(101) + 2500)
                next.shouldNotBeNull().windows.map { it.isAccepted } shouldBe listOf(true, false)
            }
            it("is sent by a new holder as the record contains it") {
                UsagePlan(timing, FixedSource(0.0, emptyMap()))
                    .nextReport(record, FencingNumber(6), dueMillis, 0) shouldBe record.windows[0]
            }
        }
    })
