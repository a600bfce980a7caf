/*
 * What the decision on the number of endpoints is based on.
 */
package org.toucanspur.core.duties

import org.toucanspur.core.gateway.Fleet
import org.toucanspur.core.gateway.FleetEndpoint
import org.toucanspur.core.gateway.ServiceDemand
import org.toucanspur.core.gateway.ServiceScaling
import org.toucanspur.core.gateway.TrafficService
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.ZoneId

private const val MILLIS_PER_SECOND = 1000.0
private const val FULL_PACE_PERCENT = 100

// An agent that reports a very slow pace does not make the others order many endpoints.
private const val PACE_MAX_PERCENT = 300

/** A service with [scaling]; [neededEndpoints] is null while the demand is not known. */
data class ScaledServiceState(
    val service: ServiceId,
    val scaling: ServiceScaling,
    val neededEndpoints: Double?,
    val zones: List<ZoneEndpoints>
)

/**
 * Endpoints that [demand] keeps busy all the time, given those that the service has. Requests that
 * come again after a refusal are left out: once there are enough endpoints, there are none.
 */
fun neededEndpoints(
    service: TrafficService,
    demand: List<ServiceDemand>,
    endpoints: List<FleetEndpoint>,
    nowMillis: Long
): Double {
    val costMillis = demand.sumOf {
        val repeated = minOf(it.repeatedCostMillisPerSecond, it.refusedCostMillisPerSecond)
        it.costMillisPerSecond - repeated
    }
    val isEngine = service.engine != null
    val capacities = endpoints.map { if (isEngine) speed(it, nowMillis) else slots(it) }
    val capacity = if (capacities.isEmpty()) 1.0 else capacities.average()
    return costMillis / MILLIS_PER_SECOND / capacity
}

private fun slots(endpoint: FleetEndpoint): Double = maxOf(1, endpoint.record.slots).toDouble()

private fun speed(endpoint: FleetEndpoint, nowMillis: Long): Double {
    val pace = endpoint.freshReport(nowMillis)?.pacePercent ?: FULL_PACE_PERCENT
    return FULL_PACE_PERCENT / pace.coerceIn(FULL_PACE_PERCENT, PACE_MAX_PERCENT).toDouble()
}

/** Endpoints of [service] in [fleet] that take requests, by zone. */
fun zoneEndpoints(fleet: Fleet, service: ServiceId, evacuated: Set<ZoneId>): List<ZoneEndpoints> =
    fleet.of(service).groupBy { it.record.zone }.map { (zone, endpoints) ->
        val live = endpoints.count { it.isAccepting && !it.isSuperseded }
        ZoneEndpoints(zone, live, zone in evacuated)
    }
