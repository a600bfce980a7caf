/*
 * Queue of requests at an entry that wait for a free slot at an endpoint, for arrival rates above
 * the capacity and for short interruptions such as a weight load. A request waits only as long as
 * it can still meet its latency target; otherwise it is refused with the time at which a slot is
 * expected. Requests that are already late, because they were refused before and retried by the
 * caller, wait longer and are served after those that can still be on time.
 */
package org.toucanspur.core.gateway

import kotlin.random.Random

/** A queued request, which is refused at [untilMillis]. */
interface QueuedCall {
    val untilMillis: Long

    /** Whether the request can still meet its latency target. */
    val isOnTime: Boolean
}

/** Bounded two-level queue. Not thread-safe. */
class CallQueue<T : QueuedCall>(private val sizeMax: Int) {
    private val onTime = ArrayDeque<T>()
    private val late = ArrayDeque<T>()

    /** Number of queued requests. */
    val size: Int get() = onTime.size + late.size

    /** Adds a request; returns false when the queue is full. */
    fun add(call: T): Boolean {
        if (size >= sizeMax) return false
        (if (call.isOnTime) onTime else late).addLast(call)
        return true
    }

    /** Removes a request that ended while it was queued; returns false when it is not queued. */
    fun remove(call: T): Boolean = onTime.remove(call) || late.remove(call)

    /** Removes and returns the requests whose waiting time has expired at [nowMillis]. */
    fun removeExpired(nowMillis: Long): List<T> {
        val expired = (onTime + late).filter { it.untilMillis <= nowMillis }
        expired.forEach(::remove)
        return expired
    }

    /**
     * Passes each request in order to [place], which returns true when the request was placed. A
     * request that cannot be placed does not block the following ones, which may use other
     * endpoints.
     */
    fun drain(place: (T) -> Boolean) {
        drain(onTime, place)
        drain(late, place)
    }

    private fun drain(queue: ArrayDeque<T>, place: (T) -> Boolean) {
        val iterator = queue.toList().iterator()
        while (iterator.hasNext()) {
            val call = iterator.next()
            if (place(call)) queue.remove(call)
        }
    }
}

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

    /**
     * Delay after which a refused caller should retry, given the predicted wait for a slot. If all
     * endpoints take requests only in [opensInMillis], it is not shorter than that.
     */
    fun retryAfterMillis(predictedMillis: Double, random: Random, opensInMillis: Long = 0): Long {
        val base = predictedMillis.coerceIn(RETRY_MIN_MILLIS, RETRY_MAX_MILLIS)
        val spread = base * random.nextDouble() * RETRY_JITTER
        return (maxOf(base, opensInMillis.toDouble()) + spread).toLong()
    }

    // The 95th percentile of the prediction error is about a quarter.
    private const val ON_TIME_SHARE = 0.8

    // A late request is sent only where it does not delay requests that can still be on time.
    private const val LATE_BUDGET_SHARE = 0.5
    private const val ON_TIME_URGENCY_MAX = 8
    private const val LATE_URGENCY = 9
}
