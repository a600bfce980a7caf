/*
 * Paces transfers to a configured rate.
 */
package org.toucanspur.core.weights

private const val MILLIS_PER_SECOND = 1000.0

/** Reserves transmission time on a link of [bytesPerSecond]. Not thread-safe. */
class TransferPacer(private val bytesPerSecond: Long) {
    private var freeAtMillis = 0.0

    /** Fraction of the rate in use, above 0 and at most 1. */
    var factor = 1.0

    /** Reserves [bytes] and returns the delay in milliseconds before they may be sent. */
    fun reserve(bytes: Int, nowMillis: Long): Long {
        val start = maxOf(nowMillis.toDouble(), freeAtMillis)
        freeAtMillis = start + bytes * MILLIS_PER_SECOND / (bytesPerSecond * factor)
        return (start - nowMillis).toLong()
    }
}
