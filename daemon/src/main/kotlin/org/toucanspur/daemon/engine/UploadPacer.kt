/*
 * Spaces the pieces that an agent sends. The endpoint's answers leave over the same link: with one
 * piece at a time on it they wait for one piece at most.
 */
package org.toucanspur.daemon.engine

import kotlinx.coroutines.delay
import org.toucanspur.daemon.monotonicMillis

/** Paces uploads to a share of a link of [linkMbit]; confined to the event loop. */
class UploadPacer(linkMbit: Double) {
    private val bytesPerMilli = maxOf(1.0, linkMbit * BYTES_PER_MEGABIT * SHARE / MILLIS_PER_SECOND)
    private var freeAtMillis = 0.0

    /** Waits until [bytes] may be sent. */
    suspend fun pass(bytes: Int) {
        val now = monotonicMillis().toDouble()
        val start = maxOf(now, freeAtMillis)
        freeAtMillis = start + bytes / bytesPerMilli
        if (start > now) delay((start - now).toLong())
    }

    private companion object {
        const val BYTES_PER_MEGABIT = 125_000.0
        const val MILLIS_PER_SECOND = 1000.0

        // Answers of an engine take about 6% of the slowest link; the rest is for bursts of them.
        const val SHARE = 0.9
    }
}
