/*
 * Counters and latency histograms of an entry.
 */
package org.toucanspur.daemon.gateway

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.time.Duration
import java.util.concurrent.TimeUnit
import kotlin.math.abs

/** Meters of the request path. */
class GatewayMetrics(private val registry: MeterRegistry) {
    /** Requests that waited for a place. */
    val waited = registry.counter("toucanspur.requests.waited")

    /** Sends beyond the first of a request. */
    val repeated = registry.counter("toucanspur.requests.repeated")

    /** Requests whose caller left. */
    val abandoned = registry.counter("toucanspur.requests.abandoned")

    private val firstByte = timer("toucanspur.requests.first.byte")
    private val total = timer("toucanspur.requests.total")
    private val predictionError = timer("toucanspur.placement.error")

    /** Notes a refusal. */
    fun onRefused(status: Int) =
        registry.counter("toucanspur.requests.refused", "status", status.toString()).increment()

    /** Notes an answer that was given in full. */
    fun onAnswered(firstByteMillis: Long, totalMillis: Long, predictedMillis: Double) {
        firstByte.record(firstByteMillis, TimeUnit.MILLISECONDS)
        total.record(totalMillis, TimeUnit.MILLISECONDS)
        val errorMillis = abs(firstByteMillis - predictedMillis).toLong()
        predictionError.record(errorMillis, TimeUnit.MILLISECONDS)
    }

    private fun timer(name: String): Timer = Timer.builder(name)
        .publishPercentileHistogram()
        .minimumExpectedValue(Duration.ofMillis(SHORTEST_MILLIS))
        .maximumExpectedValue(Duration.ofMillis(LONGEST_MILLIS))
        .register(registry)

    private companion object {
        const val SHORTEST_MILLIS = 10L
        const val LONGEST_MILLIS = 8000L
    }
}
