/*
 * Waiting times, budgets and retry delays of requests that wait at an entry, for arrival rates
 * above the capacity and for short interruptions such as a weight load. A request waits only as
 * long as it can still meet its latency target; otherwise it is refused with the time at which a
 * slot is expected. Requests that are already late, because they were refused before and retried
 * by the caller, are served after those that can still be on time.
 */
package org.toucanspur.core.gateway

import kotlin.random.Random

/** Waiting times, first-byte budgets, urgencies and retry delays of queued requests. */
object WaitPolicy {
    /** Share of the latency target that a request may spend in the queue of the entry. */
    private const val WAIT_SHARE = 0.3

    /** Share of its remaining time that a late request may spend in the queue. */
    private const val LATE_WAIT_SHARE = 0.2
    private const val LATE_WAIT_MAX_MILLIS = 800L
    private const val RETRY_MIN_MILLIS = 150.0
    private const val RETRY_MAX_MILLIS = 1800.0
    private const val RETRY_JITTER = 0.6
    private const val REVIEW_PARTS = 8
    private const val HONOURED_PARTS = 3

    // Together with the jitter, the longest delay is just what callers honour.
    private const val UNSPREAD_PART = 0.62
    private const val GOOD_SHARE = 0.6
    private const val SOON_MILLIS = 400.0
    private const val LATER_MILLIS = 1200.0

    // Bursts last seconds; the kinds that get a part only return after those that get all.
    private const val PRIORITY_STEP_MILLIS = 200.0

    /** Maximum queueing time of a request, from its latency target or, if late, remaining time. */
    fun waitMillis(targetMillis: Long, remainingMillis: Long, isOnTime: Boolean): Long =
        if (isOnTime) {
            (targetMillis * WAIT_SHARE).toLong()
        } else {
            minOf((remainingMillis * LATE_WAIT_SHARE).toLong(), LATE_WAIT_MAX_MILLIS)
        }

    /** Maximum predicted time to the first byte at which a request is sent to an endpoint. */
    fun firstByteBudgetMillis(targetMillis: Long, waitedMillis: Long, isOnTime: Boolean): Double {
        val left = (targetMillis - waitedMillis).toDouble()
        return if (isOnTime) left * ON_TIME_SHARE else targetMillis * LATE_BUDGET_SHARE
    }

    /** Urgency at the endpoint, where late requests get the lowest urgency. */
    fun urgency(isOnTime: Boolean, priority: Int): Int =
        if (isOnTime) priority.coerceIn(0, ON_TIME_URGENCY_MAX) else LATE_URGENCY

    /** Order in which waiting requests are served; late ones follow all that can be on time. */
    fun rank(isOnTime: Boolean, priority: Int): Int =
        priority.coerceIn(0, ON_TIME_URGENCY_MAX) + if (isOnTime) 0 else LATE_RANK_MIN

    /**
     * Delay after which a refused caller should retry, given the predicted wait for a slot. If all
     * endpoints take requests only in [opensInMillis], it is not shorter than that.
     */
    fun retryAfterMillis(predictedMillis: Double, random: Random, opensInMillis: Long = 0): Long {
        val base = predictedMillis.coerceIn(RETRY_MIN_MILLIS, RETRY_MAX_MILLIS)
        val spread = base * random.nextDouble() * RETRY_JITTER
        return (maxOf(base, opensInMillis.toDouble()) + spread).toLong()
    }

    /**
     * Time after which a waiting request is refused unless it is expected to be served in time.
     * Callers do not notice a wait of an eighth of their target.
     */
    fun reviewMillis(targetMillis: Long): Long = targetMillis / REVIEW_PARTS

    /**
     * Delay for a caller whose request was refused because others go first. With [share], the part
     * of its kind that is served, callers come back within a second if their next request has a
     * good chance, and otherwise as late as they can; more urgent ones come first. Callers wait at
     * most a third of [remainingMillis], so the delays are spread below that.
     */
    fun sharedRetryAfterMillis(
        share: Double,
        priority: Int,
        remainingMillis: Long,
        random: Random
    ): Long {
        val honoured = maxOf(RETRY_MIN_MILLIS, remainingMillis / HONOURED_PARTS.toDouble())
        val delay = if (share >= GOOD_SHARE) {
            SOON_MILLIS
        } else {
            LATER_MILLIS + minOf(priority, ON_TIME_URGENCY_MAX) * PRIORITY_STEP_MILLIS
        }
        val base = minOf(delay, honoured * UNSPREAD_PART)
        return (base * (1 + random.nextDouble() * RETRY_JITTER)).toLong()
    }

    // The 95th percentile of the prediction error is about a quarter.
    private const val ON_TIME_SHARE = 0.8

    // A late request is sent only where it does not delay requests that can still be on time.
    private const val LATE_BUDGET_SHARE = 0.5
    private const val ON_TIME_URGENCY_MAX = 8
    private const val LATE_URGENCY = 9
}
