/*
 * Demand at all entries together: the own one and what the notices of the others say.
 */
package org.toucanspur.core.gateway

import org.toucanspur.schema.EntryDemand
import org.toucanspur.schema.EntryNotice
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.VmId

/**
 * Adds the demand of other entries to the [own] one. [live] are the entries heard from, and
 * [entryCount] is the number of entries that agents report, this one included. Not thread-safe.
 */
class DemandExchange(
    private val own: DemandMeter,
    private val live: (nowMillis: Long) -> Set<VmId>,
    private val entryCount: (nowMillis: Long) -> Int
) : DemandSource {
    private val received = HashMap<VmId, HashMap<Kind, Received>>()

    /** Applies an up-to-date [notice]. A kind that it lacks may be in another datagram of it. */
    fun onNotice(notice: EntryNotice, nowMillis: Long) {
        val kinds = received.getOrPut(notice.vm) { HashMap() }
        val validMillis = VALID_PERIODS * notice.periodMillis.coerceIn(PERIODS_MILLIS)
        notice.demand.take(KINDS_MAX).forEach {
            kinds[Kind(it.service, it.priority)] = Received(it, nowMillis + validMillis)
        }
        kinds.values.removeIf { it.untilMillis <= nowMillis }
        received.keys.retainAll(live(nowMillis))
    }

    override fun total(service: ServiceId, nowMillis: Long): List<ServiceDemand> {
        val heard = live(nowMillis)
        val demands = own.demand(service, nowMillis) + heard.flatMap { vm ->
            received[vm].orEmpty().values
                .filter { it.demand.service == service && nowMillis < it.untilMillis }
                .map { it.demand.toServiceDemand() }
        }
        val scale = scale(heard.size, nowMillis)
        return demands.groupBy { it.priority }.toSortedMap().values.map { kinds ->
            kinds.reduce(ServiceDemand::plus).times(scale)
        }
    }

    /** Whether so many entries are heard from that [total] does not rest on an assumption. */
    fun isKnown(nowMillis: Long): Boolean =
        (live(nowMillis).size + 1) * KNOWN_QUOTIENT >= entryCount(nowMillis) * (KNOWN_QUOTIENT - 1)

    // While most notices are lost, the other entries are assumed to have the same demand. A few
    // entries without notices have stopped, and their callers are at the others already.
    private fun scale(heard: Int, nowMillis: Long): Double {
        val known = heard + 1
        val count = entryCount(nowMillis)
        return if (known * 2 <= count) count.toDouble() / known else 1.0
    }

    private data class Kind(val service: ServiceId, val priority: Int)

    private class Received(val demand: EntryDemand, val untilMillis: Long)

    private companion object {
        const val VALID_PERIODS = 3
        val PERIODS_MILLIS = 1000L..10_000L
        const val KINDS_MAX = 64

        /** One entry in so many may be unheard, or have stopped since the count was reported. */
        const val KNOWN_QUOTIENT = 4
    }
}

private fun EntryDemand.toServiceDemand() = ServiceDemand(
    service,
    priority,
    milliRequests,
    costMillis,
    refusedMillis,
    repeatedMillis
)

private operator fun ServiceDemand.plus(other: ServiceDemand) = copy(
    milliRequestsPerSecond = milliRequestsPerSecond + other.milliRequestsPerSecond,
    costMillisPerSecond = costMillisPerSecond + other.costMillisPerSecond,
    refusedCostMillisPerSecond = refusedCostMillisPerSecond + other.refusedCostMillisPerSecond,
    repeatedCostMillisPerSecond = repeatedCostMillisPerSecond + other.repeatedCostMillisPerSecond
)

private operator fun ServiceDemand.times(factor: Double) = if (factor == 1.0) {
    this
} else {
    copy(
        milliRequestsPerSecond = (milliRequestsPerSecond * factor).toLong(),
        costMillisPerSecond = (costMillisPerSecond * factor).toLong(),
        refusedCostMillisPerSecond = (refusedCostMillisPerSecond * factor).toLong(),
        repeatedCostMillisPerSecond = (repeatedCostMillisPerSecond * factor).toLong()
    )
}
