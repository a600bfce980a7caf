package org.toucanspur.core.duties

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.random.Random
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.schema.FencingNumber
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.VmId

private const val WALL_MILLIS = 1_767_225_600_000L
private val storedRecord =
    DutyRecord(listOf(RecordedWindow(7, mapOf(OrganisationId("o") to 3), isAccepted = false)))

private class Observed : LeaseObserver {
    val events = mutableListOf<String>()

    override fun onAcquired(content: LeaseContent, previous: VmId?, reason: AcquireReason) {
        events += "acquired $reason"
    }

    override fun onLost(content: LeaseContent, reason: LossReason) {
        events += "lost $reason"
    }

    override fun onUnreadable(revision: Long) {
        events += "unreadable"
    }
}

private class Candidate {
    val observed = Observed()
    val machine =
        LeaseStateMachine(VmId("a"), 1, LeaseTerms(3000, 300), Random(1), observed)
    var monotonicMillis = 0L
    var wallOffset = WALL_MILLIS

    fun now() = ClockReading(monotonicMillis, wallOffset + monotonicMillis)

    /** Reads [found] until the machine writes, or [untilMillis]. */
    fun readUntilWrite(found: LeaseObject, era: Long, untilMillis: Long): LeaseAction.Write? {
        while (monotonicMillis < untilMillis) {
            when (val action = machine.next(now(), now().wallMillis)) {
                is LeaseAction.Wait -> monotonicMillis += action.millis
                is LeaseAction.Read -> machine.onRead(found, era, now())
                is LeaseAction.Write -> return action
            }
        }
        return null
    }

    fun acquire(): LeaseAction.Write {
        val write = checkNotNull(readUntilWrite(LeaseObject.Absent, 1, 60_000))
        machine.onWritten(write, 10, 1, now())
        return write
    }
}

private fun leaseOf(holder: String, era: Long = 1, fencing: Long = 5) = LeaseObject.Readable(
    9,
    LeaseContent(VmId(holder), 2, FencingNumber(fencing), 4, era, 0, storedRecord)
)

class LeaseStateMachineTest :
    DescribeSpec({
        describe("a candidate") {
            it("takes over the record of another holder after its lease has expired") {
                val candidate = Candidate()
                val write = candidate.readUntilWrite(leaseOf("b"), 1, 60_000)
                candidate.monotonicMillis shouldBeGreaterThan 3299
                write?.expectedRevision shouldBe 9
                write?.content?.record shouldBe storedRecord
                write?.content?.fencing?.value shouldBe candidate.now().wallMillis + 60_000
            }
            it("renews a lease of its own VM at once, with its number, but acts only then") {
                val candidate = Candidate()
                val write = checkNotNull(candidate.readUntilWrite(leaseOf("a"), 1, 100))
                write.content.fencing.value shouldBe 5
                candidate.machine.permit(1, candidate.now()) shouldBe null
                candidate.machine.onWritten(write, 10, 1, candidate.now()) shouldBe true
                candidate.machine.permit(1, candidate.now())?.fencing?.value shouldBe 5
            }
            it("does not use a record that was restored, nor acts on it early") {
                val candidate = Candidate()
                val write = candidate.readUntilWrite(leaseOf("a", era = 1), 2, 60_000)
                candidate.monotonicMillis shouldBeGreaterThan 3299
                write?.content?.record shouldBe DutyRecord()
                write?.content?.gapUntilMillis shouldBe candidate.now().wallMillis + 5000
            }
            it("replaces an unreadable object only after ten lease durations") {
                val candidate = Candidate()
                candidate.readUntilWrite(LeaseObject.Unreadable(3), 1, 60_000)
                candidate.monotonicMillis shouldBeGreaterThan 29_999
                candidate.observed.events shouldBe listOf("unreadable")
            }
            it("does not hold the lease by a write in another era than it read") {
                val candidate = Candidate()
                val write = checkNotNull(candidate.readUntilWrite(leaseOf("b"), 1, 60_000))
                candidate.machine.onWritten(write, 10, 2, candidate.now()) shouldBe false
                candidate.machine.permit(1, candidate.now()) shouldBe null
            }
        }
        describe("a holder") {
            it("acts from the start of its write on for the lease duration less the margin") {
                val candidate = Candidate()
                candidate.acquire()
                candidate.monotonicMillis += 2000
                candidate.machine.permit(700, candidate.now())?.validMillis shouldBe 700
                candidate.machine.permit(701, candidate.now()) shouldBe null
            }
            it("does not act after a suspension, which the monotonic clock does not show") {
                val candidate = Candidate()
                candidate.acquire()
                candidate.wallOffset += 200
                candidate.machine.permit(1, candidate.now()) shouldBe null
                candidate.readUntilWrite(LeaseObject.Absent, 1, candidate.monotonicMillis + 1)
                candidate.observed.events.last() shouldBe "lost CLOCKS_DISAGREE"
            }
            it("does not act after the wall clock was set back") {
                val candidate = Candidate()
                candidate.acquire()
                candidate.wallOffset -= 2000
                candidate.machine.permit(1, candidate.now()) shouldBe null
            }
            it("is not extended by an own write whose response was lost, and renews") {
                val candidate = Candidate()
                candidate.acquire()
                candidate.monotonicMillis += 1500
                val next = candidate.machine.next(candidate.now(), 0)
                val lost = next.shouldBeInstanceOf<LeaseAction.Write>()
                candidate.machine.onFailure(candidate.now())
                candidate.monotonicMillis += 500
                val found = LeaseObject.Readable(11, lost.content)
                candidate.machine.onConflict(found, 1, candidate.now())
                candidate.machine.permit(1, candidate.now())?.validMillis shouldBe 700
                val write = candidate.machine.next(candidate.now(), 0)
                write.shouldBeInstanceOf<LeaseAction.Write>().expectedRevision shouldBe 11
            }
            it("stops acting when another VM has taken over, the store was restored, or it stops") {
                val taken = Candidate().also { it.acquire() }
                taken.machine.onConflict(leaseOf("b"), 1, taken.now())
                val restored = Candidate().also { it.acquire() }
                restored.machine.onConflict(leaseOf("a"), 2, restored.now())
                val stopping = Candidate().also { it.acquire() }
                stopping.machine.stop()
                listOf(taken, restored, stopping).forEach {
                    it.machine.permit(1, it.now()) shouldBe null
                }
                stopping.readUntilWrite(leaseOf("a"), 1, 60_000) shouldBe null
            }
        }
        describe("the object of the lease") {
            it("is read as written, and is unreadable when it is damaged") {
                val lease = leaseOf("b")
                decodeLease(9, encodeLease(lease.content)) shouldBe lease
                listOf(null, "", "7", "{}", encodeLease(lease.content).dropLast(5)).forEach {
                    decodeLease(9, it) shouldBe LeaseObject.Unreadable(9)
                }
            }
        }
        describe("the rate of calls") {
            it("is kept, and a call over it is followed by longer and longer pauses") {
                val rate = DutyCallRate(2)
                List(3) { rate.tryCall(0) } shouldBe listOf(true, true, false)
                rate.onReply(DutyReply.RATE_LIMITED, 1100)
                rate.tryCall(1599) shouldBe false
                rate.tryCall(1600) shouldBe true
                rate.onReply(DutyReply.RATE_LIMITED, 1600)
                rate.tryCall(2599) shouldBe false
            }
        }
    })
