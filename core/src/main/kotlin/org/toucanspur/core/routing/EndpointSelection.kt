/*
 * Selects an endpoint for a request. Only endpoints that confirmed a release and accept requests
 * are candidates. The local zone is preferred, and requests spill over to the region and then to
 * all regions under load. Requests with the same prefix prefer the same endpoint as long as its
 * load stays near the average; otherwise the less loaded of two random endpoints is selected.
 */
package org.toucanspur.core.routing

import kotlin.random.Random
import org.toucanspur.core.membership.rendezvousScore
import org.toucanspur.core.membership.stableHash
import org.toucanspur.schema.EndpointStatus
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.VmId
import org.toucanspur.schema.ZoneId

/** Endpoint as seen by an entry: its last status report and the entry's own requests to it. */
data class EndpointView(
    val status: EndpointStatus,
    val ownInFlight: Int,
    val ownInFlightAtReport: Int,
    val isEjected: Boolean
) {
    /** Load relative to the limit, including own requests sent after the last report. */
    val load: Double
        get() {
            val unreported = maxOf(0, ownInFlight - ownInFlightAtReport)
            return (status.running + status.held + unreported).toDouble() / maxOf(1, status.limit)
        }
}

/** Requirements of a request on an endpoint. */
data class RouteQuery(
    val zone: ZoneId,
    val region: RegionId,
    val excludedZones: Set<ZoneId>,
    val release: ReleaseDigest? = null,
    val needsRelease: Boolean = true,
    val prefix: String? = null,
    val excluded: Set<VmId> = emptySet()
)

private const val SPILLOVER_LOAD = 0.8
private const val AFFINITY_LOAD_FACTOR = 1.25
private const val HEALTHY_SHARE_MIN = 0.5

/** Selects an endpoint for [query] among [endpoints] of one pool; null when none is usable. */
fun selectEndpoint(
    endpoints: List<EndpointView>,
    query: RouteQuery,
    random: Random
): EndpointView? {
    val usable = endpoints.filter { isUsable(it, query) }
    val healthy = usable.filterNot { it.isEjected }
    val candidates = if (healthy.size < usable.size * HEALTHY_SHARE_MIN) usable else healthy
    if (candidates.isEmpty()) return null
    val nearest = nearestCandidates(candidates, query)
    return preferredByPrefix(nearest, query.prefix) ?: lessLoadedOfTwo(nearest, random)
}

private fun isUsable(endpoint: EndpointView, query: RouteQuery): Boolean {
    val status = endpoint.status
    return status.accepting &&
        status.zone !in query.excludedZones &&
        status.vm !in query.excluded &&
        (!query.needsRelease || status.loaded != null) &&
        (query.release == null || status.loaded == query.release)
}

// Widens the candidates from the local zone to the region to all while the average load is high.
private fun nearestCandidates(
    candidates: List<EndpointView>,
    query: RouteQuery
): List<EndpointView> {
    val sameZone = candidates.filter { it.status.zone == query.zone }
    if (sameZone.isNotEmpty() && averageLoad(sameZone) < SPILLOVER_LOAD) return sameZone
    val sameRegion = candidates.filter { it.status.region == query.region }
    if (sameRegion.isNotEmpty() && averageLoad(sameRegion) < SPILLOVER_LOAD) return sameRegion
    return candidates
}

private fun averageLoad(endpoints: List<EndpointView>): Double = endpoints.map { it.load }.average()

private fun preferredByPrefix(candidates: List<EndpointView>, prefix: String?): EndpointView? {
    if (prefix == null) return null
    val key = stableHash(prefix)
    val preferred = candidates.maxBy { rendezvousScore(key, stableHash(it.status.vm.value)) }
    val bound = maxOf(averageLoad(candidates) * AFFINITY_LOAD_FACTOR, SPILLOVER_LOAD / 2)
    return preferred.takeIf { it.load <= bound }
}

private fun lessLoadedOfTwo(candidates: List<EndpointView>, random: Random): EndpointView {
    val first = candidates.random(random)
    val second = candidates.random(random)
    return if (first.load <= second.load) first else second
}
