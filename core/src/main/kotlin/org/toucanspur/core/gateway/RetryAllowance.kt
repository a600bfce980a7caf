/*
 * The share of one entry in the budget of repeated sends. Load pattern: endpoints that fail many
 * requests at once, where repeats of repeats would double the load on what is left. Each entry
 * may use the ratio on its own requests, and an equal part of the fixed allowance; the sum over
 * all entries then keeps to the budget of the service without any exchange between them.
 */
package org.toucanspur.core.gateway

/** Budget of a service over a sliding window. */
data class RetryBudgetLimits(val ratio: Double, val windowMillis: Long, val allowance: Int)

/** Repeated sends of one service at one entry. */
class RetryAllowance(private val limits: RetryBudgetLimits) {
    private val requests = SlidingCount(limits.windowMillis)
    private val repeats = SlidingCount(limits.windowMillis)

    /** Notes a request of a caller. */
    fun onRequest(nowMillis: Long) = requests.add(nowMillis)

    /** Takes the right to one repeated send, with [entries] entries sharing the allowance. */
    fun tryTake(nowMillis: Long, entries: Int): Boolean {
        if (!hasRoom(nowMillis, entries)) return false
        repeats.add(nowMillis)
        return true
    }

    /** Whether a repeated send would be allowed now. */
    fun hasRoom(nowMillis: Long, entries: Int): Boolean {
        val limit = requests.count(nowMillis) * limits.ratio * RATIO_USED +
            limits.allowance * ALLOWANCE_USED / maxOf(1, entries)
        return repeats.count(nowMillis) + 1 <= limit
    }

    private companion object {
        // Requests that arrive unevenly over a window, and windows that end between two entries'
        // readings, may not use up the rest.
        const val RATIO_USED = 0.8
        const val ALLOWANCE_USED = 0.8
    }
}

/** Counts events of the last [windowMillis], to a sixteenth of the window. */
class SlidingCount(private val windowMillis: Long) {
    private val bucketMillis = maxOf(1, windowMillis / BUCKETS)
    private val counts = IntArray(BUCKETS + 1)
    private var newest = Long.MIN_VALUE
    private var total = 0

    /** Notes an event. */
    fun add(nowMillis: Long) {
        advance(nowMillis)
        counts[slot(newest)]++
        total++
    }

    /** Events within the window that ends at [nowMillis]. */
    fun count(nowMillis: Long): Int {
        advance(nowMillis)
        return total
    }

    private fun advance(nowMillis: Long) {
        val bucket = nowMillis / bucketMillis
        if (newest == Long.MIN_VALUE || bucket - newest > BUCKETS) {
            counts.fill(0)
            total = 0
            newest = bucket
        }
        while (newest < bucket) {
            newest++
            total -= counts[slot(newest)]
            counts[slot(newest)] = 0
        }
    }

    private fun slot(bucket: Long): Int = Math.floorMod(bucket, (BUCKETS + 1).toLong()).toInt()

    private companion object {
        const val BUCKETS = 16
    }
}
