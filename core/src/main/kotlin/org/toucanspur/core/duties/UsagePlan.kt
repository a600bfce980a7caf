/*
 * Decides which usage windows are final and which reports are sent. A window is made final by
 * storing its counts in the lease record; only then are they sent, and always unchanged. A window
 * at or before [DutyRecord.finalUntil] that the record does not contain is never reported.
 */
package org.toucanspur.core.duties

import org.toucanspur.schema.FencingNumber
import org.toucanspur.schema.OrganisationId

/** What the decision needs to know about the counts at all entries. */
interface UsageSource {
    /** Counts of [window] that are known here. */
    fun totals(window: Long): Map<OrganisationId, Long>

    /** Share of the running entries whose counts of [window] are all known; 1 if all are. */
    fun completeShare(window: Long): Double
}

/** Times of usage reports, from the settings. */
data class UsageTiming(val windowMillis: Long, val latenessMillis: Long) {
    /** Time after the end of a window from which it is made final if all entries have reported. */
    val settleMillis: Long get() = minOf(SETTLE_MILLIS, latenessMillis / 2)

    /** Time after the end of a window from which it is made final without some of the entries. */
    val settleMaxMillis: Long get() = (latenessMillis * SETTLE_MAX_SHARE).toLong()

    /** Time after the end of a window from which it is no longer reported. */
    val sendMaxMillis: Long get() = latenessMillis - SEND_MARGIN_MILLIS

    private companion object {
        // Two notices of an entry may be lost.
        const val SETTLE_MILLIS = 2500L

        // The rest of the time is for repeated calls.
        const val SETTLE_MAX_SHARE = 0.6
        const val SEND_MARGIN_MILLIS = 500L
    }
}

/** Final windows and reports of the holder. Not thread-safe. */
class UsagePlan(private val timing: UsageTiming, private val source: UsageSource) {
    private val sendings = HashMap<Long, Sending>()
    private var pausedUntilMillis = Long.MIN_VALUE

    /**
     * The record to store before anything else is sent, or null if [record] stays as it is. A new
     * record, and one that has a gap until [gapUntilMillis], may lack windows that were reported,
     * so windows that had ended by then are not made final.
     */
    fun nextRecord(record: DutyRecord, gapUntilMillis: Long, trueMillis: Long): DutyRecord? {
        if (record.finalUntil == 0L) {
            val knownFromMillis = maxOf(trueMillis, gapUntilMillis)
            return record.copy(
                finalUntil = Math.floorDiv(knownFromMillis, timing.windowMillis) - 1
            )
        }
        var next = record
        while (true) {
            next = finalise(next, trueMillis) ?: break
        }
        return if (next === record) null else withAccepted(next)
    }

    private fun finalise(record: DutyRecord, trueMillis: Long): DutyRecord? {
        val window = record.finalUntil + 1
        val ageMillis = ageMillis(window, trueMillis)
        if (ageMillis < timing.settleMillis) return null
        if (ageMillis >= timing.sendMaxMillis) {
            // After a long gap, the windows in it are passed over at once.
            val firstOpen =
                Math.floorDiv(trueMillis - timing.sendMaxMillis, timing.windowMillis)
            return record.copy(finalUntil = maxOf(window, firstOpen - 1))
        }
        val share = source.completeShare(window)
        val isDue = share >= 1 ||
            (ageMillis >= timing.settleMaxMillis && share >= COMPLETE_SHARE_MIN)
        if (!isDue) return null
        val final = RecordedWindow(window, source.totals(window), isAccepted = false)
        return record.copy(
            windows = (record.windows + final).takeLast(WINDOWS_MAX),
            finalUntil = window
        )
    }

    // What was accepted is stored with the next final window, which saves a call to the store. A
    // new holder repeats at most the reports since then.
    private fun withAccepted(record: DutyRecord): DutyRecord = record.copy(
        windows = record.windows.map { it.copy(isAccepted = isAccepted(it)) }
    )

    private fun isAccepted(window: RecordedWindow): Boolean =
        window.isAccepted || sendings[window.window]?.isAccepted == true

    /** Window of the stored [record] whose report is sent now with [fencing], or null. */
    fun nextReport(
        record: DutyRecord,
        fencing: FencingNumber,
        trueMillis: Long,
        nowMillis: Long
    ): RecordedWindow? {
        sendings.keys.retainAll(record.windows.map { it.window }.toSet())
        if (nowMillis < pausedUntilMillis) return null
        return record.windows.firstOrNull { window ->
            val sending = sendings[window.window]
            val isOpen = !isAccepted(window) &&
                ageMillis(window.window, trueMillis) < timing.sendMaxMillis
            isOpen && (sending == null || sending.isDue(fencing, nowMillis))
        }
    }

    /** Records that the report of [window] is being sent with [fencing]. */
    fun onSent(window: Long, fencing: FencingNumber, nowMillis: Long) {
        val sending = sendings.getOrPut(window) { Sending() }
        sending.fencing = fencing
        sending.isRejected = false
        sending.attempts++
        sending.nextMillis = nowMillis + backoffMillis(sending.attempts)
    }

    /** Records the [reply] to the last report of [window]. */
    fun onReply(window: Long, reply: DutyReply, nowMillis: Long) {
        val sending = sendings[window] ?: return
        when (reply) {
            DutyReply.ACCEPTED -> sending.isAccepted = true
            DutyReply.REJECTED -> sending.isRejected = true
            DutyReply.RATE_LIMITED ->
                pausedUntilMillis = nowMillis + backoffMillis(sending.attempts)
            DutyReply.UNKNOWN -> sending.nextMillis = nowMillis + backoffMillis(sending.attempts)
        }
    }

    /** Reported windows of [record] that were not accepted in time; each is returned once. */
    fun takeMissed(record: DutyRecord, trueMillis: Long): List<Long> = record.windows
        .map { it.window }
        .filter { ageMillis(it, trueMillis) >= timing.sendMaxMillis }
        .filter { window ->
            val sending = sendings[window]?.takeIf { !it.isAccepted && !it.isMissed }
            sending?.isMissed = true
            sending != null
        }

    private fun ageMillis(window: Long, trueMillis: Long): Long =
        trueMillis - (window + 1) * timing.windowMillis

    private fun backoffMillis(attempts: Int): Long =
        BACKOFF_MILLIS shl minOf(attempts - 1, BACKOFF_SHIFT_MAX).coerceAtLeast(0)

    private class Sending {
        var fencing: FencingNumber? = null
        var attempts = 0
        var nextMillis = Long.MIN_VALUE
        var isAccepted = false
        var isRejected = false
        var isMissed = false

        // A rejected report is repeated only by a new holder or a new lease.
        fun isDue(current: FencingNumber, nowMillis: Long): Boolean =
            if (isRejected) fencing != current else nowMillis >= nextMillis
    }

    private companion object {
        /** Share of the entries without which counts are not within the tolerance. */
        const val COMPLETE_SHARE_MIN = 0.8
        const val WINDOWS_MAX = 6
        const val BACKOFF_MILLIS = 300L
        const val BACKOFF_SHIFT_MAX = 2
    }
}
