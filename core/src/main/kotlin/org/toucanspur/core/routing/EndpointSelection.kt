/*
 * Chooses an endpoint for a request. Only endpoints that confirmed a release and accept work are
 * candidates. The nearest zone is preferred and others are used as load asks for it. Among equals
 * the better of two random choices wins, and requests with the same prefix prefer the same
 * endpoint as long as its load stays near the average.
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

/** An endpoint as an entry sees it: its last report and the entry's own requests since. */
data class EndpointView(
    val status: EndpointStatus,
    val ownInFlight: Int,
    val ownInFlightAtReport: Int,
    val isEjected: Boolean
) {
    /** Load as a share of the limit, corrected by own requests that the report does not show. */
    val load: Double
        get() {
            val unseen = maxOf(0, ownInFlight - ownInFlightAtReport)
            return (status.running + status.held + unseen).toDouble() / maxOf(1, status.limit)
        }
}

/** What a request asks of an endpoint. */
data class RouteQuery(
    val zone: ZoneId,
    val region: RegionId,
    val excludedZones: Set<ZoneId>,
    val release: ReleaseDigest? = null,
    val needsRelease: Boolean = true,
    val prefix: String? = null,
    val excluded: Set<VmId> = emptySet()
)

private const val SPILL_LOAD = 0.8
private const val AFFINITY_SLACK = 1.25
private const val EJECTED_SHARE_MAX = 0.5

/** The endpoint for [query] among [endpoints] of one pool, or null when none may take it. */
fun selectEndpoint(
    endpoints: List<EndpointView>,
    query: RouteQuery,
    random: Random
): EndpointView? {
    val usable = endpoints.filter { isUsable(it, query) }
    val healthy = usable.filterNot { it.isEjected }
    val candidates = if (healthy.size < usable.size * EJECTED_SHARE_MAX) usable else healthy
    if (candidates.isEmpty()) return null
    val near = nearest(candidates, query)
    return byPrefix(near, query.prefix) ?: betterOfTwo(near, random)
}

private fun isUsable(endpoint: EndpointView, query: RouteQuery): Boolean {
    val status = endpoint.status
    return status.accepting &&
        status.zone !in query.excludedZones &&
        status.vm !in query.excluded &&
        (!query.needsRelease || status.loaded != null) &&
        (query.release == null || status.loaded == query.release)
}

// Widens the circle from the own zone to the region to everywhere while the average load is high.
private fun nearest(candidates: List<EndpointView>, query: RouteQuery): List<EndpointView> {
    val sameZone = candidates.filter { it.status.zone == query.zone }
    if (sameZone.isNotEmpty() && averageLoad(sameZone) < SPILL_LOAD) return sameZone
    val sameRegion = candidates.filter { it.status.region == query.region }
    if (sameRegion.isNotEmpty() && averageLoad(sameRegion) < SPILL_LOAD) return sameRegion
    return candidates
}

private fun averageLoad(endpoints: List<EndpointView>): Double = endpoints.map { it.load }.average()

private fun byPrefix(candidates: List<EndpointView>, prefix: String?): EndpointView? {
    if (prefix == null) return null
    val key = stableHash(prefix)
    val preferred = candidates.maxBy { rendezvousScore(key, stableHash(it.status.vm.value)) }
    val bound = maxOf(averageLoad(candidates) * AFFINITY_SLACK, SPILL_LOAD / 2)
    return preferred.takeIf { it.load <= bound }
}

private fun betterOfTwo(candidates: List<EndpointView>, random: Random): EndpointView {
    val first = candidates.random(random)
    val second = candidates.random(random)
    return if (first.load <= second.load) first else second
}
