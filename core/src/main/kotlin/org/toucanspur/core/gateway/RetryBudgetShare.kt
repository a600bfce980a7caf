/*
 * One entry's share of the retry budget of a service. When endpoints fail many requests at once,
 * retries of retries would double the load on the remaining ones. Each entry may use the ratio of
 * its own requests and an equal part of the fixed allowance, so that all entries together stay
 * within the budget without coordination.
 */
package org.toucanspur.core.gateway

/** Retry budget of a service over a sliding window. */
data class RetryBudgetLimits(val ratio: Double, val windowMillis: Long, val allowance: Int)

/** Retries of one service at one entry. */
class RetryBudgetShare(private val limits: RetryBudgetLimits) {
    private val requests = SlidingWindowCounter(limits.windowMillis)
    private val retries = SlidingWindowCounter(limits.windowMillis)

    /** Records a request of a caller. */
    fun onRequest(nowMillis: Long) = requests.add(nowMillis)

    /**
     * Acquires one retry, with [entryCount] entries sharing the allowance. Less urgent requests may
     * use only the [usablePart] of the budget under contention, so that the rest is left for urgent
     * ones.
     */
    fun tryAcquire(nowMillis: Long, entryCount: Int, usablePart: Double = 1.0): Boolean {
        if (!hasRoom(nowMillis, entryCount, usablePart)) return false
        retries.add(nowMillis)
        return true
    }

    /** Whether a retry would be allowed now; see [tryAcquire]. */
    fun hasRoom(nowMillis: Long, entryCount: Int, usablePart: Double = 1.0): Boolean {
        val limit = requests.count(nowMillis) * limits.ratio * RATIO_USABLE_SHARE +
            limits.allowance * ALLOWANCE_USABLE_SHARE / maxOf(1, entryCount)
        return retries.count(nowMillis) + 1 <= limit * usablePart
    }

    private companion object {
        // Headroom for requests that arrive unevenly over a window, and for windows that end
        // between the readings of two entries.
        const val RATIO_USABLE_SHARE = 0.8
        const val ALLOWANCE_USABLE_SHARE = 0.8
    }
}

/** Counts the events of the last [windowMillis] with a resolution of a sixteenth of the window. */
class SlidingWindowCounter(private val windowMillis: Long) {
    private val bucketMillis = maxOf(1, windowMillis / BUCKETS)
    private val counts = IntArray(BUCKETS + 1)
    private var newestBucket = Long.MIN_VALUE
    private var total = 0

    /** Records an event. */
    fun add(nowMillis: Long) {
        advance(nowMillis)
        counts[bucketIndex(newestBucket)]++
        total++
    }

    /** Number of events within the window that ends at [nowMillis]. */
    fun count(nowMillis: Long): Int {
        advance(nowMillis)
        return total
    }

    private fun advance(nowMillis: Long) {
        val bucket = nowMillis / bucketMillis
        if (newestBucket == Long.MIN_VALUE || bucket - newestBucket > BUCKETS) {
            counts.fill(0)
            total = 0
            newestBucket = bucket
        }
        while (newestBucket < bucket) {
            newestBucket++
            total -= counts[bucketIndex(newestBucket)]
            counts[bucketIndex(newestBucket)] = 0
        }
    }

    private fun bucketIndex(bucket: Long): Int =
        Math.floorMod(bucket, (BUCKETS + 1).toLong()).toInt()

    private companion object {
        const val BUCKETS = 16
    }
}
