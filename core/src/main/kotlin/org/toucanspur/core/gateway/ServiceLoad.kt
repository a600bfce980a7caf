/*
 * Load and capacity of a service as one entry sees them in the endpoints' records and load reports.
 * The load: services of 6 to 56 endpoints that lose endpoints, load weights one after the other and
 * slow down under it; reports are up to about a second old.
 */
package org.toucanspur.core.gateway

private const val MILLIS_PER_SECOND = 1000.0
private const val PERCENT = 100.0

/** Load of the endpoints of a service that can take requests. */
data class ServiceLoad(
    val endpoints: Int,
    val slots: Int,
    val occupied: Int,
    /** Requests that wait at endpoints. */
    val waiting: Int,
    /** Cost in milliseconds of engines, or of slots, that can be served per second. */
    val costPerSecond: Double,
    /** Time per step of the slowest endpoint relative to its typical value. */
    val paceMax: Double = 1.0
) {
    /** Free slots as a part of all slots. */
    val freeShare: Double get() = if (slots == 0) 0.0 else (slots - occupied) / slots.toDouble()

    /** Requests that wait at endpoints as a part of all slots. */
    val waitingShare: Double get() = if (slots == 0) 0.0 else waiting / slots.toDouble()

    /** Whether less than half of the slots are in use and nothing waits at the endpoints. */
    val isMostlyFree: Boolean get() = slots > 0 && waiting == 0 && occupied * 2 < slots
}

/** Time that the prompt of a request takes more than a typical one. */
fun extraPrefillMillis(engine: EngineTiming, promptTokens: Int): Double =
    prefillMillis(engine, maxOf(0, promptTokens - engine.typicalPromptTokens))

/** Load of [service] as known to one of [entryCount] entries. */
fun Fleet.loadOf(service: TrafficService, nowMillis: Long, entryCount: Int): ServiceLoad {
    var endpoints = 0
    var slots = 0
    var occupied = 0
    var waiting = 0
    var costPerSecond = 0.0
    var paceMax = 1.0
    for (endpoint in of(service.id)) {
        if (!canServe(endpoint, service, nowMillis)) continue
        val ownSlots = maxOf(1, endpoint.record.slots)
        val occupancy = endpoint.concurrency(service, nowMillis, entryCount)
        val pace = (endpoint.freshReport(nowMillis)?.pacePercent ?: 0) / PERCENT
        paceMax = maxOf(paceMax, pace)
        endpoints++
        slots += ownSlots
        occupied += minOf(occupancy, ownSlots)
        waiting += maxOf(0, occupancy - ownSlots)
        val units = if (service.engine == null) ownSlots else 1
        costPerSecond += units * MILLIS_PER_SECOND / maxOf(1.0, pace)
    }
    return ServiceLoad(endpoints, slots, occupied, waiting, costPerSecond, paceMax)
}

private fun canServe(endpoint: FleetEndpoint, service: TrafficService, nowMillis: Long): Boolean =
    endpoint.isAccepting &&
        !endpoint.isSuperseded &&
        !endpoint.isExcluded(nowMillis) &&
        !endpoint.isSilent(nowMillis) &&
        !endpoint.isPaused(nowMillis) &&
        (service.engine == null || (endpoint.loadedVersion(nowMillis) ?: 0) > 0)
