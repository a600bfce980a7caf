/*
 * Measures the age of information on a VM whose clocks may be wrong. The monotonic clock stops
 * while a VM is suspended, and the wall clock may be stepped. The larger of the two ages is the
 * safe one to use.
 */
package org.toucanspur.core.gateway

/** Readings of the monotonic and the wall clock of a VM, taken together. */
data class ClockReading(val monotonicMillis: Long, val wallMillis: Long) {
    /** Age of [earlier] at this reading; not underestimated after a suspension of the VM. */
    fun ageMillis(earlier: ClockReading): Long =
        maxOf(monotonicMillis - earlier.monotonicMillis, wallMillis - earlier.wallMillis)
}

/** Reads both clocks. */
fun interface ClockPair {
    /** Returns the current reading. */
    fun now(): ClockReading
}

/**
 * Tracks when information was last confirmed to be current; it is fresh while that confirmation is
 * younger than [limitMillis]. API keys are accepted only while the configuration is fresh, so that
 * a revoked key stops working everywhere within the revocation bound, even at an entry that is
 * partitioned from the store.
 */
class Freshness(private val limitMillis: Long) {
    private var confirmedAt: ClockReading? = null

    /** Records that the state of the store as of [at] is known here. */
    fun renew(at: ClockReading) {
        val current = confirmedAt
        if (current == null || at.monotonicMillis >= current.monotonicMillis) confirmedAt = at
    }

    /** Whether the information may be used at [now]. */
    fun isFresh(now: ClockReading): Boolean = ageMillis(now)?.let { it < limitMillis } ?: false

    /** Age of the last confirmation; null before the first one. */
    fun ageMillis(now: ClockReading): Long? = confirmedAt?.let(now::ageMillis)

    companion object {
        /**
         * Safety margin subtracted from the bound on a revocation: a watch may be silent for one
         * second when the store discards its history, and a request takes up to 300 ms to reach an
         * endpoint.
         */
        const val MARGIN_MILLIS = 1300L
    }
}
