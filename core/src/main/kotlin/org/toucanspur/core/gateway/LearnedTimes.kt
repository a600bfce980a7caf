/*
 * What an entry learns about the speed of the endpoints of a service from their responses: the
 * usual times of the service, and how far each endpoint deviates from them. Comparing endpoints
 * with the service makes the result independent of errors that affect all endpoints alike, such as
 * a wrong model of the engine. See docs/design/learned-endpoints.md.
 */
package org.toucanspur.core.gateway

import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.roundToLong

/** Usual times of the endpoints of one service. Not thread-safe. */
class ServiceTimes(
    /** Whether decisions use learned values instead of the initial ones. */
    val isLearning: Boolean = true
) {
    private val call = QuantileEstimate(MEDIAN, DEFAULT_CALL_MILLIS)

    // Relative to the median, so that it follows a change of the whole service at once.
    private val tail = QuantileEstimate(
        TAIL,
        STALL_MIN_MILLIS / DEFAULT_CALL_MILLIS,
        TAIL_STEP,
        TAIL_STEP
    )
    private val gap = QuantileEstimate(MEDIAN, 1.0)
    private val firstEvent = QuantileEstimate(MEDIAN, 1.0)

    /** Typical duration of a call to a service without a model engine. */
    val callMillis: Double get() = if (isLearning) call.value else DEFAULT_CALL_MILLIS

    /** Duration that few calls to a service without a model engine exceed. */
    val tailMillis: Long
        get() = if (isLearning) (call.value * tail.value).roundToLong() else STALL_MIN_MILLIS

    /** Typical time between two events of a stream; null while it is unknown. */
    val gapMillis: Double? get() = gap.value.takeIf { gap.isSettled }

    /** Duration with which calls of endpoints are compared; null while it is unknown. */
    val comparableCallMillis: Double? get() = call.value.takeIf { call.isSettled }

    /** Typical ratio of the time to the first event to the prediction; null while it is unknown. */
    val firstEventRatio: Double? get() = firstEvent.value.takeIf { firstEvent.isSettled }

    /** Records that a call took [millis], or at least as long if it was moved elsewhere. */
    fun onCall(millis: Double) {
        // Until the median is known, the tail stays at its initial value.
        if (call.isSettled) {
            tail.observe(millis / call.value)
        } else {
            tail.startAt(STALL_MIN_MILLIS / call.value)
        }
        tail.coerceIn(TAIL_RATIO_MIN..TAIL_RATIO_MAX)
        call.observeFromFirst(millis)
        call.coerceIn(CALL_MIN_MILLIS..CALL_MAX_MILLIS)
    }

    /** Records the time between two events of a stream. */
    fun onGap(millis: Double) = gap.observeFromFirst(millis)

    /** Records the [ratio] of a time to the first event to its prediction. */
    fun onFirstEvent(ratio: Double) = firstEvent.observeFromFirst(ratio)

    private companion object {
        const val MEDIAN = 0.5

        // One call in a hundred regularly takes five times as long and must not be moved.
        const val TAIL = 0.998
        const val TAIL_STEP = 0.04
        const val TAIL_RATIO_MIN = 3.0
        const val TAIL_RATIO_MAX = 20.0
        const val CALL_MIN_MILLIS = 1.0
        const val CALL_MAX_MILLIS = 10_000.0

        // Typical duration of a call before any has been observed.
        const val DEFAULT_CALL_MILLIS = 20.0

        // Stall time before any call has been observed.
        const val STALL_MIN_MILLIS = 150L
    }
}

/** Deviation of one run of an endpoint from the usual times of its service. Not thread-safe. */
class EndpointTimes(private val service: ServiceTimes) {
    private var responses = DecayingRatio(RESPONSE_HALF_LIFE_MILLIS)
    private var gaps = DecayingRatio(GAP_HALF_LIFE_MILLIS)
    private var concurrency = ConcurrencyEstimate()
    private var streams = 0
    private var lastEventMillis = 0L
    private var lastGapMillis = 0L
    private var run = 0
    private var slowdown = 1.0
    private var slowdownMillis = Long.MIN_VALUE
    private var isReportedSlow = false
    private var reportedMillis = Long.MIN_VALUE / 2

    /** Forgets all, for a new run of the endpoint. */
    fun reset() {
        responses = DecayingRatio(RESPONSE_HALF_LIFE_MILLIS)
        gaps = DecayingRatio(GAP_HALF_LIFE_MILLIS)
        concurrency = ConcurrencyEstimate()
        streams = 0
        run++
        onChanged()
    }

    /** Times an attempt that is [expectedMillis] long by the model and one of [concurrent]. */
    fun begin(
        isStream: Boolean,
        expectedMillis: Double,
        concurrent: Int,
        slots: Int,
        sentMillis: Long
    ): AttemptTiming = Attempt(isStream, expectedMillis, concurrent, slots, sentMillis)

    /**
     * Factor by which the endpoint is slower than usual at [nowMillis]; 1 within the usual
     * variation.
     */
    fun slowdown(nowMillis: Long): Double {
        if (!service.isLearning) return 1.0
        // All waiting calls are placed at one time, so most reads of a drain repeat the last one.
        if (nowMillis != slowdownMillis) {
            slowdown = computeSlowdown(nowMillis)
            slowdownMillis = nowMillis
        }
        return slowdown
    }

    private fun computeSlowdown(nowMillis: Long): Double {
        val measured = maxOf(responses.logAt(nowMillis), gaps.logAt(nowMillis))
        val log = maxOf(measured, overdueLog(nowMillis))
        return if (log < SLOW_LOG && log > -FAST_LOG) 1.0 else exp(log)
    }

    /** Number of concurrent requests that the endpoint handles well, [slots] at most. */
    fun concurrencyLimit(slots: Int, nowMillis: Long): Double =
        if (service.isLearning) concurrency.limit(slots, nowMillis) else slots.toDouble()

    /**
     * Whether the endpoint has changed between usual and slow and this has to be reported, which is
     * the case once in [CHANGE_INTERVAL_MILLIS] at most.
     */
    fun takeChange(nowMillis: Long): Boolean {
        val isSlow = slowdown(nowMillis) > 1
        if (isSlow == isReportedSlow) return false
        if (nowMillis - reportedMillis < CHANGE_INTERVAL_MILLIS) return false
        isReportedSlow = isSlow
        reportedMillis = nowMillis
        return true
    }

    // All streams at an engine get an event in each pass, so the time since the last event shows
    // that a pass is slow before it ends.
    private fun overdueLog(nowMillis: Long): Double {
        val gapMillis = service.gapMillis ?: return 0.0
        if (streams == 0) return 0.0
        val ratio = (nowMillis - lastEventMillis) / gapMillis
        return if (ratio < OVERDUE_RATIO) 0.0 else ln(minOf(ratio, OVERDUE_RATIO_MAX))
    }

    private fun onChanged() {
        slowdownMillis = Long.MIN_VALUE
    }

    private fun onGap(millis: Long, nowMillis: Long) {
        val usualMillis = service.gapMillis
        // The events of one pass, which arrive together, give one observation.
        val isSamePass = usualMillis != null && nowMillis - lastGapMillis < usualMillis / 2
        if (isSamePass || millis < GAP_MIN_MILLIS) return
        lastGapMillis = nowMillis
        service.onGap(millis.toDouble())
        usualMillis?.let { gaps.observe(millis / it, nowMillis) }
    }

    private inner class Attempt(
        private val isStream: Boolean,
        expectedMillis: Double,
        private val concurrent: Int,
        private val slots: Int,
        private val sentMillis: Long
    ) : AttemptTiming {
        // A timing of zero or without bound in the configuration gives no usable expectation.
        private val modelMillis = expectedMillis.takeIf { it.isFinite() && it > 0 }
        private val ownRun = run
        private var isOpen = true
        private var eventMillis = 0L

        private val isValid: Boolean get() = isOpen && ownRun == run

        override fun onEvents(nowMillis: Long) {
            if (!isValid || !isStream) return
            if (eventMillis == 0L) {
                streams++
                modelMillis?.let { onFirstEvent(maxOf(1, nowMillis - sentMillis) / it, nowMillis) }
            } else {
                onGap(nowMillis - eventMillis, nowMillis)
            }
            eventMillis = nowMillis
            lastEventMillis = nowMillis
            onChanged()
        }

        private fun onFirstEvent(ratio: Double, nowMillis: Long) {
            val usualRatio = service.firstEventRatio
            service.onFirstEvent(ratio)
            usualRatio?.let { onResponse(ratio / it, true, nowMillis) }
        }

        override fun onComplete(isSuccess: Boolean, nowMillis: Long) {
            if (isValid && !isStream) {
                val millis = maxOf(1, nowMillis - sentMillis).toDouble()
                val usualMillis = service.comparableCallMillis
                if (isSuccess) service.onCall(millis)
                usualMillis?.let { onResponse(millis / it, isSuccess, nowMillis) }
            }
            close()
        }

        override fun onMoved(hasSentSince: Boolean, nowMillis: Long) {
            if (isValid && !isStream) {
                val millis = maxOf(1, nowMillis - sentMillis).toDouble()
                // An endpoint that has sent nothing may be down; that is no duration of a call.
                if (hasSentSince) service.onCall(millis)
                service.comparableCallMillis?.let { onResponse(millis / it, false, nowMillis) }
            }
            close()
        }

        override fun close() {
            if (isValid && eventMillis > 0) streams--
            isOpen = false
            onChanged()
        }

        private fun onResponse(ratio: Double, isSound: Boolean, nowMillis: Long) {
            // Beyond the learned concurrency a late response is due to the load. Counted as general
            // slowness, it would keep requests away for seconds after the load has fallen.
            if (concurrent <= concurrency.limit(slots, nowMillis)) {
                responses.observe(ratio, nowMillis, isSound)
            }
            if (isSound) concurrency.observe(ratio, concurrent, slots, nowMillis)
        }
    }

    private companion object {
        const val CHANGE_INTERVAL_MILLIS = 10_000L
        val SLOW_LOG = ln(DecayingRatio.SLOW_RATIO)
        val FAST_LOG = abs(ln(0.7))

        // Slow spells of engines last about 600 ms. Without events, the estimate is forgotten soon.
        const val GAP_HALF_LIFE_MILLIS = 400.0

        // An endpoint that is 2.5 times as slow gets a request after about eight seconds.
        const val RESPONSE_HALF_LIFE_MILLIS = 4000.0

        // Prefills of several prompts in one pass nearly double the usual gap.
        const val OVERDUE_RATIO = 2.0
        const val OVERDUE_RATIO_MAX = 3.0

        // Parts of one event stream that arrive this close together were sent together.
        const val GAP_MIN_MILLIS = 8L
    }
}

/** Measures one attempt at an endpoint. Calls after [close] have no effect. */
interface AttemptTiming {
    /** Records that complete events of a successful stream have arrived. */
    fun onEvents(nowMillis: Long)

    /** Records the end of a response and ends the measurement. */
    fun onComplete(isSuccess: Boolean, nowMillis: Long)

    /**
     * Records that the request is moved to another endpoint because the response takes too long;
     * [hasSentSince] if the endpoint has sent anything since it got the request.
     */
    fun onMoved(hasSentSince: Boolean, nowMillis: Long)

    /** Ends the measurement, because the attempt failed or the caller does not read. */
    fun close()
}
