/*
 * Distinguishes slow imports from stalled ones by the intervals at which new chunks become
 * available in a region.
 */
package org.toucanspur.core.weights

private const val INTERVAL_GAIN = 0.1
private const val INTERVALS_PER_STALL = 8

/** Import rate of a region as observed by one VM. */
internal class ImportProgressTracker(startMillis: Long, private val timeoutMillis: Long) {
    private var lastMillis = startMillis
    private var intervalMillis = 0.0

    /** Records that a new chunk is available in the region. */
    fun onProgress(nowMillis: Long) {
        intervalMillis += (nowMillis - lastMillis - intervalMillis) * INTERVAL_GAIN
        lastMillis = nowMillis
    }

    /** Restarts the stall timer when progress is blocked for all importers alike. */
    fun restartStallTimer(nowMillis: Long) {
        lastMillis = nowMillis
    }

    /** Estimated time to import [chunks] at the current rate. */
    fun millisFor(chunks: Int): Long = (intervalMillis * chunks).toLong()

    /** Number of stall timeouts that have elapsed without progress. */
    fun stalls(nowMillis: Long): Int {
        val stallMillis = maxOf(timeoutMillis.toDouble(), intervalMillis * INTERVALS_PER_STALL)
        return ((nowMillis - lastMillis) / stallMillis).toInt()
    }
}
