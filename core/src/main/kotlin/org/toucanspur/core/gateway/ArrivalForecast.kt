/*
 * What one of many entries expects the others to have sent to an engine since its last report. The
 * load: 13 entries that read the same reports, whose state is 200 to 525 ms old, while an engine
 * gets about three requests in that time. See docs/design/placement-by-many-entries.md.
 */
package org.toucanspur.core.gateway

import kotlin.math.exp
import org.toucanspur.schema.RegionId

private const val MILLIS_PER_SECOND = 1000.0

/**
 * Number of entries from which each one expects requests of the others. Up to five entries get
 * reports at least every 125 ms.
 */
const val SHARING_ENTRIES_MIN = 6

/** Age of an engine's own report when its agent reads it. */
const val ENGINE_REPORT_AGE_MILLIS = 200L

/** Amounts of about the last 1.3 s, of which the sum since a given time can be read. */
class RecentAmounts {
    private val amounts = FloatArray(BUCKETS)
    private var newest = Long.MIN_VALUE / 2

    /** Adds [amount] at [nowMillis]. */
    fun add(amount: Double, nowMillis: Long) {
        val bucket = nowMillis / BUCKET_MILLIS
        if (bucket - newest >= BUCKETS) amounts.fill(0f)
        val firstUnused = maxOf(newest + 1, bucket - BUCKETS + 1)
        for (unused in firstUnused..bucket) amounts[index(unused)] = 0f
        newest = maxOf(newest, bucket)
        amounts[index(newest)] += amount.toFloat()
    }

    /** Sum of the amounts since [sinceMillis], to within 20 ms. */
    fun since(sinceMillis: Long): Double {
        var sum = 0.0
        val first = maxOf(sinceMillis / BUCKET_MILLIS + 1, newest - BUCKETS + 1)
        for (bucket in first..newest) sum += amounts[index(bucket)]
        return sum
    }

    private fun index(bucket: Long): Int = Math.floorMod(bucket, BUCKETS)

    private companion object {
        const val BUCKET_MILLIS = 20L

        // Requests that were sent earlier have mostly ended; a stream takes about 1.5 s.
        const val BUCKETS = 64
    }
}

/** Requests that this entry sends to one service. Not thread-safe. */
class ServiceArrivals {
    private var decayed = 0.0
    private var updatedMillis = 0L
    private val forecastMillis = HashMap<RegionId?, Long>()

    /** Records that a request is sent. */
    fun onSend(nowMillis: Long) {
        decayed = decayed * remaining(nowMillis) + 1
        updatedMillis = maxOf(updatedMillis, nowMillis)
    }

    /** Requests that this entry has sent per second, averaged over about a second. */
    fun perSecond(nowMillis: Long): Double =
        decayed * remaining(nowMillis) * MILLIS_PER_SECOND / AVERAGE_MILLIS

    /**
     * Time since the last forecast for the endpoints in [region], which this call replaces; 0 as
     * long as it is too short to be worth a new one.
     */
    fun takeForecastMillis(region: RegionId?, nowMillis: Long): Long {
        val last = forecastMillis[region] ?: (nowMillis - FORECAST_MAX_MILLIS)
        if (nowMillis - last < FORECAST_MIN_MILLIS) return 0
        forecastMillis[region] = nowMillis
        return minOf(nowMillis - last, FORECAST_MAX_MILLIS)
    }

    private fun remaining(nowMillis: Long) =
        exp(-maxOf(0, nowMillis - updatedMillis) / AVERAGE_MILLIS)

    private companion object {
        const val AVERAGE_MILLIS = 1000.0

        // An entry places up to 40 requests a second, and asks for placement every 20 ms while some
        // wait. More forecasts would only cost time.
        const val FORECAST_MIN_MILLIS = 10L
        const val FORECAST_MAX_MILLIS = 300L
    }
}

/** Requests to one engine since the state that its last report shows. Not thread-safe. */
class EndpointArrivals {
    private val own = RecentAmounts()
    private val others = RecentAmounts()

    /** Records that this entry sends a request. */
    fun onSend(nowMillis: Long) = own.add(1.0, nowMillis)

    /** Records that the other entries are expected to have sent [requests]. */
    fun onExpected(requests: Double, nowMillis: Long) = others.add(requests, nowMillis)

    /** Requests that this entry has sent since [sinceMillis]. */
    fun ownSince(sinceMillis: Long): Int = own.since(sinceMillis).toInt()

    /** Mean number of requests of this entry in flight, if each takes [millis]. */
    fun meanOwn(millis: Double, nowMillis: Long): Double =
        own.since(nowMillis - MEAN_MILLIS) * millis / MEAN_MILLIS

    /**
     * Expected requests at the engine, of which [ownInFlight] are from this entry, if [reported]
     * were there [ageMillis] ago. Those of other entries end after [responseMillis] on average.
     */
    fun expectedRequests(
        reported: Int,
        ownInFlight: Int,
        ageMillis: Long,
        responseMillis: Double,
        nowMillis: Long
    ): Double {
        val reportedMillis = nowMillis - ageMillis
        val ownReported = ownInFlight - ownSince(reportedMillis)
        val remaining = maxOf(0, reported - ownReported) * exp(-ageMillis / responseMillis)
        return ownInFlight + remaining + others.since(reportedMillis)
    }

    private companion object {
        const val MEAN_MILLIS = 1200L
    }
}
