/*
 * Choice among engines by one of many entries that read the same reports. If each of them took the
 * engine of the lowest cost, all would take the same one. Instead each engine is taken with a
 * probability in proportion to its spare capacity below the level that all engines reach within a
 * short time (interpretation of stale load information), and the same proportions tell what the
 * other entries send.
 */
package org.toucanspur.core.gateway

import kotlin.random.Random
import org.toucanspur.schema.RegionId

private const val MILLIS_PER_SECOND = 1000.0

/**
 * Common level that [costs] reach when [amount] is added to them, the lowest ones first; no cost
 * above it is changed.
 */
fun commonLevel(costs: DoubleArray, amount: Double): Double {
    val sorted = costs.sortedArray()
    var sum = amount
    var level = Double.MAX_VALUE
    for ((index, cost) in sorted.withIndex()) {
        if (cost >= level) break
        sum += cost
        level = sum / (index + 1)
    }
    return level
}

/** Index of a cost below [level], with a probability in proportion to its distance from it. */
fun chooseBelow(level: Double, costs: DoubleArray, random: Random): Int {
    var left = random.nextDouble() * costs.sumOf { maxOf(0.0, level - it) }
    costs.forEachIndexed { index, cost ->
        left -= maxOf(0.0, level - cost)
        if (left < 0) return index
    }
    return costs.indices.minBy { costs[it] }
}

/** The entries that place requests on the [endpoints] of a service, as seen by one of them. */
class SharingEntries(
    val arrivals: ServiceArrivals,
    val entries: Int,
    val endpoints: Int,
    /** Cost that one more request adds at an engine. */
    val requestMillis: Double
) {
    /** Requests that all entries together send to [count] of the endpoints per second. */
    fun perSecond(count: Int, nowMillis: Long): Double =
        arrivals.perSecond(nowMillis) * entries * count / maxOf(1, endpoints)

    /** Cost that these requests add within the time over which choices are spread. */
    fun addedMillis(count: Int, nowMillis: Long): Double =
        perSecond(count, nowMillis) * SPREAD_MILLIS / MILLIS_PER_SECOND * requestMillis

    private companion object {
        // In trials with learning, 56 engines and 95% of the capacity, 0.85 were on time with
        // 20 ms, 0.81 with 50 ms and 0.72 with 200 ms.
        const val SPREAD_MILLIS = 25.0
    }
}

/** Endpoints that may take one request, of which [result] takes one. */
class SharedChoice(private val sharing: SharingEntries) {
    private class Offer(
        val send: Placement.Send,
        val cost: Double,
        val distanceMillis: Double,
        val isWithinBudget: Boolean
    )

    private class Counted(val endpoint: FleetEndpoint, val cost: Double)

    private val offers = ArrayList<Offer>()
    private val counted = ArrayList<Counted>()

    /**
     * Counts an engine at [cost] that other entries use, also if this request is not sent there. If
     * only those within the budget counted, nothing would be expected under overload.
     */
    fun count(endpoint: FleetEndpoint, cost: Double) {
        counted += Counted(endpoint, cost)
    }

    /**
     * Adds the endpoint of [send] at [cost], to which [distanceMillis] is added for this entry, but
     * not for those near the endpoint.
     */
    fun offer(send: Placement.Send, cost: Double, distanceMillis: Double, isWithinBudget: Boolean) {
        offers += Offer(send, cost, distanceMillis, isWithinBudget)
    }

    /** Records what the other entries are expected to send until [nowMillis]. */
    fun finish(nowMillis: Long) {
        counted.groupBy { it.endpoint.record.region }
            .forEach { (region, near) -> forecast(region, near, nowMillis) }
    }

    private fun forecast(region: RegionId?, near: List<Counted>, nowMillis: Long) {
        val elapsedMillis = sharing.arrivals.takeForecastMillis(region, nowMillis)
        if (elapsedMillis == 0L) return
        val costs = DoubleArray(near.size) { near[it].cost }
        val level = commonLevel(costs, sharing.addedMillis(near.size, nowMillis))
        val spare = costs.sumOf { maxOf(0.0, level - it) }
        if (spare <= 0) return
        val others = sharing.perSecond(near.size, nowMillis) * elapsedMillis / MILLIS_PER_SECOND *
            (sharing.entries - 1) / sharing.entries
        near.forEachIndexed { index, engine ->
            val share = maxOf(0.0, level - costs[index]) / spare
            if (share > 0) engine.endpoint.arrivals.onExpected(share * others, nowMillis)
        }
    }

    /** The selected endpoint, if possible one within the budget; null if there is none. */
    fun result(region: RegionId, random: Random, nowMillis: Long): Placement.Send? {
        if (offers.isEmpty()) return null
        val within = offers.filter { it.isWithinBudget }.ifEmpty { offers }
        val costs = DoubleArray(within.size) { within[it].cost + within[it].distanceMillis }
        // The entries of other regions use their own endpoints first, as this one does.
        val near = within.count { it.send.endpoint.record.region == region }
        val count = if (near > 0) near else within.size
        val level = commonLevel(costs, sharing.addedMillis(count, nowMillis))
        return within[chooseBelow(level, costs, random)].send
    }
}
