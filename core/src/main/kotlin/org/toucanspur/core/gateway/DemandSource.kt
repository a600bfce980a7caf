/*
 * Demand on a service as its callers offer it, whether or not it is served. The number of endpoints
 * and the admission under overload are decided from the demand at all entries together.
 */
package org.toucanspur.core.gateway

import org.toucanspur.schema.ServiceId

/** Demand on [service] by requests of one [priority], averaged over about a second. */
data class ServiceDemand(
    val service: ServiceId,
    /** Priority of the organisation or else of the route; 0 is the highest. */
    val priority: Int,
    /** Requests in 1000 s, those included that were refused. */
    val milliRequestsPerSecond: Long,
    /**
     * Cost of these requests in milliseconds a second: of an engine for services with one, else of
     * a slot. 1000 occupies one engine or slot.
     */
    val costMillisPerSecond: Long,
    /** Part of the cost whose requests were refused. */
    val refusedCostMillisPerSecond: Long,
    /** Part of the cost whose requests came again after a refusal. */
    val repeatedCostMillisPerSecond: Long = 0
)

/** Demand on the services at all entries together. */
interface DemandSource {
    /** Demand on [service] by priority; empty when there is none. */
    fun total(service: ServiceId, nowMillis: Long): List<ServiceDemand>
}
