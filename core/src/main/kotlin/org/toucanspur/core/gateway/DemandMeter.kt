/*
 * Measures the demand on the services at one entry, and the cost of a request.
 */
package org.toucanspur.core.gateway

import org.toucanspur.schema.ServiceId

private const val MILLIS_PER_SECOND = 1000

/**
 * Time of an engine that a request with a prompt of [promptTokens] takes when all slots are in use.
 * The length of the answer is not known in advance; the typical one stands for it.
 */
fun requestCostMillis(engine: EngineTiming, promptTokens: Int): Double =
    completionIntervalMillis(engine) - prefillMillis(engine, engine.typicalPromptTokens) +
        prefillMillis(engine, promptTokens)

/** Cost of requests to a service without an engine: the time for which they occupy a slot. */
class SlotCost {
    /** Mean time of the recent requests. */
    var meanMillis = INITIAL_MILLIS
        private set

    /** Records that an endpoint took [millis] for a request. */
    fun onComplete(millis: Long) {
        meanMillis += WEIGHT * (millis.coerceIn(1, MAX_MILLIS) - meanMillis)
    }

    private companion object {
        const val INITIAL_MILLIS = 20.0
        const val WEIGHT = 0.02

        // A request that hangs until its deadline does not stand for the others.
        const val MAX_MILLIS = 2000L
    }
}

/** Demand by service and priority over the last second. Not thread-safe. */
class DemandMeter {
    private val meters = HashMap<ServiceId, HashMap<Int, KindMeter>>()

    /** Records the arrival of a request; [isRepeated] if it came before and was refused. */
    fun onRequest(
        service: ServiceId,
        priority: Int,
        costMillis: Double,
        isRepeated: Boolean,
        nowMillis: Long
    ) {
        val microseconds = (costMillis * MILLIS_PER_SECOND).toLong()
        val meter = meterOf(service, priority)
        meter.requests.add(1, nowMillis)
        meter.cost.add(microseconds, nowMillis)
        if (isRepeated) meter.repeated.add(microseconds, nowMillis)
    }

    /** Records that a request, whose arrival was recorded, was refused. */
    fun onRefused(service: ServiceId, priority: Int, costMillis: Double, nowMillis: Long) =
        meterOf(service, priority).refused
            .add((costMillis * MILLIS_PER_SECOND).toLong(), nowMillis)

    /** Demand on [service] by priority; empty when there was none for a while. */
    fun demand(service: ServiceId, nowMillis: Long): List<ServiceDemand> {
        val kinds = meters[service] ?: return emptyList()
        kinds.values.removeIf { it.requests.isIdle(nowMillis) && it.refused.isIdle(nowMillis) }
        return kinds.map { (priority, meter) -> meter.demand(service, priority, nowMillis) }
            .sortedBy { it.priority }
    }

    /** Demand on all services. */
    fun demand(nowMillis: Long): List<ServiceDemand> = meters.keys.flatMap { demand(it, nowMillis) }

    private fun meterOf(service: ServiceId, priority: Int): KindMeter =
        meters.getOrPut(service) { HashMap() }.getOrPut(priority) { KindMeter() }

    private class KindMeter {
        val requests = SlidingSum()
        val cost = SlidingSum()
        val refused = SlidingSum()
        val repeated = SlidingSum()

        fun demand(service: ServiceId, priority: Int, nowMillis: Long) = ServiceDemand(
            service,
            priority,
            milliRequestsPerSecond = requests.sum(nowMillis) * MILLIS_PER_SECOND,
            costMillisPerSecond = cost.sum(nowMillis) / MILLIS_PER_SECOND,
            refusedCostMillisPerSecond = refused.sum(nowMillis) / MILLIS_PER_SECOND,
            repeatedCostMillisPerSecond = repeated.sum(nowMillis) / MILLIS_PER_SECOND
        )
    }
}

/** Sum of the amounts of the last second. */
private class SlidingSum {
    private val amounts = LongArray(BUCKETS)
    private var newest = Long.MIN_VALUE
    private var total = 0L

    fun add(amount: Long, nowMillis: Long) {
        advance(nowMillis)
        amounts[index(newest)] += amount
        total += amount
    }

    fun sum(nowMillis: Long): Long {
        advance(nowMillis)
        return total
    }

    /** Whether nothing was added for long. */
    fun isIdle(nowMillis: Long): Boolean =
        newest == Long.MIN_VALUE || (sum(nowMillis) == 0L && lastMillis + IDLE_MILLIS < nowMillis)

    private var lastMillis = Long.MIN_VALUE

    private fun advance(nowMillis: Long) {
        val bucket = nowMillis / BUCKET_MILLIS
        if (newest == Long.MIN_VALUE || bucket - newest >= BUCKETS) {
            if (total > 0) lastMillis = nowMillis
            amounts.fill(0)
            total = 0
            newest = bucket
        }
        while (newest < bucket) {
            newest++
            total -= amounts[index(newest)]
            if (amounts[index(newest)] > 0) lastMillis = nowMillis
            amounts[index(newest)] = 0
        }
    }

    private fun index(bucket: Long): Int = Math.floorMod(bucket, BUCKETS)

    private companion object {
        const val BUCKETS = 10
        const val BUCKET_MILLIS = 100L
        const val IDLE_MILLIS = 5000L
    }
}
