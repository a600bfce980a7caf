/*
 * Limits retries and hedged requests to a share of the traffic, so that the loss of a zone does not
 * cause a retry storm.
 */
package org.toucanspur.core.requests

/** Budget that requests replenish and retries consume. Thread-safe. */
class RetryBudget(private val percent: Int, private val reserve: Int = 10) {
    private var balanceHundredths = reserve * RETRY_COST

    /** Records a first attempt. */
    @Synchronized
    fun onRequest() {
        balanceHundredths = minOf(balanceHundredths + percent, reserve * RETRY_COST * BURST_FACTOR)
    }

    /** Acquires one retry; returns false when the budget is exhausted. */
    @Synchronized
    fun tryRetry(): Boolean {
        if (balanceHundredths < RETRY_COST) return false
        balanceHundredths -= RETRY_COST
        return true
    }

    private companion object {
        const val RETRY_COST = 100
        const val BURST_FACTOR = 10
    }
}
