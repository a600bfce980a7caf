/*
 * Decisions on the lease for duties at one VM: when to read and write the object of the lease, and
 * whether this VM may act. Without I/O and clocks. See docs/design/duty-lease.md.
 */
package org.toucanspur.core.duties

import kotlin.math.abs
import kotlin.random.Random
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.schema.FencingNumber
import org.toucanspur.schema.VmId

/** What the daemon does next for the lease. */
sealed interface LeaseAction {
    /** Wait for [millis], or until something changes. */
    data class Wait(val millis: Long) : LeaseAction

    /** Read the object; a stale read suffices with [isStaleAllowed]. */
    data class Read(val isStaleAllowed: Boolean) : LeaseAction

    /**
     * Write [content] if the object has [expectedRevision], or does not exist if that is null.
     * [startedAt] are the clocks before the write.
     */
    data class Write(
        val content: LeaseContent,
        val expectedRevision: Long?,
        val startedAt: ClockReading
    ) : LeaseAction
}

/** Why a VM holds the lease from now on. */
enum class AcquireReason { EXPIRED, OWN, ABSENT, RESTORED, UNREADABLE }

/** Why a VM no longer holds the lease. */
enum class LossReason { EXPIRED, CLOCKS_DISAGREE, TAKEN_OVER, RESTORED, UNREADABLE, STOPPING }

/** Told of changes of the lease at this VM. */
interface LeaseObserver {
    /** This VM holds the lease with [content]; [previous] is the holder before, if known. */
    fun onAcquired(content: LeaseContent, previous: VmId?, reason: AcquireReason)

    /** This VM no longer holds the lease with [content]. */
    fun onLost(content: LeaseContent, reason: LossReason)

    /** The object with [revision] cannot be parsed. */
    fun onUnreadable(revision: Long)
}

/** The lease at [self], whose process is [incarnation]. Not thread-safe. */
class LeaseStateMachine(
    private val self: VmId,
    private val incarnation: Long,
    private val terms: LeaseTerms,
    private val random: Random,
    private val observer: LeaseObserver
) {
    // The lease that this process holds by its last confirmed write. The revision is null if the
    // response to that write lacked it.
    private class Held(
        val content: LeaseContent,
        val revision: Long?,
        val renewedAt: ClockReading,
        val isRenewalDue: Boolean = false
    )

    // Monotonic time because the wait must not become shorter by a clock step.
    private class Observation(val found: LeaseObject, val sinceMillis: Long, val jitterMillis: Long)

    private var era = UNKNOWN_ERA
    private var held: Held? = null
    private var observation: Observation? = null
    private var highestFencing = 0L
    private var writes = 0L
    private var hasHeld = false
    private var isStopping = false
    private var nextAttemptMillis = Long.MIN_VALUE
    private var failures = 0
    private var readAtMillis = Long.MIN_VALUE

    /** Record of the last confirmed write; null before the first take-over. */
    var record: DutyRecord? = null
        private set

    /** Value of [DutyLease.recordGapUntilMillis]. */
    var gapUntilMillis = 0L
        private set

    /** Whether this VM may act at [now]. */
    fun isHeld(now: ClockReading): Boolean = permit(1, now) != null

    /** Permission to act for [neededMillis] from [now] on. */
    fun permit(neededMillis: Long, now: ClockReading): DutyPermit? {
        val lease = held ?: return null
        val leftMillis = leftMillis(lease, now)
        if (leftMillis <= 0 || leftMillis < neededMillis) return null
        return DutyPermit(self, lease.content.fencing, leftMillis)
    }

    /** The process is about to end: the lease is left to expire and is not acquired again. */
    fun stop() {
        isStopping = true
        lose(LossReason.STOPPING)
    }

    /**
     * Returns what to do at [now]; [timeOfDayMillis] is the best known time of day. A [newRecord]
     * is written at once if this VM holds the lease.
     */
    fun next(now: ClockReading, timeOfDayMillis: Long, newRecord: DutyRecord? = null): LeaseAction {
        if (isStopping) return LeaseAction.Wait(terms.leaseMillis)
        expire(now)
        val lease = held ?: return nextAsCandidate(now, timeOfDayMillis)
        if (lease.revision == null) {
            return attempt(now) { LeaseAction.Read(isStaleAllowed = false) }
        }
        val isDue = newRecord != null || lease.isRenewalDue
        val renewalMillis = lease.renewedAt.monotonicMillis + terms.renewalMillis
        if (!isDue && now.monotonicMillis < renewalMillis) {
            return LeaseAction.Wait(renewalMillis - now.monotonicMillis)
        }
        return attempt(now) {
            val content = lease.content.copy(record = newRecord ?: lease.content.record)
            write(content, lease.revision, now)
        }
    }

    /** A read returned [found] from the store in [storeEra]. */
    fun onRead(found: LeaseObject, storeEra: Long?, now: ClockReading) {
        if (!noteEra(storeEra)) return onFailure(now)
        failures = 0
        nextAttemptMillis = Long.MIN_VALUE
        readAtMillis = now.monotonicMillis
        val lease = held
        if (lease != null) {
            compare(lease, found, now)
        } else {
            observe(found, now)
            // The next read of a candidate; an own lease is renewed at once.
            if (!isOwn(found)) nextAttemptMillis = now.monotonicMillis + terms.readMillis
        }
    }

    /** A read or a write had no usable response. */
    fun onFailure(now: ClockReading) {
        failures++
        val shift = minOf(failures - 1, BACKOFF_SHIFT_MAX)
        val backoffMillis = minOf(BACKOFF_MIN_MILLIS shl shift, terms.readMillis)
        nextAttemptMillis =
            now.monotonicMillis + backoffMillis + random.nextLong(BACKOFF_MIN_MILLIS)
    }

    /**
     * [write] was executed with [revision], according to the store in [storeEra]. Returns whether
     * it is confirmed for this VM.
     */
    fun onWritten(
        write: LeaseAction.Write,
        revision: Long?,
        storeEra: Long?,
        now: ClockReading
    ): Boolean {
        if (isStopping) return false
        // In another era the expected revision is that of another object.
        val isConfirmed = noteEra(storeEra) && write.content.era == era
        if (!isConfirmed) {
            onFailure(now)
            return false
        }
        val before = held
        val found = observation?.found
        val reason = reasonToAcquire(found)
        failures = 0
        nextAttemptMillis = Long.MIN_VALUE
        observation = null
        hasHeld = true
        held = Held(write.content, revision, write.startedAt)
        highestFencing = maxOf(highestFencing, write.content.fencing.value)
        record = write.content.record
        gapUntilMillis = write.content.gapUntilMillis
        if (before == null) {
            val previous = (found as? LeaseObject.Readable)?.content?.holder
            observer.onAcquired(write.content, previous, reason)
        }
        return true
    }

    /** [write] was not executed because the object is [found], or unknown if that is null. */
    fun onConflict(found: LeaseObject?, storeEra: Long?, now: ClockReading) {
        if (!noteEra(storeEra)) return onFailure(now)
        if (found == null) {
            lose(LossReason.TAKEN_OVER)
            observation = null
            onFailure(now)
        } else {
            onRead(found, storeEra, now)
        }
    }

    private fun nextAsCandidate(now: ClockReading, timeOfDayMillis: Long): LeaseAction {
        val seen = observation
        val found = seen?.found
        if (found is LeaseObject.Readable && isOwn(found)) {
            return attempt(now) {
                write(found.content.copy(incarnation = incarnation), found.revision, now)
            }
        }
        return attempt(now, seen?.let(::takeOverAtMillis)) {
            // The object is read once more after the wait: that costs less than a write that fails
            // because another candidate has taken over.
            if (seen == null || readAtMillis < takeOverAtMillis(seen)) {
                LeaseAction.Read(isStaleAllowed = true)
            } else {
                takeOver(seen.found, now, timeOfDayMillis)
            }
        }
    }

    private fun takeOverAtMillis(seen: Observation): Long {
        val waitMillis = when (seen.found) {
            is LeaseObject.Unreadable -> terms.unreadableMillis
            else -> terms.takeOverMillis
        }
        return seen.sinceMillis + waitMillis + seen.jitterMillis
    }

    private fun takeOver(
        found: LeaseObject,
        now: ClockReading,
        timeOfDayMillis: Long
    ): LeaseAction {
        val previous = (found as? LeaseObject.Readable)?.content
        val isContinued = previous != null && previous.era == era
        val lastFencing = maxOf(previous?.fencing?.value ?: 0, highestFencing)
        val eraOffset = era.coerceIn(0, ERA_MAX) * ERA_MILLIS
        val content = LeaseContent(
            self,
            incarnation,
            FencingNumber(maxOf(lastFencing + 1, timeOfDayMillis + eraOffset)),
            renewals = previous?.renewals ?: 0,
            era,
            if (isContinued) previous.gapUntilMillis else timeOfDayMillis + GAP_MARGIN_MILLIS,
            if (isContinued) previous.record else DutyRecord()
        )
        return write(content, found.revision, now)
    }

    private fun write(content: LeaseContent, revision: Long?, now: ClockReading): LeaseAction {
        writes = maxOf(writes, content.renewals) + 1
        return LeaseAction.Write(content.copy(renewals = writes), revision, now)
    }

    // Returns [action] unless the next attempt is later; [dueMillis] is earlier than that if set.
    private fun attempt(
        now: ClockReading,
        dueMillis: Long? = null,
        action: () -> LeaseAction
    ): LeaseAction {
        val attemptMillis = if (failures == 0 && dueMillis != null) {
            minOf(nextAttemptMillis, dueMillis)
        } else {
            nextAttemptMillis
        }
        val left = if (attemptMillis == Long.MIN_VALUE) 0 else attemptMillis - now.monotonicMillis
        return if (left > 0) LeaseAction.Wait(left) else action()
    }

    // Of both clocks, because the monotonic one stops while the VM is suspended.
    private fun leftMillis(lease: Held, now: ClockReading): Long =
        if (areClocksApart(lease, now)) 0 else terms.validMillis - now.ageMillis(lease.renewedAt)

    private fun areClocksApart(lease: Held, now: ClockReading): Boolean {
        val monotonic = now.monotonicMillis - lease.renewedAt.monotonicMillis
        val wall = now.wallMillis - lease.renewedAt.wallMillis
        return abs(monotonic - wall) > terms.clockToleranceMillis
    }

    // An expired lease may be renewed as long as nobody else has written the object.
    private fun expire(now: ClockReading) {
        val lease = held ?: return
        if (leftMillis(lease, now) > 0) return
        val areApart = areClocksApart(lease, now)
        lose(if (areApart) LossReason.CLOCKS_DISAGREE else LossReason.EXPIRED)
        val revision = lease.revision ?: return
        observe(LeaseObject.Readable(revision, lease.content), now)
    }

    private fun lose(reason: LossReason) {
        val lease = held ?: return
        held = null
        observer.onLost(lease.content, reason)
    }

    // Another era means that the store was restored from a copy: what is known of the object is
    // void, and the lease is not renewed. Returns false for a response of an earlier era.
    private fun noteEra(storeEra: Long?): Boolean {
        // Without an era in the response, the one that is known is assumed.
        val seen = storeEra ?: maxOf(era, NO_ERA)
        if (seen < era) return false
        if (seen > era && era != UNKNOWN_ERA) {
            lose(LossReason.RESTORED)
            observation = null
        }
        era = seen
        return true
    }

    // The object while this VM holds the lease: it was changed by another VM, or by an own write
    // whose response was lost.
    private fun compare(lease: Held, found: LeaseObject, now: ClockReading) {
        val content = (found as? LeaseObject.Readable)?.content
        if (content != null && isMine(content) && content.fencing == lease.content.fencing) {
            val isLastWrite = content.renewals == lease.content.renewals
            held = Held(lease.content, found.revision, lease.renewedAt, isRenewalDue = !isLastWrite)
            return
        }
        lose(if (content == null) LossReason.UNREADABLE else LossReason.TAKEN_OVER)
        observe(found, now)
        nextAttemptMillis = now.monotonicMillis + terms.readMillis
    }

    private fun isMine(content: LeaseContent) =
        content.holder == self && content.incarnation == incarnation && content.era == era

    // Whether the object may be renewed without a wait. That of an earlier process on this VM may,
    // but not once this process has held the lease: then another VM of the same name is running.
    private fun isOwn(found: LeaseObject): Boolean {
        val content = (found as? LeaseObject.Readable)?.content ?: return false
        val isOfVm = content.holder == self && content.era == era
        val isOfProcess = content.incarnation == incarnation || !hasHeld
        return isOfVm && isOfProcess && content.fencing.value >= highestFencing
    }

    private fun observe(found: LeaseObject, now: ClockReading) {
        val content = (found as? LeaseObject.Readable)?.content
        if (content != null) highestFencing = maxOf(highestFencing, content.fencing.value)
        val seen = observation
        if (seen != null && seen.found.revision == found.revision) return
        // A stale read may return an older revision; the newer one was current later.
        if (seen != null && isOlder(found, seen.found)) return
        val jitterMillis = random.nextLong(terms.jitterMillis + 1)
        observation = Observation(found, now.monotonicMillis, jitterMillis)
        if (found is LeaseObject.Unreadable) observer.onUnreadable(found.revision)
    }

    private fun isOlder(found: LeaseObject, seen: LeaseObject): Boolean {
        val revision = found.revision ?: return false
        return revision < (seen.revision ?: return false)
    }

    private fun reasonToAcquire(found: LeaseObject?): AcquireReason = when (found) {
        null, LeaseObject.Absent -> AcquireReason.ABSENT
        is LeaseObject.Unreadable -> AcquireReason.UNREADABLE
        is LeaseObject.Readable -> when {
            found.content.era != era -> AcquireReason.RESTORED
            isOwn(found) -> AcquireReason.OWN
            else -> AcquireReason.EXPIRED
        }
    }

    private companion object {
        const val UNKNOWN_ERA = -1L

        // Of a store that names none.
        const val NO_ERA = 0L

        // Added to fencing numbers for each era. The wall clocks of VMs may differ by seconds, and
        // the number of the last holder may have been lost with the restore.
        const val ERA_MILLIS = 60_000L

        // Keeps the product within a Long beside the time of day.
        const val ERA_MAX = 1_000_000_000_000L

        // The wall clock of a VM may be wrong by seconds.
        const val GAP_MARGIN_MILLIS = 5000L
        const val BACKOFF_MIN_MILLIS = 50L
        const val BACKOFF_SHIFT_MAX = 5
    }
}
