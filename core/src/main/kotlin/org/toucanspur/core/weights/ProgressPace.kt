/*
 * Tells a slow import from a stalled one by the intervals between the chunks a region learned of.
 */
package org.toucanspur.core.weights

private const val INTERVAL_GAIN = 0.1
private const val INTERVALS_PER_STALL = 8

/** Pace of the imports of a region, as one VM sees it. */
internal class ProgressPace(startMillis: Long, private val timeoutMillis: Long) {
    private var lastMillis = startMillis
    private var intervalMillis = 0.0

    /** Notes that the region has learned of a new chunk. */
    fun onProgress(nowMillis: Long) {
        intervalMillis += (nowMillis - lastMillis - intervalMillis) * INTERVAL_GAIN
        lastMillis = nowMillis
    }

    /** Notes a cause for the lack of progress that no other importer could mend. */
    fun excuse(nowMillis: Long) {
        lastMillis = nowMillis
    }

    /** Time that the import of [chunks] takes at the present pace. */
    fun millisFor(chunks: Int): Long = (intervalMillis * chunks).toLong()

    /** Number of timeouts that have passed without progress. */
    fun stalls(nowMillis: Long): Int {
        val stallMillis = maxOf(timeoutMillis.toDouble(), intervalMillis * INTERVALS_PER_STALL)
        return ((nowMillis - lastMillis) / stallMillis).toInt()
    }
}
