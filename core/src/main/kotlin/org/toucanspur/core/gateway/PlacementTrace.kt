/*
 * Reasons of a placement, for those who ask where a request would be sent. The placement itself
 * reports them, so that they cannot differ from what it does.
 */
package org.toucanspur.core.gateway

import org.toucanspur.schema.EndpointId

/** Why an endpoint does not get a request, with the explanation for operators. */
enum class EndpointExclusion(val text: String) {
    NOT_ACCEPTING("is draining, or has said that it is leaving"),
    SUPERSEDED("an endpoint that started later uses its address"),
    ZONE_EVACUATED("its availability zone gets no requests"),
    TRIED("has had the request already"),
    REGION("is not in a home region of the route or the organisation"),
    WEIGHTS("has no weights, or an older version than the request needs"),
    LOADING("loads weights"),
    SILENT("its agent and the endpoint are silent, and it has a request of this entry"),
    LOAD_SOON("a weight load would interrupt the response"),
    BACKING_OFF("backs off after failures or refusals, or another endpoint uses its address"),
    RATE("is at the rate of requests that it names, or wants no requests for a time"),
    LATE("its first byte would come after the budget of the request"),
    CONNECTIONS("has as many requests of this entry as the service allows"),
    COLD("is cold and at its rate of requests")
}

/**
 * What a placement found of [endpoint]: why it is not chosen, if there is an [exclusion], and the
 * time to the first byte and the cost as far as they were needed. The lowest cost is chosen; an
 * endpoint that is [isWithinBudget] by its learned speed goes before the others.
 */
class EndpointVerdict(
    val endpoint: FleetEndpoint,
    val exclusion: EndpointExclusion?,
    val firstByteMillis: Double? = null,
    val cost: Double? = null,
    val isWithinBudget: Boolean = true
)

/** Receives the reasons of one placement. */
interface PlacementTrace {
    /** Called first, with the budget for the first byte. */
    fun onBudget(budgetMillis: Double)

    /** Called for each endpoint of the service. */
    fun onEndpoint(verdict: EndpointVerdict)
}

/** Keeps the reasons of one placement. */
class PlacementReasons : PlacementTrace {
    /** Budget for the first byte; null when no endpoint was asked for. */
    var budgetMillis: Double? = null
        private set

    private val verdicts = LinkedHashMap<EndpointId, EndpointVerdict>()

    /** Verdict of each endpoint of the service. */
    val endpoints: Collection<EndpointVerdict> get() = verdicts.values

    override fun onBudget(budgetMillis: Double) {
        this.budgetMillis = budgetMillis
    }

    override fun onEndpoint(verdict: EndpointVerdict) {
        verdicts[verdict.endpoint.record.id] = verdict
    }
}
