/*
 * Limits transfers to a share of the link's bandwidth.
 */
package org.toucanspur.daemon.agent

import kotlinx.coroutines.delay
import org.toucanspur.core.weights.TransferPacer
import org.toucanspur.daemon.monotonicMillis

private const val BITS_PER_BYTE = 8
private const val BITS_PER_MBIT = 1_000_000L
private const val PERCENT = 100

/** Bytes per second that [sharePercent] of a link of [linkMbit] Mbit/s allows. */
fun shareBytesPerSecond(linkMbit: Int, sharePercent: Int): Long =
    linkMbit * BITS_PER_MBIT / BITS_PER_BYTE * sharePercent / PERCENT

/** Delays transfers to keep them within a rate. Safe for concurrent use by coroutines. */
class RateLimiter(bytesPerSecond: Long) {
    private val pacer = TransferPacer(bytesPerSecond)

    /** Waits until [bytes] may be transferred. */
    suspend fun acquire(bytes: Int) {
        val waitMillis = synchronized(pacer) { pacer.reserve(bytes, monotonicMillis()) }
        if (waitMillis > 0) delay(waitMillis)
    }
}
