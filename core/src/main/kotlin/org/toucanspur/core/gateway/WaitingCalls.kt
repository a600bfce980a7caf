/*
 * Requests that wait at an entry for a place at an endpoint. Load pattern: arrivals above what the
 * endpoints bear, and short gaps such as a load of new weights. A request waits only as long as it
 * can still be on time; later ones are refused with the time at which a place is expected. Those
 * that are late already (they were refused before and came back) wait longer, behind those that
 * can still be on time.
 */
package org.toucanspur.core.gateway

import kotlin.random.Random

/** A request that waits; [untilMillis] is the time at which it is refused. */
interface WaitingCall {
    val untilMillis: Long

    /** Whether the request can still be answered on time. */
    val isOnTime: Boolean
}

/** Bounded waiting room; not safe for use by several threads. */
class WaitingCalls<T : WaitingCall>(private val sizeMax: Int) {
    private val onTime = ArrayDeque<T>()
    private val late = ArrayDeque<T>()

    /** Number of requests that wait. */
    val size: Int get() = onTime.size + late.size

    /** Adds a request; returns false when the room is full. */
    fun add(call: T): Boolean {
        if (size >= sizeMax) return false
        (if (call.isOnTime) onTime else late).addLast(call)
        return true
    }

    /** Removes a request that has ended by itself. */
    fun remove(call: T): Boolean = onTime.remove(call) || late.remove(call)

    /** Removes and returns the requests whose time is over at [nowMillis]. */
    fun takeOverdue(nowMillis: Long): List<T> {
        val overdue = (onTime + late).filter { it.untilMillis <= nowMillis }
        overdue.forEach(::remove)
        return overdue
    }

    /**
     * Offers each request in turn to [place], which returns true when it was placed. A request
     * that finds no place does not hold up those behind it, which may need other endpoints.
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

/** Times for which requests wait and come back. */
object WaitPolicy {
    /** Part of the target that a request may spend waiting at the entry. */
    private const val WAIT_SHARE = 0.3

    /** Part of the remaining time that a late request may wait. */
    private const val LATE_WAIT_SHARE = 0.2
    private const val LATE_WAIT_MAX_MILLIS = 800L
    private const val RETRY_MIN_MILLIS = 150.0
    private const val RETRY_MAX_MILLIS = 1800.0
    private const val RETRY_SPREAD = 0.6

    /** Longest wait of a request that can be on time within [targetMillis]. */
    fun waitMillis(targetMillis: Long, remainingMillis: Long, isOnTime: Boolean): Long =
        if (isOnTime) {
            (targetMillis * WAIT_SHARE).toLong()
        } else {
            minOf((remainingMillis * LATE_WAIT_SHARE).toLong(), LATE_WAIT_MAX_MILLIS)
        }

    /** Longest predicted time to the first byte with which a request is sent. */
    fun firstByteBudgetMillis(targetMillis: Long, waitedMillis: Long, isOnTime: Boolean): Double {
        val left = (targetMillis - waitedMillis).toDouble()
        return if (isOnTime) left * ON_TIME_SHARE else targetMillis * LATE_BUDGET_SHARE
    }

    /** Urgency at the endpoint: requests that are late already let the others pass. */
    fun urgency(isOnTime: Boolean, priority: Int): Int =
        if (isOnTime) priority.coerceIn(0, ON_TIME_URGENCY_MAX) else LATE_URGENCY

    /** When a refused caller should come back, given the predicted wait for a place. */
    fun retryAfterMillis(predictedMillis: Double, random: Random): Long {
        val base = predictedMillis.coerceIn(RETRY_MIN_MILLIS, RETRY_MAX_MILLIS)
        return (base * (1 + random.nextDouble() * RETRY_SPREAD)).toLong()
    }

    // The prediction is off by about a quarter at the 95th percentile.
    private const val ON_TIME_SHARE = 0.8

    // A late request is sent where it holds up nobody who can still be on time.
    private const val LATE_BUDGET_SHARE = 0.5
    private const val ON_TIME_URGENCY_MAX = 8
    private const val LATE_URGENCY = 9
}
