/*
 * Estimators from which learned times of endpoints are built. Each observation costs constant time
 * and memory, and no estimator needs a timer: age is applied when a value is read.
 */
package org.toucanspur.core.gateway

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow

/**
 * Estimates the quantile [share] of a positive quantity by stochastic approximation on a
 * logarithmic scale. An observation moves the estimate by a bounded step, so single outliers have
 * little effect, and one that is only known to exceed the estimate counts fully.
 */
class QuantileEstimate(
    private val share: Double,
    start: Double,
    private val stepMax: Double = STEP_MAX,
    private val stepMin: Double = STEP_MIN
) {
    private var logValue = ln(start)
    private var count = 0

    /** Current estimate. */
    val value: Double get() = exp(logValue)

    /** Whether enough observations have been made to compare others with the estimate. */
    val isSettled: Boolean get() = count >= SETTLED_COUNT

    /** Applies an observed [quantity]. */
    fun observe(quantity: Double) {
        count = minOf(count + 1, COUNT_MAX)
        val step = maxOf(stepMin, stepMax / count)
        logValue += if (quantity > value) step * share * 2 else -step * (1 - share) * 2
    }

    /** Replaces the estimate by [quantity]. */
    fun startAt(quantity: Double) {
        logValue = ln(quantity)
    }

    /** Applies an observed [quantity]; the first one replaces the start value. */
    fun observeFromFirst(quantity: Double) {
        if (count > 0) {
            observe(quantity)
        } else {
            startAt(quantity)
            count = 1
        }
    }

    /** Keeps the estimate within [range]. */
    fun coerceIn(range: ClosedFloatingPointRange<Double>) {
        logValue = logValue.coerceIn(ln(range.start), ln(range.endInclusive))
    }

    private companion object {
        const val STEP_MAX = 0.4

        // A change of a whole service to 2.5 times its time is followed within 50 responses.
        const val STEP_MIN = 0.02
        const val COUNT_MAX = 1000
        const val SETTLED_COUNT = 10
    }
}

/**
 * Ratio of measured to expected time, which rises on high observations, falls more slowly on usual
 * ones and returns to 1 with age. A single high observation does not reach the level at which an
 * endpoint counts as slow ([SLOW_RATIO]); the second one in a row, within a half-life, does. Not
 * thread-safe.
 */
class DecayingRatio(private val halfLifeMillis: Double) {
    private var level = 0.0
    private var updatedMillis = 0L
    private var wasHigh = false

    /** Logarithm of the ratio at [nowMillis]. */
    fun logAt(nowMillis: Long): Double =
        level * 2.0.pow(-maxOf(0, nowMillis - updatedMillis) / halfLifeMillis)

    /** Applies an observation; one that is not [isSound] can only raise the ratio. */
    fun observe(ratio: Double, nowMillis: Long, isSound: Boolean = true) {
        val current = logAt(nowMillis)
        val observed = ln(ratio.coerceIn(RATIO_MIN, RATIO_MAX))
        if (!isSound && observed <= current) return
        val isHigh = observed > ln(SLOW_RATIO)
        val isRepeated = isHigh && wasHigh && nowMillis - updatedMillis < halfLifeMillis
        val weight = when {
            observed <= current -> FALL_WEIGHT
            isRepeated -> REPEATED_RISE_WEIGHT
            else -> RISE_WEIGHT
        }
        level = current + (observed - current) * weight
        updatedMillis = nowMillis
        wasHigh = isHigh
    }

    companion object {
        /** Ratio from which an endpoint counts as slower than usual. */
        const val SLOW_RATIO = 1.25
        private const val RATIO_MIN = 0.5
        private const val RATIO_MAX = 4.0

        // One observation of RATIO_MAX gives a ratio of 1.23.
        private const val RISE_WEIGHT = 0.15
        private const val REPEATED_RISE_WEIGHT = 0.7
        private const val FALL_WEIGHT = 0.2
    }
}

/**
 * Concurrency up to which the responses of an endpoint take their usual time. It decreases by a
 * factor when responses at or above it take clearly longer than those of the same endpoint under
 * light load, and increases by one for each round of responses that do not. Not thread-safe.
 */
class ConcurrencyEstimate {
    private var limit = Double.MAX_VALUE
    private var changedMillis = 0L
    private var lightLog = 0.0
    private var heavyLog = 0.0

    /** Number of concurrent requests that the endpoint handles well, [slots] at most. */
    fun limit(slots: Int, nowMillis: Long): Double {
        if (limit >= slots) return slots.toDouble()
        val age = maxOf(0, nowMillis - changedMillis)
        return minOf(slots.toDouble(), limit * 2.0.pow(age / DOUBLING_MILLIS))
    }

    /** Applies the [ratio] to the usual time of a response sent as one of [concurrency]. */
    fun observe(ratio: Double, concurrency: Int, slots: Int, nowMillis: Long) {
        val current = limit(slots, nowMillis)
        val observed = ln(ratio.coerceIn(RATIO_MIN, RATIO_MAX))
        if (concurrency <= maxOf(1.0, current * LIGHT_SHARE)) {
            lightLog += (observed - lightLog) * LIGHT_WEIGHT
            return
        }
        heavyLog += (observed - lightLog - heavyLog) * HEAVY_WEIGHT
        if (heavyLog > ln(RISEN_RATIO)) {
            limit = maxOf(1.0, minOf(current, concurrency.toDouble()) * DECREASE)
            changedMillis = nowMillis
            heavyLog /= 2
        } else if (limit < slots && concurrency + 1 > current && heavyLog < ln(USUAL_RATIO)) {
            limit = current + 1 / current
            changedMillis = nowMillis
        }
    }

    private companion object {
        const val RATIO_MIN = 0.5
        const val RATIO_MAX = 3.0
        const val LIGHT_SHARE = 0.5
        const val LIGHT_WEIGHT = 0.1
        const val HEAVY_WEIGHT = 0.15
        const val RISEN_RATIO = 1.5
        const val USUAL_RATIO = 1.2
        const val DECREASE = 0.85

        // Finds out in about half a minute that an endpoint handles all its slots well again.
        const val DOUBLING_MILLIS = 15_000.0
    }
}
