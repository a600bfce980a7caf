/*
 * Explanation of what an entry would do with a request. It has no key of a caller.
 */
package org.toucanspur.core.gateway

import kotlinx.serialization.Serializable

/** What would become of the request. */
enum class ExplainedOutcome {
    /** It would be sent to the chosen endpoint. */
    SENT,

    /** It would wait for an endpoint. */
    WAITS,

    /** It would be refused. */
    REFUSED,

    /** The configuration has no route for it. */
    ROUTE_UNKNOWN,

    /** No organisation has its key. */
    KEY_UNKNOWN,

    /** The entry cannot decide yet, or not any more. */
    NOT_READY
}

/** How the request is admitted: [share] is the part of its priority that is admitted. */
@Serializable
data class ExplainedAdmission(
    val isOverloaded: Boolean,
    val share: Double,
    val isAdmitted: Boolean,
    /** Whether it counts as a first attempt of its caller, which can be on time. */
    val isOnTime: Boolean
)

/** Time for which the request would wait at most, and its predicted wait; null if unknown. */
@Serializable
data class ExplainedWait(
    val maxMillis: Long,
    val predictedMillis: Long?,
    val isBehindOthers: Boolean
)

/** An endpoint of the service; [exclusion] says why it does not get the request. */
@Serializable
data class ExplainedEndpoint(
    val id: String,
    val zone: String,
    val isChosen: Boolean,
    val exclusion: EndpointExclusion?,
    val firstByteMillis: Double?,
    val isWithinBudget: Boolean,
    val cost: Double?,
    val occupancy: Int,
    val slots: Int,
    /** Age of the last load report; -1 without one. */
    val reportAgeMillis: Long
)

/** The response to the request if it would be refused. */
@Serializable
data class ExplainedRefusal(
    val status: Int,
    val reason: String,
    val cause: String,
    val retryAfterMillis: Long?
)

/** What an entry would do with a request, as of the configuration with [configuration]. */
@Serializable
data class CallExplanation(
    val entry: String,
    val configuration: Long,
    val outcome: ExplainedOutcome,
    val route: String? = null,
    val service: String? = null,
    /** Services of the route with their weights; one of them is chosen at random. */
    val targets: Map<String, Int> = emptyMap(),
    /** Organisation of the key; null for a request without one. */
    val organisation: String? = null,
    val priority: Int? = null,
    val admission: ExplainedAdmission? = null,
    /** Longest time to the first byte with which an endpoint is chosen. */
    val budgetMillis: Double? = null,
    val wait: ExplainedWait? = null,
    val endpoints: List<ExplainedEndpoint> = emptyList(),
    val refusal: ExplainedRefusal? = null
)
