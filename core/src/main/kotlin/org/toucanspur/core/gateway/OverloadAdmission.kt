/*
 * Admission of requests to a service whose callers ask for more than its endpoints can serve. The
 * load: three priorities that together ask for 1.49 times the capacity for minutes, bursts of 1.5
 * to 2.5 times one kind for 3 to 7 s, endpoint crashes, and 13 entries whose reports of the
 * endpoints are 325 ms and whose notices of each other's demand about a second old.
 *
 * Every entry computes from the same notices and reports which part of each priority is admitted.
 * The estimate of the capacity is corrected by what the endpoints report: free slots raise it,
 * and requests that wait at endpoints or entries lower it. Each organisation has a credit per
 * priority, which rises by the admitted part with each request and pays for one that is admitted,
 * so that all organisations and all sizes of requests are refused alike.
 */
package org.toucanspur.core.gateway

import kotlin.math.exp
import org.toucanspur.schema.OrganisationId

/** Decides which requests to one service are admitted. Not thread-safe. */
class OverloadAdmission {
    private val shares = HashMap<Int, Double>()
    private val credits = HashMap<CreditKey, Double>()
    private var correction = 1.0
    private var free = 1.0
    private var isMostlyFree = true
    private var updatedMillis = Long.MIN_VALUE
    private var isPrioritised = false
    private var evenShare = 1.0

    /** Capacity for the service in cost a second, as corrected by observation. */
    var costPerSecond = 0.0
        private set

    /** Part of the capacity that admitted requests leave unused. */
    var spareShare = 1.0
        private set

    /** Whether more is asked for than can be served. */
    var isOverloaded = false
        private set

    /**
     * Applies the [load] of the endpoints, the [demand] at all entries and the number of requests
     * that wait at all entries. Only priorities in [demand] are distinguished, and only if
     * [isPrioritised].
     */
    fun update(
        load: ServiceLoad,
        demand: List<ServiceDemand>,
        waitingAtEntries: Int,
        isPrioritised: Boolean,
        nowMillis: Long
    ) {
        val elapsed = if (updatedMillis == Long.MIN_VALUE) {
            Long.MAX_VALUE
        } else {
            nowMillis - updatedMillis
        }
        updatedMillis = nowMillis
        this.isPrioritised = isPrioritised
        isMostlyFree = load.isMostlyFree || load.slots == 0
        free += (load.freeShare - free) * blend(elapsed, FREE_SMOOTHING_MILLIS)
        val asked = demand.sumOf { it.costMillisPerSecond - it.repeatedCostMillisPerSecond }
        correct(load, waitingAtEntries, minOf(elapsed, UPDATE_MAX_MILLIS))
        costPerSecond = load.costPerSecond * correction
        isOverloaded = load.slots > 0 && asked > costPerSecond && free < ROOM_FREE_SHARE
        evenShare = if (asked <= costPerSecond) 1.0 else costPerSecond / asked
        spareShare = if (costPerSecond <= 0) 0.0 else maxOf(0.0, 1 - asked / costPerSecond)
        val targets = admittedShares(demand, costPerSecond)
        val weight = blend(elapsed, SHARE_SMOOTHING_MILLIS)
        shares.keys.retainAll(targets.keys)
        targets.forEach { (priority, target) ->
            val share = shares[priority] ?: 1.0
            shares[priority] = share + (target - share) * weight
        }
    }

    // While everything asked for is admitted, free slots say nothing about the capacity.
    private fun correct(load: ServiceLoad, waitingAtEntries: Int, elapsedMillis: Long) {
        if (load.slots == 0) return
        // Without priorities, requests wait at the entries that are refused soon.
        val atEntries = if (isPrioritised) waitingAtEntries else 0
        val waitingShare = load.waitingShare + atEntries / load.slots.toDouble()
        val excess = maxOf(0.0, free - FULL_FREE_SHARE) -
            maxOf(0.0, waitingShare - FULL_WAITING_SHARE)
        val isLimiting = shares.values.any { it < FULL_SHARE }
        val change = if (excess > 0 && !isLimiting) {
            (1 - correction) * elapsedMillis / RELAXATION_MILLIS
        } else {
            correction * excess * CORRECTION_GAIN * elapsedMillis / MILLIS_PER_SECOND
        }
        correction = (correction + change).coerceIn(CORRECTION_MIN, CORRECTION_MAX)
    }

    /** Part of the requests of [priority] that is admitted. */
    fun share(priority: Int): Double {
        if (!isPrioritised || isMostlyFree) return 1.0
        val share = shares[priority] ?: 1.0
        return share + (1 - share) * roomShare()
    }

    /** Part of the requests of [priority] that is expected to be served. */
    fun servedShare(priority: Int): Double = if (isPrioritised) share(priority) else evenShare

    // Slots that stay free are given to all requests, whatever the estimate of the capacity.
    private fun roomShare(): Double =
        ((free - FULL_FREE_SHARE) / (ROOM_FREE_SHARE - FULL_FREE_SHARE)).coerceIn(0.0, 1.0)

    /**
     * Whether a request of [priority] and [organisation] is admitted. One that was refused before
     * ([isRepeated]) is charged for in the room that the others leave; if its kind is served in
     * full, it is admitted. Only if [isRecorded], it is charged for.
     */
    fun admits(
        priority: Int,
        organisation: OrganisationId?,
        isRepeated: Boolean,
        isRecorded: Boolean = true
    ): Boolean {
        val full = share(priority)
        if (full >= FULL_SHARE) return true
        val room = roomShare()
        val share = if (isRepeated) maxOf(room, full * REPEATED_PART) else full
        val key = CreditKey(priority, organisation, isRepeated)
        val credit = (credits[key] ?: initialCredit(key)) + share
        val isAdmitted = credit >= 1
        if (isRecorded) credits[key] = if (isAdmitted) credit - 1 else credit
        return isAdmitted
    }

    // Organisations whose credits start alike would be refused at the same time.
    private fun initialCredit(key: CreditKey): Double =
        Math.floorMod(key.hashCode() * HASH_FACTOR, CREDIT_STEPS) / CREDIT_STEPS.toDouble()

    private data class CreditKey(
        val priority: Int,
        val organisation: OrganisationId?,
        val isRepeated: Boolean
    )

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        // Reports and notices are about a second old. A correction that is as fast as that
        // oscillates; this one takes some seconds.
        const val CORRECTION_GAIN = 0.5
        const val CORRECTION_MIN = 1.0
        const val CORRECTION_MAX = 1.6
        const val RELAXATION_MILLIS = 5000.0
        const val UPDATE_MAX_MILLIS = 500L
        const val FREE_SMOOTHING_MILLIS = 300.0
        const val SHARE_SMOOTHING_MILLIS = 500.0

        // A service at its capacity shows some free slots, as other entries fill them only after
        // the next report.
        const val FULL_FREE_SHARE = 0.05
        const val ROOM_FREE_SHARE = 0.2

        // Entries whose reports are 325 ms old leave a quarter of the slots' number waiting at the
        // fuller endpoints of a service at its capacity (OverloadReplayTest).
        const val FULL_WAITING_SHARE = 0.3
        const val FULL_SHARE = 0.97

        // A caller that was refused should not be refused again and again; its request is late, so
        // it gets less than a first one.
        const val REPEATED_PART = 0.25
        const val HASH_FACTOR = 40_503
        const val CREDIT_STEPS = 1024

        fun blend(elapsedMillis: Long, constantMillis: Double): Double =
            1 - exp(-elapsedMillis / constantMillis)
    }
}

/**
 * Budget for the first byte of a request to an overloaded service, whose own budget is
 * [budgetMillis]. [leastMillis] is the smallest budget of all kinds: requests with more time would
 * otherwise fill the queues of the endpoints before more urgent ones. A request that [isNew] goes
 * only where a slot is free: at 13 entries with the same reports, the others send there too.
 */
fun contendedBudgetMillis(
    budgetMillis: Double,
    leastMillis: Double,
    isNew: Boolean,
    engine: EngineTiming?,
    pace: Double
): Double {
    val common = minOf(budgetMillis, leastMillis)
    if (!isNew || engine == null) return common
    val atFreeSlot =
        predictedFirstEventMillis(engine, engine.slots - 1, engine.typicalPromptTokens, 0.0)
    return minOf(common, maxOf(1.0, pace) * (atFreeSlot + completionIntervalMillis(engine) / 2))
}

/**
 * Part of each priority in [demand] that is admitted with a capacity of [costPerSecond]. Each
 * priority gets its minimum and the rest goes to the most urgent ones first.
 */
fun admittedShares(demand: List<ServiceDemand>, costPerSecond: Double): Map<Int, Double> {
    val byPriority = demand.groupBy { it.priority }.toSortedMap().mapValues { (_, kinds) ->
        Asked(
            kinds.sumOf { it.milliRequestsPerSecond }.toDouble(),
            kinds.sumOf {
                it.costMillisPerSecond - it.repeatedCostMillisPerSecond * UNSERVED_REPEATS
            }
        )
    }
    val total = byPriority.values.sumOf { it.cost }
    if (total <= costPerSecond || total <= 0) return byPriority.mapValues { 1.0 }
    val even = costPerSecond / total
    var shares = byPriority.mapValues { even }
    // The minimum depends on what all get, which depends on the minimum; this settles quickly.
    repeat(MINIMUM_ROUNDS) {
        val requests = byPriority.values.sumOf { it.requests }
        val served = byPriority.entries.sumOf { (priority, asked) ->
            asked.requests * shares.getValue(priority)
        } / maxOf(1.0, requests)
        val minimum = minOf(even, served * MINIMUM_OF_ALL)
        var left = costPerSecond - total * minimum
        shares = byPriority.mapValues { (_, asked) ->
            val more = minOf(maxOf(0.0, left), asked.cost * (1 - minimum))
            left -= more
            if (asked.cost > 0) minimum + more / asked.cost else 1.0
        }
    }
    return shares
}

private class Asked(val requests: Double, val cost: Double)

private const val MINIMUM_ROUNDS = 4

// Repeated requests get a quarter of the share of first ones.
private const val UNSERVED_REPEATS = 0.75

// Each kind is served at least a quarter as often as all requests are; the rest is a margin for
// admitted requests that are not served in time after all.
private const val MINIMUM_OF_ALL = 0.33
