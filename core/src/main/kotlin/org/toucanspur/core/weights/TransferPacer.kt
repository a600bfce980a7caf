/*
 * Spaces transfers so that they keep to a rate.
 */
package org.toucanspur.core.weights

private const val MILLIS_PER_SECOND = 1000.0

/** Reserves time on a link of [bytesPerSecond]. Not safe for use by several threads. */
class TransferPacer(private val bytesPerSecond: Long) {
    private var freeAtMillis = 0.0

    /** Share of the rate that is used now, above 0 and at most 1. */
    var factor = 1.0

    /** Reserves [bytes] and returns how long to wait before they may be sent. */
    fun reserve(bytes: Int, nowMillis: Long): Long {
        val start = maxOf(nowMillis.toDouble(), freeAtMillis)
        freeAtMillis = start + bytes * MILLIS_PER_SECOND / (bytesPerSecond * factor)
        return (start - nowMillis).toLong()
    }
}
