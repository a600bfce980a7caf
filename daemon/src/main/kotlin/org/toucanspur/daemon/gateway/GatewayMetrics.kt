/*
 * Counters and latency histograms of an entry node.
 */
package org.toucanspur.daemon.gateway

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.time.Duration
import java.util.concurrent.TimeUnit
import kotlin.math.abs

/** Meters of the request path. */
class GatewayMetrics(private val registry: MeterRegistry) {
    /** Requests that were queued for endpoint capacity. */
    val queued = registry.counter("toucanspur.requests.waited")

    /** Retries of requests. */
    val retried = registry.counter("toucanspur.requests.repeated")

    /** Requests whose caller disconnected before the response was complete. */
    val abandoned = registry.counter("toucanspur.requests.abandoned")

    /** Responses that began on an older weight version than allowed. */
    val outdated = registry.counter("toucanspur.responses.outdated")

    /** Requests that were refused because requests of their kind crash endpoints. */
    val crashSuspects = registry.counter("toucanspur.requests.suspected")

    private val headPending = timer("toucanspur.responses.head.pending")
    private val firstByte = timer("toucanspur.requests.first.byte")
    private val total = timer("toucanspur.requests.total")
    private val predictionError = timer("toucanspur.placement.error")

    /** Records a refused request. */
    fun onRefused(status: Int) =
        registry.counter("toucanspur.requests.refused", "status", status.toString()).increment()

    /** Records a call of [priority] that was refused after its admission. */
    fun onCallRefused(priority: Int, cause: RefusalCause) = registry.counter(
        "toucanspur.requests.unserved",
        "priority",
        priority.coerceIn(0, PRIORITY_MAX).toString(),
        "cause",
        cause.name.lowercase()
    ).increment()

    /** Records a connection that a time-out closed; [isCut] if it ended a response. */
    fun onTimedOut(reason: String, isCut: Boolean) {
        registry.counter("toucanspur.callers.timed.out", "reason", reason).increment()
        if (isCut) registry.counter("toucanspur.callers.cut").increment()
    }

    /** Records a connection that was refused or closed because of a shortage of [reason]. */
    fun onShed(reason: String) =
        registry.counter("toucanspur.callers.shed", "reason", reason).increment()

    /**
     * Records the time from sending a request to its response head. Only requests that were allowed
     * to begin on an older version than the newest target version are recorded.
     */
    fun onHeadPending(millis: Long) = headPending.record(millis, TimeUnit.MILLISECONDS)

    /** Records a complete response. */
    fun onResponseComplete(firstByteMillis: Long, totalMillis: Long, predictedMillis: Double) {
        firstByte.record(firstByteMillis, TimeUnit.MILLISECONDS)
        total.record(totalMillis, TimeUnit.MILLISECONDS)
        val errorMillis = abs(firstByteMillis - predictedMillis).toLong()
        predictionError.record(errorMillis, TimeUnit.MILLISECONDS)
    }

    private fun timer(name: String): Timer = Timer.builder(name)
        .publishPercentileHistogram()
        .minimumExpectedValue(Duration.ofMillis(HISTOGRAM_MIN_MILLIS))
        .maximumExpectedValue(Duration.ofMillis(HISTOGRAM_MAX_MILLIS))
        .register(registry)

    private companion object {
        // Bounds the number of meters.
        const val PRIORITY_MAX = 9
        const val HISTOGRAM_MIN_MILLIS = 10L
        const val HISTOGRAM_MAX_MILLIS = 8000L
    }
}
