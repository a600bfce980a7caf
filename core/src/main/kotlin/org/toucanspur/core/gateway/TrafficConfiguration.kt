/*
 * The traffic configuration as the gateway uses it: routes, services, organisations and limits on
 * callers. It comes from the operator through the platform's store; versions only rise.
 */
package org.toucanspur.core.gateway

import org.toucanspur.schema.ModelId
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.ZoneId

/** How often a request may run. */
enum class CallKind {
    /** May run more than once. */
    IDEMPOTENT,

    /** Runs once at most. */
    AT_MOST_ONCE,

    /** Answered by a series of events. */
    STREAM
}

/** A service that a route points to, with its share of the route's requests. */
data class RouteTarget(val service: ServiceId, val weight: Int)

/** Where requests with a host and a path prefix go, and what may be done with them. */
data class TrafficRoute(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: CallKind,
    val targets: List<RouteTarget>,
    /** Longest time a caller is kept waiting. */
    val timeoutMillis: Long,
    /** Time within which an answer, or the first event of a stream, is on time. */
    val targetMillis: Long,
    /** Longest pause between two events of a stream that is on time. */
    val eventGapTargetMillis: Long,
    /** Rank; 0 goes first. */
    val priority: Int,
    /** Endpoints that one request may be sent to. */
    val endpointsMax: Int,
    val isAnonymousAllowed: Boolean,
    /** Whether a stream may continue at another endpoint after the last event received. */
    val isResumable: Boolean,
    /** Regions that may serve the route; empty for all. */
    val homeRegions: Set<RegionId>
) {
    /** Whether a request may be sent again after it may have run. */
    val isRepeatable: Boolean
        get() = kind == CallKind.IDEMPOTENT || (kind == CallKind.STREAM && isResumable)
}

/** A caller organisation with its API keys. */
data class Organisation(
    val id: OrganisationId,
    val keys: Set<String>,
    /** Rank that replaces the route's; null to keep the route's. */
    val priority: Int?,
    val homeRegions: Set<RegionId>
)

/** Timing of the model engines of a service, as published by the operator. */
data class EngineTiming(
    val slots: Int,
    val stepMillis: Double,
    val perSequenceMillis: Double,
    val contextPerThousandTokensMillis: Double,
    val promptTokensPerSecond: Double,
    /** Steps in one pass that includes writers. */
    val stepsPerPass: Int,
    val usualPromptTokens: Int,
    val usualAnswerTokens: Int,
    val memoryTokens: Long
)

/** A model of a service. */
data class ServedModel(val id: ModelId, val loadMillis: Long)

/** Where weight versions come from. */
data class WeightOrigin(val address: String, val zone: ZoneId?, val connectionsMax: Int)

/** A group of interchangeable endpoints. */
data class TrafficService(
    val id: ServiceId,
    val healthPath: String,
    val connectionsMax: Int,
    /** Requests a second that a cold endpoint bears; 0 when the service has no cold phase. */
    val coldRequestsPerSecond: Double,
    val engine: EngineTiming?,
    val models: List<ServedModel>,
    val origin: WeightOrigin?
)

/** What callers may send, and how long they may take. */
data class CallerLimits(
    val headerMaxBytes: Int,
    val bodyMaxBytes: Int,
    val headerTimeoutMillis: Long,
    val idleTimeoutMillis: Long
)

/** One version of the traffic configuration. */
class TrafficConfiguration(
    val version: Long,
    val routes: List<TrafficRoute>,
    val services: Map<ServiceId, TrafficService>,
    val limits: CallerLimits,
    organisations: List<Organisation>
) {
    private val byKey: Map<String, Organisation> =
        organisations.flatMap { org -> org.keys.map { it to org } }.toMap()

    /** Whether callers need a key on routes that are not open to all. */
    val needsKeys: Boolean = organisations.isNotEmpty()

    private val routesByHost: Map<String, Map<String, TrafficRoute>> =
        routes.groupBy { it.host.lowercase() }
            .mapValues { (_, routes) -> routes.associateBy { it.pathPrefix } }

    /** The organisation that holds [key]. */
    fun organisationOf(key: String): Organisation? = byKey[key]

    /** The route with the longest prefix of [path] on [host]; null when there is none. */
    fun route(host: String, path: String): TrafficRoute? {
        val byPrefix = routesByHost[hostName(host)] ?: return null
        val plainPath = path.substringBefore('?')
        var end = plainPath.lastIndexOf('/')
        while (end >= 0) {
            byPrefix[plainPath.substring(0, end + 1)]?.let { return it }
            end = plainPath.lastIndexOf('/', end - 1)
        }
        return null
    }

    private fun hostName(host: String): String = host.substringBefore(':').lowercase()
}
