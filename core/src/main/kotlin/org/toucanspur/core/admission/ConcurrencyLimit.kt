/*
 * The number of requests that an endpoint bears. It starts at the cold limit and grows with the
 * requests that the endpoint completes in good time, not with time alone. A cold sign (a new life
 * of the engine, a changed release, a first token far later than usual) brings it back at once.
 */
package org.toucanspur.core.admission

/** Limits and thresholds of one endpoint. */
data class ConcurrencyLimitSettings(
    val coldLimit: Int,
    val warmLimit: Int,
    val slowFactor: Double = 4.0,
    val slowFloorMillis: Long = 50
)

/** Tracks the limit of one endpoint. Not safe for use by several threads. */
class ConcurrencyLimit(private var settings: ConcurrencyLimitSettings) {
    private var grown = settings.coldLimit.toDouble()
    private var baselineMillis = 0.0

    /** Requests that may run at once now. */
    val current: Int get() = grown.toInt().coerceIn(1, settings.warmLimit)

    /** Whether the endpoint has reached its warm limit. */
    val isWarm: Boolean get() = current == settings.warmLimit

    /**
     * Records a completed request and its time to the first byte. Returns true when the answer was
     * so late that the endpoint must be taken for cold.
     */
    fun onCompleted(firstByteMillis: Long): Boolean {
        if (isFarOff(firstByteMillis)) {
            reset()
            return true
        }
        baselineMillis = if (baselineMillis == 0.0) {
            firstByteMillis.toDouble()
        } else {
            baselineMillis + (firstByteMillis - baselineMillis) * BASELINE_GAIN
        }
        grown = minOf(settings.warmLimit.toDouble(), grown + 1)
        return false
    }

    /** Takes over changed settings; what the endpoint has proved so far is kept. */
    fun configure(changed: ConcurrencyLimitSettings) {
        settings = changed
        grown = grown.coerceIn(changed.coldLimit.toDouble(), changed.warmLimit.toDouble())
    }

    /** Returns to the cold limit. */
    fun reset() {
        grown = settings.coldLimit.toDouble()
    }

    private fun isFarOff(firstByteMillis: Long): Boolean {
        val bound = maxOf(settings.slowFloorMillis.toDouble(), baselineMillis * settings.slowFactor)
        return isWarmedUp() && firstByteMillis > bound
    }

    private fun isWarmedUp(): Boolean = baselineMillis > 0.0 && grown > settings.coldLimit

    private companion object {
        const val BASELINE_GAIN = 0.1
    }
}
