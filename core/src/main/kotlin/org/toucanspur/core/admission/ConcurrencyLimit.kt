/*
 * Adaptive concurrency limit of an endpoint. Starts at the cold limit and grows with the requests
 * that the endpoint completes at normal latency, not with time alone. A sign that the endpoint is
 * cold (an engine restart, a changed release, a first token far later than usual) resets it
 * immediately.
 */
package org.toucanspur.core.admission

/** Limits and latency thresholds of one endpoint. */
data class ConcurrencyLimitSettings(
    val coldLimit: Int,
    val warmLimit: Int,
    val slowFactor: Double = 4.0,
    val slowFloorMillis: Long = 50
)

/** Tracks the concurrency limit of one endpoint. Not thread-safe. */
class ConcurrencyLimit(private var settings: ConcurrencyLimitSettings) {
    private var limit = settings.coldLimit.toDouble()
    private var baselineMillis = 0.0

    /** Number of requests that may currently run concurrently. */
    val current: Int get() = limit.toInt().coerceIn(1, settings.warmLimit)

    /** Whether the endpoint has reached its warm limit. */
    val isWarm: Boolean get() = current == settings.warmLimit

    /**
     * Records a completed request and its time to the first byte. Returns true when the response
     * was so late that the endpoint is considered cold.
     */
    fun onCompleted(firstByteMillis: Long): Boolean {
        if (isLatencyOutlier(firstByteMillis)) {
            reset()
            return true
        }
        baselineMillis = if (baselineMillis == 0.0) {
            firstByteMillis.toDouble()
        } else {
            baselineMillis + (firstByteMillis - baselineMillis) * BASELINE_SMOOTHING
        }
        limit = minOf(settings.warmLimit.toDouble(), limit + 1)
        return false
    }

    /** Applies changed settings and keeps the limit reached so far within the new range. */
    fun configure(changed: ConcurrencyLimitSettings) {
        settings = changed
        limit = limit.coerceIn(changed.coldLimit.toDouble(), changed.warmLimit.toDouble())
    }

    /** Resets the limit to the cold limit. */
    fun reset() {
        limit = settings.coldLimit.toDouble()
    }

    private fun isLatencyOutlier(firstByteMillis: Long): Boolean {
        val threshold =
            maxOf(settings.slowFloorMillis.toDouble(), baselineMillis * settings.slowFactor)
        return isWarmedUp() && firstByteMillis > threshold
    }

    private fun isWarmedUp(): Boolean = baselineMillis > 0.0 && limit > settings.coldLimit

    private companion object {
        const val BASELINE_SMOOTHING = 0.1
    }
}
