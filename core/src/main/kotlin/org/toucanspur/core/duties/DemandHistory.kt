/*
 * Demand on a service over the last minute, in endpoints. A level that holds for some seconds is
 * told from a burst, which ends before a new endpoint could serve.
 */
package org.toucanspur.core.duties

/** Samples of the demand. Not thread-safe. */
class DemandHistory {
    private val samples = ArrayDeque<Sample>()

    /** Time of the first demand; null before it. */
    var startMillis: Long? = null
        private set

    /** Adds the demand at [nowMillis], in endpoints that it would keep busy all the time. */
    fun add(endpoints: Double, nowMillis: Long) {
        if (startMillis == null && endpoints > 0) startMillis = nowMillis
        samples.addLast(Sample(nowMillis, endpoints))
        while (nowMillis - samples.first().millis > KEPT_MILLIS) samples.removeFirst()
    }

    /**
     * Demand that is exceeded for a share of 1 - [quantile] of [lengthMillis] up to [endMillis];
     * null unless there are samples for most of that time.
     */
    fun level(endMillis: Long, lengthMillis: Long, quantile: Double): Double? {
        val within = samples.filter {
            it.millis > endMillis - lengthMillis && it.millis <= endMillis
        }
        if (within.size < 2) return null
        val coveredMillis = within.last().millis - within.first().millis
        if (coveredMillis < lengthMillis * COVERED_SHARE) return null
        val sorted = within.map { it.endpoints }.sorted()
        return sorted[((sorted.size - 1) * quantile).toInt()]
    }

    private class Sample(val millis: Long, val endpoints: Double)

    private companion object {
        const val KEPT_MILLIS = 60_000L
        const val COVERED_SHARE = 0.6
    }
}
