/*
 * One entry's share of the request rate that an endpoint in need takes from all entries together.
 * Each entry spaces its own requests so that all of them stay within the rate without
 * coordination. Entries start at random phases, as they learn of a limit at about the same time.
 */
package org.toucanspur.core.gateway

import kotlin.math.ceil
import kotlin.random.Random

/** What a response says about the rate of requests that its endpoint takes. */
sealed interface NamedLimit {
    /** The endpoint takes [perSecond] requests a second from all entries together. */
    data class Rate(val perSecond: Double) : NamedLimit

    /** The endpoint names no limit. */
    data object None : NamedLimit

    /** The limit cannot be read, so that the one known before stays in force. */
    data object Unreadable : NamedLimit
}

/** The limit that one run of an endpoint names. Not thread-safe. */
class EndpointRateLimit(private val random: Random) {
    /** Requests a second from all entries together; null without a limit. */
    var perSecond: Double? = null
        private set

    /** Time of the response that shows whether there is a limit; null if none has come. */
    var observedMillis: Long? = null
        private set

    private var sinceMillis = 0L
    private var liftedMillis: Long? = null
    private var phase = 0.0
    private var periodMillis = 0.0
    private var nextMillis = 0.0

    /** Applies [named], found in the response to a request sent at [sentMillis]. */
    fun onNamed(named: NamedLimit, sentMillis: Long, nowMillis: Long) {
        when (named) {
            is NamedLimit.Rate -> apply(named.perSecond, nowMillis, nowMillis)
            // A response that the endpoint began before it named the limit may arrive after it.
            NamedLimit.None -> if (sentMillis >= sinceMillis) apply(null, nowMillis, nowMillis)
            NamedLimit.Unreadable -> Unit
        }
    }

    /** Applies the limit [reported] by another entry, which observed it at [atMillis]. */
    fun onReported(reported: Double?, atMillis: Long, nowMillis: Long) {
        val known = observedMillis
        if (known == null || atMillis > known) apply(reported, atMillis, nowMillis)
    }

    private fun apply(changed: Double?, atMillis: Long, nowMillis: Long) {
        observedMillis = atMillis
        if (perSecond == null && changed != null) {
            sinceMillis = nowMillis
            phase = random.nextDouble()
            nextMillis = 0.0
        }
        if (perSecond != null && changed == null) liftedMillis = nowMillis
        perSecond = changed
    }

    /** Whether the limit has been lifted in the last seconds. */
    fun isNewlyLifted(nowMillis: Long): Boolean =
        perSecond == null && liftedMillis?.let { nowMillis - it < NEWS_MILLIS } ?: false

    /** Forgets all, for a new run of the endpoint. */
    fun reset() {
        perSecond = null
        observedMillis = null
        liftedMillis = null
        sinceMillis = 0
    }

    /** Time until one of [entryCount] entries may send its next request; 0 if it may send now. */
    fun opensInMillis(entryCount: Int, nowMillis: Long): Long {
        val rate = perSecond ?: return 0
        periodMillis = MILLIS_PER_SECOND * maxOf(1, entryCount) / maxOf(rate, RATE_MIN)
        val firstMillis = sinceMillis + phase * periodMillis
        val earliestMillis = maxOf(nextMillis, firstMillis, nowMillis.toDouble())
        return ceil(turnFrom(earliestMillis, firstMillis) - nowMillis).toLong()
    }

    // Entries that may send rarely do so only at their turn. Otherwise many idle ones would all
    // send at once when the load rises.
    private fun turnFrom(millis: Double, firstMillis: Double): Double {
        if (periodMillis <= TURNS_FROM_MILLIS) return millis
        val inPeriodMillis = (millis - firstMillis) % periodMillis
        return if (inPeriodMillis < TURN_MILLIS) millis else millis + periodMillis - inPeriodMillis
    }

    /** Records that this entry sends a request. */
    fun onSend(nowMillis: Long) {
        if (perSecond == null) return
        nextMillis = maxOf(nextMillis, (nowMillis - BURST_MILLIS).toDouble()) + periodMillis
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        // An endpoint that takes nothing gets a request now and then, as only its responses show
        // that it has recovered.
        const val RATE_MIN = 0.2
        const val BURST_MILLIS = 250L
        const val NEWS_MILLIS = 3000L
        const val TURNS_FROM_MILLIS = 4000.0
        const val TURN_MILLIS = 1000.0
    }
}
