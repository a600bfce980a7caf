/*
 * Limits retries and hedged requests to a share of the traffic, so that the loss of a zone does not
 * cause a retry storm.
 */
package org.toucanspur.core.requests

/** Budget that requests replenish and retries consume. Thread-safe. */
class RetryBudget(private val percent: Int, private val reserve: Int = 10) {
    private var balance = reserve * RETRY_COST

    /** Records a first attempt. */
    @Synchronized
    fun onRequest() {
        balance = minOf(balance + percent, reserve * RETRY_COST * BURST_FACTOR)
    }

    /** Acquires one retry; returns false when the budget is exhausted. */
    @Synchronized
    fun tryRetry(): Boolean {
        if (balance < RETRY_COST) return false
        balance -= RETRY_COST
        return true
    }

    private companion object {
        const val RETRY_COST = 100
        const val BURST_FACTOR = 10
    }
}
