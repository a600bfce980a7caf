/*
 * Selects an endpoint for a request. Predicts the time to the first byte at each endpoint, adds
 * penalties for locality and recent failures, and takes the endpoint with the lowest cost. Designed
 * for overload by several entries that see each other's requests only in the endpoints' load
 * reports: random jitter decides between endpoints of similar cost, so that entries with the same
 * reports do not all select the same endpoint. From six entries on, SharedChoice spreads requests
 * over the engines, by what the other entries are expected to send.
 */
package org.toucanspur.core.gateway

import kotlin.random.Random
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.ZoneId

/** Requirements of a request on an endpoint. */
data class PlacementQuery(
    val service: TrafficService,
    val promptTokens: Int,
    /** Regions that may serve the request; null for any. */
    val regions: Set<RegionId>?,
    val excludedZones: Set<ZoneId>,
    val tried: Set<EndpointId>,
    /** Lowest weight version on which the request may start; 0 for any. */
    val versionMin: Long,
    /** Lowest version at an endpoint that requests may take seconds to reach. */
    val slowPathVersionMin: Long = versionMin,
    /** Whether this is the last attempt, so that a weight load must not interrupt the response. */
    val mustFinish: Boolean = false
)

/** Placement decision for one request. */
sealed interface Placement {
    /**
     * Send to [endpoint], with the first byte predicted after [firstByteMillis], and after
     * [modelMillis] by the model alone, without the speed of this endpoint.
     */
    data class Send(
        val endpoint: FleetEndpoint,
        val firstByteMillis: Double,
        val modelMillis: Double = firstByteMillis
    ) : Placement

    /**
     * All endpoints are busy; the earliest first byte is predicted after [firstByteMillis]. If all
     * are at the limit that they name or request a backoff, the first one may get a request in
     * [opensInMillis].
     */
    data class Busy(val firstByteMillis: Double, val opensInMillis: Long = 0) : Placement

    /** No endpoint may serve the request. */
    data object Nowhere : Placement
}

/** Selects endpoints for an entry in [zone] of [region]. */
class RequestPlacer(
    private val fleet: Fleet,
    private val zone: ZoneId,
    private val region: RegionId,
    private val coldAllowance: Int,
    private val random: Random
) {
    /**
     * Selects an endpoint whose predicted time to the first byte is within [budgetMillis]. If the
     * learned speeds leave none, they only order the endpoints that are within it by the model: a
     * late response is better than none, and the learned values may be out of date. The reasons
     * are passed to [trace].
     */
    fun place(
        query: PlacementQuery,
        budgetMillis: Double,
        nowMillis: Long,
        entryCount: Int,
        trace: PlacementTrace? = null
    ): Placement {
        trace?.onBudget(budgetMillis)
        val selection = Selection(budgetMillis)
        val sharing = sharingEntries(query.service, nowMillis, entryCount)
        val shared = sharing?.let { SharedChoice(it) }
        var earliestMillis = Double.MAX_VALUE
        var firstOpensInMillis = Long.MAX_VALUE
        for (endpoint in fleet.of(query.service.id)) {
            val unsuitable = unsuitability(endpoint, query, nowMillis)
            if (unsuitable != null) {
                trace?.onEndpoint(EndpointVerdict(endpoint, unsuitable))
                continue
            }
            val opensInMillis = endpoint.opensInMillis(entryCount, nowMillis)
            if (endpoint.isExcluded(nowMillis)) {
                val backoffMillis = endpoint.requestedBackoffMillis(nowMillis)
                firstOpensInMillis = minOf(firstOpensInMillis, backoffMillis)
                trace?.onEndpoint(EndpointVerdict(endpoint, EndpointExclusion.BACKING_OFF))
                continue
            }
            val prediction = predict(endpoint, query, nowMillis, entryCount, sharing)
            val loadCost = prediction.costMillis +
                failureShare(endpoint, nowMillis) * FAILURE_PENALTY_MILLIS
            if (prediction.isForecast) shared?.count(endpoint, loadCost)
            val leastMillis =
                minOf(prediction.millis, prediction.unlearnedMillis) + prediction.reserveMillis
            earliestMillis = minOf(earliestMillis, leastMillis + opensInMillis)
            firstOpensInMillis = minOf(firstOpensInMillis, opensInMillis)
            val exclusion = when {
                opensInMillis > 0 -> EndpointExclusion.RATE
                leastMillis > budgetMillis -> EndpointExclusion.LATE
                else -> capacityExclusion(endpoint, query, nowMillis, entryCount)
            }
            if (exclusion != null) {
                trace?.onEndpoint(EndpointVerdict(endpoint, exclusion, prediction.millis))
                continue
            }
            val isWithin = prediction.millis + prediction.reserveMillis <= budgetMillis
            val distanceMillis = localityPenaltyMillis(endpoint)
            val jitterMillis = if (shared == null) random.nextDouble() * JITTER_MILLIS else 0.0
            val cost = loadCost + distanceMillis + jitterMillis
            if (shared == null) {
                selection.offer(endpoint, prediction, cost)
            } else {
                shared.offer(prediction.sendTo(endpoint), loadCost, distanceMillis, isWithin)
            }
            trace?.onEndpoint(EndpointVerdict(endpoint, null, prediction.millis, cost, isWithin))
        }
        return choose(selection, shared, isRecorded = trace == null, nowMillis)
            ?: unplaced(earliestMillis, firstOpensInMillis)
    }

    // An explanation records no forecast, because it must not affect later placements.
    private fun choose(
        selection: Selection,
        shared: SharedChoice?,
        isRecorded: Boolean,
        nowMillis: Long
    ): Placement.Send? {
        if (shared == null) return selection.result()
        if (isRecorded) shared.finish(nowMillis)
        return shared.result(region, random, nowMillis)
    }

    private fun unplaced(earliestMillis: Double, firstOpensInMillis: Long): Placement = when {
        earliestMillis < Double.MAX_VALUE -> Placement.Busy(earliestMillis, firstOpensInMillis)
        firstOpensInMillis in 1 until Long.MAX_VALUE ->
            Placement.Busy(firstOpensInMillis.toDouble(), firstOpensInMillis)
        else -> Placement.Nowhere
    }

    /** Endpoint of the lowest cost, if possible one whose prediction is within the budget. */
    private class Selection(private val budgetMillis: Double) {
        private var endpoint: FleetEndpoint? = null
        private var prediction: Prediction? = null
        private var cost = Double.MAX_VALUE
        private var isWithinBudget = false

        fun offer(offered: FleetEndpoint, offeredPrediction: Prediction, offeredCost: Double) {
            val isWithin = offeredPrediction.millis <= budgetMillis
            val isBetter = if (isWithin == isWithinBudget) offeredCost < cost else isWithin
            if (!isBetter) return
            endpoint = offered
            prediction = offeredPrediction
            cost = offeredCost
            isWithinBudget = isWithin
        }

        fun result(): Placement.Send? {
            val selected = endpoint ?: return null
            val predicted = prediction ?: return null
            return predicted.sendTo(selected)
        }
    }

    /** Times to the first byte: with the learned speed, without it, and by the model alone. */
    private class Prediction(
        val millis: Double,
        val unlearnedMillis: Double,
        val modelMillis: Double,
        /** Time that the budget must leave for requests of other entries beyond the expected. */
        val reserveMillis: Double = 0.0,
        /** Whether it includes what other entries are expected to have sent. */
        val isForecast: Boolean = false,
        /** Time by which endpoints are compared. */
        val costMillis: Double = millis
    ) {
        fun sendTo(endpoint: FleetEndpoint) = Placement.Send(endpoint, millis, modelMillis)
    }

    /** The entries whose requests have to be expected; null if choices need not be spread. */
    private fun sharingEntries(
        service: TrafficService,
        nowMillis: Long,
        entryCount: Int
    ): SharingEntries? {
        val engine = service.engine ?: return null
        val endpoints = fleet.of(service.id)
        val isShared = entryCount >= SHARING_ENTRIES_MIN &&
            endpoints.any { it.freshReport(nowMillis) != null }
        if (!isShared) return null
        return SharingEntries(
            fleet.arrivals(service.id),
            entryCount,
            endpoints.size,
            requestDelayMillis(engine)
        )
    }

    // Why the endpoint cannot serve the request, whatever its load; null if it can.
    private fun unsuitability(
        endpoint: FleetEndpoint,
        query: PlacementQuery,
        nowMillis: Long
    ): EndpointExclusion? {
        val record = endpoint.record
        return when {
            !endpoint.isAccepting -> EndpointExclusion.NOT_ACCEPTING
            endpoint.isSuperseded -> EndpointExclusion.SUPERSEDED
            record.zone in query.excludedZones -> EndpointExclusion.ZONE_EVACUATED
            record.id in query.tried -> EndpointExclusion.TRIED
            query.regions != null && record.region !in query.regions -> EndpointExclusion.REGION
            !hasWeights(endpoint, query, nowMillis) -> EndpointExclusion.WEIGHTS
            endpoint.isPaused(nowMillis) -> EndpointExclusion.LOADING
            // The agent alone may be down, so one request may show that the endpoint works.
            endpoint.ownInFlight > 0 && endpoint.isSilent(nowMillis) -> EndpointExclusion.SILENT
            query.mustFinish && isInterruptedByLoad(endpoint, query, nowMillis) ->
                EndpointExclusion.LOAD_SOON
            else -> null
        }
    }

    private fun isInterruptedByLoad(
        endpoint: FleetEndpoint,
        query: PlacementQuery,
        nowMillis: Long
    ): Boolean {
        val engine = query.service.engine ?: return false
        val next = endpoint.nextLoadMillis(nowMillis) ?: return false
        return next < typicalResponseMillis(engine)
    }

    private fun hasWeights(
        endpoint: FleetEndpoint,
        query: PlacementQuery,
        nowMillis: Long
    ): Boolean {
        if (query.service.engine == null) return true
        val loaded = endpoint.loadedVersion(nowMillis) ?: return false
        val isSlow = endpoint.hasSlowPath(nowMillis)
        return loaded > 0 &&
            loaded >= if (isSlow) query.slowPathVersionMin else query.versionMin
    }

    private fun capacityExclusion(
        endpoint: FleetEndpoint,
        query: PlacementQuery,
        nowMillis: Long,
        entryCount: Int
    ): EndpointExclusion? {
        val service = query.service
        if (endpoint.ownInFlight >= maxOf(1, service.connectionsMax / maxOf(1, entryCount))) {
            return EndpointExclusion.CONNECTIONS
        }
        val coldRate = service.coldRequestsPerSecond
        val coldRateLimit = if (coldRate > 0) coldRate + coldAllowance / 2 else 0.0
        val isWithin = endpoint.isWithinColdRate(coldRateLimit, entryCount, nowMillis)
        return if (isWithin) null else EndpointExclusion.COLD
    }

    private fun predict(
        endpoint: FleetEndpoint,
        query: PlacementQuery,
        nowMillis: Long,
        entryCount: Int,
        sharing: SharingEntries?
    ): Prediction {
        val engine = query.service.engine
        if (engine == null) {
            val slots = maxOf(1, endpoint.record.slots)
            val occupancy = endpoint.plainOccupancy(nowMillis, entryCount)
            val learned = endpoint.times.slowdown(nowMillis)
            val calls = 1 + maxOf(0.0, occupancy - slots + 1) / slots
            val usual = endpoint.usualTimes.callMillis * calls
            val spread = endpoint.spreadOccupancy(nowMillis, entryCount)
            val spreadCalls = 1 + maxOf(0.0, spread - slots + 1) / slots
            return Prediction(
                usual * learned * loadFactor(endpoint, occupancy, nowMillis),
                DEFAULT_CALL_MILLIS * calls,
                usual,
                costMillis = endpoint.usualTimes.callMillis * spreadCalls * learned *
                    loadFactor(endpoint, spread, nowMillis)
            )
        }
        val expected = sharing?.let { endpoint.expectedOccupancy(engine, nowMillis) }
        if (expected != null) {
            return predictShared(endpoint, engine, query.promptTokens, expected, nowMillis)
        }
        val occupancy = endpoint.occupancy(nowMillis, entryCount)
        // Other entries may fill the free slots in the report that are not allotted to this entry.
        val unreportedArrivals =
            if (endpoint.ownFreeSlots(nowMillis) > 0) 0.0 else UNREPORTED_ARRIVALS
        val model =
            predictedFirstEventMillis(engine, occupancy, query.promptTokens, unreportedArrivals)
        // A single entry knows the load exactly. There, avoiding an engine during a pass that takes
        // longer because of its prompts only loads the others.
        if (entryCount <= 1) return engineTimes(endpoint, model, 1.0, 0.0, nowMillis)
        val learned = endpoint.times.slowdown(nowMillis)
        val loadFactor = loadFactor(endpoint, occupancy.toDouble(), nowMillis)
        return engineTimes(endpoint, model, learned, 0.0, nowMillis, loadFactor)
    }

    // Prediction at the load that is expected at the endpoint, with the requests of other entries.
    private fun predictShared(
        endpoint: FleetEndpoint,
        engine: EngineTiming,
        promptTokens: Int,
        occupancy: Double,
        nowMillis: Long
    ): Prediction {
        val passMillis = passMillis(engine, minOf(occupancy, engine.slots.toDouble()))
        val recent = endpoint.arrivals.ownSince(nowMillis - passMillis.toLong())
        // The engine reads the prompts that arrive within a pass before their first events.
        val model = predictedFirstEventMillis(engine, occupancy, promptTokens, 0.0) +
            recent * prefillMillis(engine, engine.typicalPromptTokens)
        val reserved = (occupancy - engine.slots + 1 + RESERVED_ARRIVALS)
            .coerceIn(0.0, RESERVED_ARRIVALS) * completionIntervalMillis(engine)
        val learned = endpoint.times.slowdown(nowMillis)
        val loadFactor = loadFactor(endpoint, occupancy, nowMillis)
        return engineTimes(endpoint, model, learned, reserved, nowMillis, loadFactor, true)
    }

    private fun engineTimes(
        endpoint: FleetEndpoint,
        model: Double,
        learned: Double,
        reserveMillis: Double,
        nowMillis: Long,
        loadFactor: Double = 1.0,
        isForecast: Boolean = false
    ): Prediction {
        val reported =
            (endpoint.freshReport(nowMillis)?.pacePercent ?: PERCENT) / PERCENT.toDouble()
        // A report of normal speed does not outweigh slow responses.
        val slowdown = if (reported > 1.0) maxOf(reported, learned) else learned
        return Prediction(
            slowdown * model * loadFactor,
            maxOf(1.0, reported) * model,
            model,
            reserveMillis,
            isForecast
        )
    }

    private fun loadFactor(endpoint: FleetEndpoint, occupancy: Double, nowMillis: Long): Double {
        val slots = maxOf(1, endpoint.record.slots)
        val limit = endpoint.times.concurrencyLimit(slots, nowMillis)
        val beyond = if (limit < slots) occupancy + 1 - limit else 0.0
        return if (beyond > 0) 1 + maxOf(BEYOND_LIMIT_SHARE, beyond / limit) else 1.0
    }

    private fun failureShare(endpoint: FleetEndpoint, nowMillis: Long): Double =
        if (endpoint.isSilent(nowMillis)) 1.0 else endpoint.score(nowMillis)

    private fun localityPenaltyMillis(endpoint: FleetEndpoint): Double = when {
        endpoint.record.zone == zone -> 0.0
        endpoint.record.region == region -> OTHER_ZONE_PENALTY_MILLIS
        else -> OTHER_REGION_PENALTY_MILLIS
    }

    private companion object {
        const val PERCENT = 100

        // Typical duration of a call to a service without a model engine, unless it is learned.
        const val DEFAULT_CALL_MILLIS = 20.0

        // Traffic between regions is billed. An endpoint in the same region is preferred as long as
        // its first event is at most this much later, which holds up to about its twelfth request.
        const val OTHER_ZONE_PENALTY_MILLIS = 10.0
        const val OTHER_REGION_PENALTY_MILLIS = 30.0

        // An endpoint that fails every call is selected only when the others are this much slower.
        const val FAILURE_PENALTY_MILLIS = 400.0

        // A request beyond the learned concurrency is assumed to take 2.5 times as long. With 1.5
        // times, plain endpoints were filled beyond it as often as without the limit.
        const val BEYOND_LIMIT_SHARE = 1.5
        const val JITTER_MILLIS = 8.0

        // Other entries fill most of their allotted slots before the next report. With a lower
        // value, one request in nine waits for a slot under overload (OverloadSimulationTest).
        const val UNREPORTED_ARRIVALS = 3.0

        // The forecast is an average. Without a reserve, requests wait too long at engines whose
        // slots are nearly all in use; with two, slots stay free at 95% of the capacity.
        const val RESERVED_ARRIVALS = 1.0
    }
}
