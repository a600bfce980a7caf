/*
 * Demand that callers offer to one entry, by service and priority, averaged over about a second. It
 * is this entry's part of the total demand, and the estimate of it while other entries are unknown.
 */
package org.toucanspur.core.gateway

import kotlin.math.exp
import org.toucanspur.schema.ServiceId

/** Measures the demand on the services at one entry. Not thread-safe. */
class DemandMeter {
    private val kinds = HashMap<Kind, Rates>()

    /** Records a request that costs [costMillis]; [isRepeated] if it was refused before. */
    fun onRequest(
        service: ServiceId,
        priority: Int,
        costMillis: Double,
        isRepeated: Boolean,
        nowMillis: Long
    ) {
        val rates = kinds.getOrPut(Kind(service, priority)) { Rates(nowMillis) }
        rates.decay(nowMillis)
        rates.requests += 1
        rates.cost += costMillis
        if (isRepeated) rates.repeatedCost += costMillis
    }

    /** Records that a request that was recorded with [costMillis] has been refused. */
    fun onRefused(service: ServiceId, priority: Int, costMillis: Double, nowMillis: Long) {
        val rates = kinds[Kind(service, priority)] ?: return
        rates.decay(nowMillis)
        rates.refusedCost += costMillis
    }

    /** Demand at this entry. */
    fun demand(nowMillis: Long): List<ServiceDemand> {
        kinds.values.removeIf { nowMillis - it.updatedMillis > KEPT_MILLIS }
        return kinds.map { (kind, rates) -> rates.toDemand(kind, 1, nowMillis) }
    }

    /** Demand on [service] if all [entryCount] entries have as much as this one. */
    fun projected(service: ServiceId, entryCount: Int, nowMillis: Long): List<ServiceDemand> =
        kinds.filterKeys { it.service == service }
            .map { (kind, rates) -> rates.toDemand(kind, maxOf(1, entryCount), nowMillis) }

    private data class Kind(val service: ServiceId, val priority: Int)

    private class Rates(var updatedMillis: Long) {
        var requests = 0.0
        var cost = 0.0
        var refusedCost = 0.0
        var repeatedCost = 0.0

        fun decay(nowMillis: Long) {
            val left = leftAt(nowMillis)
            requests *= left
            cost *= left
            refusedCost *= left
            repeatedCost *= left
            updatedMillis = maxOf(updatedMillis, nowMillis)
        }

        private fun leftAt(nowMillis: Long): Double =
            exp(-maxOf(0, nowMillis - updatedMillis) / AVERAGE_MILLIS)

        // A sum that decays with a constant of one second is a rate per second.
        fun toDemand(kind: Kind, factor: Int, nowMillis: Long): ServiceDemand {
            val left = leftAt(nowMillis) * factor
            return ServiceDemand(
                kind.service,
                kind.priority,
                (requests * left * MILLI).toLong(),
                (cost * left).toLong(),
                (refusedCost * left).toLong(),
                (repeatedCost * left).toLong()
            )
        }
    }

    private companion object {
        const val AVERAGE_MILLIS = 1000.0
        const val MILLI = 1000
        const val KEPT_MILLIS = 10_000L
    }
}
