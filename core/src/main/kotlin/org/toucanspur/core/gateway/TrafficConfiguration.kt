/*
 * Traffic configuration of the gateway: routes, services, organisations and limits on callers. The
 * operator publishes it through the platform's store with increasing versions.
 */
package org.toucanspur.core.gateway

import org.toucanspur.schema.ModelId
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.ZoneId

/** Execution semantics of a request. */
enum class CallKind {
    /** May be executed more than once. */
    IDEMPOTENT,

    /** Is executed at most once. */
    AT_MOST_ONCE,

    /** The response is a stream of events. */
    STREAM
}

/** Service that a route forwards to, with its relative share of the route's requests. */
data class RouteTarget(val service: ServiceId, val weight: Int)

/** Routing target and handling of the requests that match a host and a path prefix. */
data class TrafficRoute(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: CallKind,
    val targets: List<RouteTarget>,
    /** Maximum time that a caller waits for a response. */
    val timeoutMillis: Long,
    /** Latency target for a response, or for the first event of a stream. */
    val targetMillis: Long,
    /** Target for the longest gap between two events of a stream. */
    val eventGapTargetMillis: Long,
    /** Priority rank; 0 is the highest. */
    val priority: Int,
    /** Maximum number of endpoints that may execute one request. */
    val endpointsMax: Int,
    val isAnonymousAllowed: Boolean,
    /** Whether a stream may resume at another endpoint after the last event received. */
    val isResumable: Boolean,
    /** Regions that may serve the route; empty for any. */
    val homeRegions: Set<RegionId>
) {
    /** Whether a request may be retried after an endpoint may have executed it. */
    val isRepeatable: Boolean
        get() = kind == CallKind.IDEMPOTENT || (kind == CallKind.STREAM && isResumable)
}

/** Organisation of callers, with its API keys. */
data class Organisation(
    val id: OrganisationId,
    val keys: Set<String>,
    /** Priority that overrides the route's; null to keep the route's. */
    val priority: Int?,
    val homeRegions: Set<RegionId>
)

/** Performance parameters of the model engines of a service, published by the operator. */
data class EngineTiming(
    val slots: Int,
    val stepMillis: Double,
    val perSequenceMillis: Double,
    val contextPerThousandTokensMillis: Double,
    val promptTokensPerSecond: Double,
    /** Decode steps in one pass. */
    val stepsPerPass: Int,
    val typicalPromptTokens: Int,
    val typicalOutputTokens: Int,
    val kvCacheTokens: Long
)

/** Model that a service serves. */
data class ServedModel(val id: ModelId, val loadMillis: Long)

/** Server from which weight versions are downloaded. */
data class WeightOrigin(val address: String, val zone: ZoneId?, val connectionsMax: Int)

/** How many endpoints the platform may run for a service, by orders of this system. */
data class ServiceScaling(
    /** Lowest number in each availability zone. */
    val minimum: Int,
    /** Highest number in each availability zone. */
    val maximum: Int,
    /** Time after an order until a new endpoint serves. */
    val bootMillis: Long
)

/** Group of interchangeable endpoints. */
data class TrafficService(
    val id: ServiceId,
    val healthPath: String,
    val connectionsMax: Int,
    /** Request rate limit of a cold endpoint; 0 when the service has no warm-up phase. */
    val coldRequestsPerSecond: Double,
    val engine: EngineTiming?,
    val models: List<ServedModel>,
    val origin: WeightOrigin?,
    /** Null when the number of endpoints is fixed. */
    val scaling: ServiceScaling? = null,
    /** Pieces of each weight version of its models; null when it is not named. */
    val pieceCount: Int? = null
)

/** Size limits and timeouts for requests of callers. */
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
    private val ofOrganisations: Set<Int> = organisations.mapNotNull { it.priority }.toSet()

    private val byKey: Map<String, Organisation> =
        organisations.flatMap { org -> org.keys.map { it to org } }.toMap()

    /** Whether callers need an API key on routes without anonymous access. */
    val requiresApiKey: Boolean = organisations.isNotEmpty()

    private val routesByHost: Map<String, Map<String, TrafficRoute>> =
        routes.groupBy { it.host.lowercase() }
            .mapValues { (_, routes) -> routes.associateBy { it.pathPrefix } }

    /** The organisation that owns [key], or null when the key is unknown. */
    fun organisationOf(key: String): Organisation? = byKey[key]

    /** The route on [host] with the longest matching path prefix, or null when none matches. */
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

    /** Priorities of the requests to [service]. */
    fun prioritiesOf(service: ServiceId): Set<Int> {
        val ofRoutes = routes.filter { route -> route.targets.any { it.service == service } }
            .map { it.priority }
        return if (ofRoutes.isEmpty()) emptySet() else (ofRoutes + ofOrganisations).toSet()
    }

    /** Smallest latency target of the routes to [service]; 0 when there is none. */
    fun leastTargetMillis(service: ServiceId): Long =
        routes.filter { route -> route.targets.any { it.service == service } }
            .minOfOrNull { it.targetMillis } ?: 0

    private fun hostName(host: String): String = host.substringBefore(':').lowercase()
}
