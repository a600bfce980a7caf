/*
 * Determines after which time the changes of watched objects were made. A change usually arrives as
 * soon as it is made. It arrives late after a pause of this process or on a connection that has
 * gone silent, and its age then counts from the last time at which it was known not to exist.
 *
 * These times are estimates for a store that responds promptly: the bound on a weight version does
 * not apply while the store or the links are disturbed. What an entry may rely on in any case is
 * in [StoreFreshness].
 */
package org.toucanspur.core.gateway

/** Pauses of the process. */
fun interface PauseHistory {
    /** Start of the first pause that ended after [reading], or null if there is none. */
    fun firstPauseSince(reading: ClockReading): ClockReading?
}

/** Progress of the watch of one kind of object, across its calls. Not thread-safe. */
class WatchProgress(private val pauses: PauseHistory = PauseHistory { null }) {
    private var knownUntil: ClockReading? = null
    private var outageStart: ClockReading? = null

    /** Returns the time after which the unknown objects of a listing were changed. */
    fun unlistedSince(callStart: ClockReading): ClockReading = knownUntil ?: callStart

    /** Returns the time after which the changes of a watch call were made that ran until [now]. */
    fun unseenSince(callStart: ClockReading, now: ClockReading): ClockReading {
        val uninterruptedEnd = pauses.firstPauseSince(callStart) ?: now
        val waitedMillis = uninterruptedEnd.monotonicMillis - callStart.monotonicMillis
        // The store returns existing changes immediately, so a call that has waited proves that
        // there were none.
        val promptMillis = if (outageStart == null) PROMPT_MILLIS else PROMPT_AFTER_FAILURE_MILLIS
        return if (waitedMillis >= promptMillis) uninterruptedEnd else knownUntil ?: callStart
    }

    /**
     * Records that the watch call from [callStart] returned no changes at [now], after a wait of
     * [waitMillis] at most. A call that ended early or late, or was interrupted by a pause, may
     * have been answered long before.
     */
    fun onUnchanged(callStart: ClockReading, now: ClockReading, waitMillis: Long) {
        val lateMillis = now.monotonicMillis - callStart.monotonicMillis - waitMillis
        val isPrompt = lateMillis in 0 until PROMPT_MILLIS
        if (!isPrompt || pauses.firstPauseSince(callStart) != null) return
        advance(
            ClockReading(
                callStart.monotonicMillis + waitMillis,
                callStart.wallMillis + waitMillis
            )
        )
    }

    /** Records that all changes made before [at] have been delivered. */
    fun onUpToDate(at: ClockReading) {
        outageStart = null
        advance(at)
    }

    /**
     * Records that the call from [callStart] failed at [at]. Time in which the store rejects calls
     * does not count towards the age of a change. A single failure may be due to its connection
     * only, and a call without a response to a connection that has gone silent.
     */
    fun onFailure(callStart: ClockReading, at: ClockReading) {
        val outage = outageStart
        if (outage == null) {
            outageStart = at
            return
        }
        val isPrompt = at.ageMillis(callStart) < PROMPT_MILLIS
        if (isPrompt && callStart.ageMillis(outage) >= OUTAGE_MILLIS) advance(callStart)
    }

    private fun advance(at: ClockReading) {
        val known = knownUntil
        if (known == null || at.monotonicMillis > known.monotonicMillis) knownUntil = at
    }

    private companion object {
        // The store responds within milliseconds. Longer than the pauses that are not detected.
        const val PROMPT_MILLIS = 450L

        // Covers the timeout of a connection as well.
        const val PROMPT_AFTER_FAILURE_MILLIS = 1500L

        // Longer than a retry on a new connection takes.
        const val OUTAGE_MILLIS = 1000L
    }
}
