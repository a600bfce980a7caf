/*
 * How old a belief is when the clocks of a VM misbehave. The steady clock stands still while a VM
 * is suspended, and the time of day may jump; the age by the clock that moved further is the one
 * that is safe to act on.
 */
package org.toucanspur.core.gateway

/** A reading of both clocks of a VM, in milliseconds. */
data class ClockReading(val steadyMillis: Long, val wallMillis: Long) {
    /** Age of [earlier] at this reading; never less than the true age after a suspension. */
    fun ageMillis(earlier: ClockReading): Long =
        maxOf(steadyMillis - earlier.steadyMillis, wallMillis - earlier.wallMillis)
}

/** Reads both clocks. */
fun interface ClockPair {
    /** The present reading. */
    fun now(): ClockReading
}

/**
 * Proof that the configuration in force was the newest at some moment. Keys are accepted only
 * while the proof is younger than [limitMillis], so that a revoked key stops everywhere within
 * its bound, also at an entry that is cut off from the store.
 */
class FreshnessProof(private val limitMillis: Long) {
    private var provenAt: ClockReading? = null

    /** Notes that the store's state as of [at] is known here. */
    fun renew(at: ClockReading) {
        val current = provenAt
        if (current == null || at.steadyMillis >= current.steadyMillis) provenAt = at
    }

    /** Whether keys may be accepted at [now]. */
    fun isFresh(now: ClockReading): Boolean = ageMillis(now)?.let { it < limitMillis } ?: false

    /** Age of the proof; null before the first one. */
    fun ageMillis(now: ClockReading): Long? = provenAt?.let(now::ageMillis)

    companion object {
        /**
         * Time taken off the bound: a store that drops its history may keep a watch silent for a
         * second, and a request is on its way to an endpoint for up to 300 ms.
         */
        const val MARGIN_MILLIS = 1300L
    }
}
