/*
 * Places a request: predicts for each endpoint when a first byte would come, and chooses the one
 * that is soonest after costs for distance and for failures seen. Load pattern: more requests than
 * the endpoints bear, from several entries that know of each other only through the endpoints'
 * reports. Among endpoints that are about equal the choice is random, so that entries with the
 * same reports do not all choose the same one.
 */
package org.toucanspur.core.gateway

import kotlin.random.Random
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.ZoneId

/** What a request needs of an endpoint. */
data class PlacementQuery(
    val service: TrafficService,
    val promptTokens: Int,
    /** Regions that may serve the request; null for all. */
    val regions: Set<RegionId>?,
    val zonesOut: Set<ZoneId>,
    val tried: Set<EndpointId>,
    /** Lowest weight version on which the request may begin; 0 for any. */
    val versionMin: Long,
    /** Whether the request has no send left after this one, so that a load must not cut it off. */
    val mustFinish: Boolean = false
)

/** The choice for one request. */
sealed interface Placement {
    /** Send to [endpoint]; the first byte is predicted after [firstByteMillis]. */
    data class Send(val endpoint: FleetEndpoint, val firstByteMillis: Double) : Placement

    /** All endpoints are busy; the soonest could give a first byte after [firstByteMillis]. */
    data class Busy(val firstByteMillis: Double) : Placement

    /** No endpoint may serve the request. */
    data object Nowhere : Placement
}

/** Chooses endpoints for an entry in [zone] of [region]. */
class Placer(
    private val fleet: Fleet,
    private val zone: ZoneId,
    private val region: RegionId,
    private val coldAllowance: Int,
    private val random: Random
) {
    /** Places a request that should have its first byte within [budgetMillis]. */
    fun place(
        query: PlacementQuery,
        budgetMillis: Double,
        nowMillis: Long,
        entries: Int
    ): Placement {
        var best: FleetEndpoint? = null
        var bestCost = Double.MAX_VALUE
        var bestMillis = Double.MAX_VALUE
        var soonestMillis = Double.MAX_VALUE
        for (endpoint in fleet.of(query.service.id)) {
            if (!mayServe(endpoint, query, nowMillis)) continue
            val predicted = firstByteMillis(endpoint, query, nowMillis, entries)
            soonestMillis = minOf(soonestMillis, predicted)
            if (predicted > budgetMillis || !hasRoom(endpoint, query, nowMillis, entries)) continue
            val cost = predicted + distanceMillis(endpoint) +
                endpoint.score(nowMillis) * FAILURE_MILLIS + random.nextDouble() * NOISE_MILLIS
            if (cost < bestCost) {
                best = endpoint
                bestCost = cost
                bestMillis = predicted
            }
        }
        if (best != null) return Placement.Send(best, bestMillis)
        return if (soonestMillis == Double.MAX_VALUE) {
            Placement.Nowhere
        } else {
            Placement.Busy(soonestMillis)
        }
    }

    private fun mayServe(endpoint: FleetEndpoint, query: PlacementQuery, nowMillis: Long): Boolean {
        val record = endpoint.record
        return record.isReady &&
            !endpoint.isSuperseded &&
            record.zone !in query.zonesOut &&
            record.id !in query.tried &&
            (query.regions == null || record.region in query.regions) &&
            hasWeights(endpoint, query, nowMillis) &&
            !endpoint.isAvoided(nowMillis) &&
            !endpoint.isPaused(nowMillis) &&
            !(query.mustFinish && isCutOff(endpoint, query, nowMillis))
    }

    private fun isCutOff(endpoint: FleetEndpoint, query: PlacementQuery, nowMillis: Long): Boolean {
        val engine = query.service.engine ?: return false
        val next = endpoint.nextLoadMillis(nowMillis) ?: return false
        return next < usualAnswerMillis(engine)
    }

    private fun hasWeights(
        endpoint: FleetEndpoint,
        query: PlacementQuery,
        nowMillis: Long
    ): Boolean {
        if (query.service.engine == null) return true
        val loaded = endpoint.loadedVersion(nowMillis) ?: return false
        return loaded > 0 && loaded >= query.versionMin
    }

    private fun hasRoom(
        endpoint: FleetEndpoint,
        query: PlacementQuery,
        nowMillis: Long,
        entries: Int
    ): Boolean {
        val service = query.service
        if (endpoint.ownInFlight >= maxOf(1, service.connectionsMax / maxOf(1, entries))) {
            return false
        }
        val coldRate = service.coldRequestsPerSecond
        val bearable = if (coldRate > 0) coldRate + coldAllowance / 2 else 0.0
        return endpoint.mayTakeCold(bearable, entries, nowMillis)
    }

    private fun firstByteMillis(
        endpoint: FleetEndpoint,
        query: PlacementQuery,
        nowMillis: Long,
        entries: Int
    ): Double {
        val occupancy = endpoint.occupancy(nowMillis, entries)
        val slots = maxOf(1, endpoint.record.slots)
        val ahead = maxOf(0, occupancy - slots + 1)
        val engine = query.service.engine ?: return PLAIN_MILLIS + ahead * PLAIN_MILLIS / slots
        val pace = (endpoint.freshReport(nowMillis)?.pacePercent ?: PERCENT) / PERCENT.toDouble()
        // Beyond the own places, others may fill what the report shows as free.
        val unseen = if (endpoint.ownPlaces(nowMillis) > 0) 0.0 else UNSEEN_ARRIVALS
        return maxOf(1.0, pace) *
            predictedFirstEventMillis(engine, occupancy, query.promptTokens, unseen)
    }

    private fun distanceMillis(endpoint: FleetEndpoint): Double = when {
        endpoint.record.zone == zone -> 0.0
        endpoint.record.region == region -> OTHER_ZONE_MILLIS
        else -> OTHER_REGION_MILLIS
    }

    private companion object {
        const val PERCENT = 100

        // Typical time of a call to a plain service.
        const val PLAIN_MILLIS = 20.0

        // Traffic between regions is paid for. An endpoint of the own region is preferred as long
        // as its first event comes this much later at most, up to about its twelfth request.
        const val OTHER_ZONE_MILLIS = 10.0
        const val OTHER_REGION_MILLIS = 30.0

        // An endpoint that fails every call is chosen only when the others are this much slower.
        const val FAILURE_MILLIS = 400.0
        const val NOISE_MILLIS = 8.0

        // Places dealt to others are mostly taken before the next report; with less, one request in
        // nine waits for a slot under overload (OverloadReplayTest).
        const val UNSEEN_ARRIVALS = 3.0
    }
}
