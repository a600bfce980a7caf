/*
 * Paces the pieces that an agent uploads. The endpoint's responses share the outgoing link: with
 * one piece in transit at a time, a response is delayed by at most one piece.
 */
package org.toucanspur.daemon.engine

import kotlinx.coroutines.delay
import org.toucanspur.daemon.monotonicMillis

/** Limits uploads to [LINK_SHARE] of a link of [linkMbit]; confined to the event loop. */
class UploadPacer(linkMbit: Double) {
    private val bytesPerMillisecond =
        maxOf(1.0, linkMbit * BYTES_PER_MEGABIT * LINK_SHARE / MILLIS_PER_SECOND)
    private var linkFreeAtMillis = 0.0

    /** Suspends until an upload of [bytes] may start, and reserves the link for its duration. */
    suspend fun acquire(bytes: Int) {
        val now = monotonicMillis().toDouble()
        val sendAtMillis = maxOf(now, linkFreeAtMillis)
        linkFreeAtMillis = sendAtMillis + bytes / bytesPerMillisecond
        if (sendAtMillis > now) delay((sendAtMillis - now).toLong())
    }

    private companion object {
        const val BYTES_PER_MEGABIT = 125_000.0
        const val MILLIS_PER_SECOND = 1000.0

        // Engine responses use about 6% of the slowest link; the remaining 4% absorbs their bursts.
        const val LINK_SHARE = 0.9
    }
}
