/*
 * Places calls on endpoints: what a call requires of its endpoint, whether waiting may help if none
 * fits, and when its caller should come back.
 */
package org.toucanspur.daemon.gateway

import org.toucanspur.core.gateway.Placement
import org.toucanspur.core.gateway.PlacementQuery
import org.toucanspur.core.gateway.PlacementTrace
import org.toucanspur.core.gateway.WaitPolicy
import org.toucanspur.core.gateway.extraPrefillMillis
import org.toucanspur.core.gateway.isAwaitingLoad
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.RegionId

/** Placement of the calls of one entry; confined to the event loop. */
class CallPlacement(
    private val state: GatewayState,
    private val versions: CallVersions,
    private val overload: OverloadControl
) {
    /** Selects an endpoint for [call] other than those in [tried]; [trace] gets the reasons. */
    fun place(
        call: Call,
        nowMillis: Long,
        isFinalAttempt: Boolean = false,
        tried: Set<EndpointId> = call.tried,
        trace: PlacementTrace? = null
    ): Placement {
        val elapsed = nowMillis - call.request.receivedMillis
        val budget = if (call.isCommitted) {
            RESUME_BUDGET_MILLIS
        } else {
            val own =
                WaitPolicy.firstByteBudgetMillis(call.route.targetMillis, elapsed, call.isOnTime)
            overload.budgetMillis(call, own, elapsed) + extraPromptMillis(call)
        }
        val query = query(call, nowMillis, tried, isFinalAttempt)
        val entryCount = state.entryCount(nowMillis)
        return state.placer.place(query, budget, nowMillis, entryCount, trace)
    }

    private fun query(
        call: Call,
        nowMillis: Long,
        tried: Set<EndpointId>,
        isFinalAttempt: Boolean
    ) = PlacementQuery(
        service = call.service,
        promptTokens = call.metadata.promptTokens
            ?: call.service.engine?.typicalPromptTokens
            ?: 0,
        regions = allowedRegions(call),
        excludedZones = state.evacuatedZones,
        tried = tried,
        versionMin = versions.versionMin(call, nowMillis),
        slowPathVersionMin = versions.slowPathVersionMin(call, nowMillis),
        mustFinish = !isFinalAttempt &&
            call.executedAttempts > 0 &&
            call.executedAttempts + 1 >= call.route.endpointsMax
    )

    /** Whether [call], which no endpoint can take now, is expected to find one after a load. */
    fun isAwaitingLoad(call: Call, nowMillis: Long): Boolean = state.fleet.isAwaitingLoad(
        query(call, nowMillis, call.tried, isFinalAttempt = false),
        nowMillis
    )

    // A long prompt takes its time at any endpoint; it must not keep the request from all of them.
    private fun extraPromptMillis(call: Call): Double {
        val engine = call.service.engine ?: return 0.0
        return extraPrefillMillis(engine, call.metadata.promptTokens ?: 0)
    }

    /** What restricts the endpoints of [call], apart from what it has tried. */
    fun constraintsOf(call: Call): Any =
        Triple(call.service.id, allowedRegions(call), call.metadata.model)

    private fun allowedRegions(call: Call): Set<RegionId>? {
        val organisationRegions = call.organisation?.homeRegions.orEmpty()
        val routeRegions = call.route.homeRegions
        return when {
            organisationRegions.isEmpty() && routeRegions.isEmpty() -> null
            organisationRegions.isEmpty() -> routeRegions
            routeRegions.isEmpty() -> organisationRegions
            else -> organisationRegions intersect routeRegions
        }
    }

    /**
     * Whether an endpoint may become able to serve [call] while it is queued. One that already had
     * the request does not get it again.
     */
    fun hasAcceptingEndpoint(call: Call): Boolean =
        state.fleet.of(call.service.id).any { it.isAccepting && it.record.id !in call.tried }

    /**
     * Time after which the caller of [call], which got [placement], should come back. Its next
     * request may also go to the endpoints that have refused this one.
     */
    fun retryAfterMillis(call: Call, placement: Placement): Long {
        val next = if (call.tried.isEmpty()) {
            placement
        } else {
            place(call, monotonicMillis(), tried = emptySet())
        }
        return when (next) {
            is Placement.Busy ->
                WaitPolicy.retryAfterMillis(next.firstByteMillis, state.random, next.opensInMillis)
            is Placement.Send -> WaitPolicy.retryAfterMillis(SHORT_RETRY_MILLIS, state.random)
            Placement.Nowhere ->
                WaitPolicy.retryAfterMillis(NO_ENDPOINT_RETRY_MILLIS, state.random)
        }
    }

    private companion object {
        // An engine with staged weights loads them within about this time.
        const val NO_ENDPOINT_RETRY_MILLIS = 800.0
        const val SHORT_RETRY_MILLIS = 200.0

        // Callers close a stream after two seconds without an event.
        const val RESUME_BUDGET_MILLIS = 900.0
    }
}
