/*
 * Bounds retries and hedges to a share of the traffic, so that a zone that leaves causes no storm.
 */
package org.toucanspur.core.requests

/** A budget that requests fill and retries drain. Safe for use by several threads. */
class RetryBudget(private val percent: Int, private val reserve: Int = 10) {
    private var hundredths = reserve * FULL

    /** Notes a first attempt. */
    @Synchronized
    fun onRequest() {
        hundredths = minOf(hundredths + percent, reserve * FULL * BURST_FACTOR)
    }

    /** Takes the right to one retry; returns false when the budget is spent. */
    @Synchronized
    fun tryRetry(): Boolean {
        if (hundredths < FULL) return false
        hundredths -= FULL
        return true
    }

    private companion object {
        const val FULL = 100
        const val BURST_FACTOR = 10
    }
}
