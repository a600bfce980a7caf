/*
 * Orders the number of endpoints of the services while this entry holds the lease for duties.
 */
package org.toucanspur.daemon.duties

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.delay
import kotlinx.serialization.json.put
import org.toucanspur.core.duties.DutyApi
import org.toucanspur.core.duties.DutyLease
import org.toucanspur.core.duties.DutyReply
import org.toucanspur.core.duties.EndpointOrder
import org.toucanspur.core.duties.EndpointScaling
import org.toucanspur.core.duties.ScaledServiceState
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.ClockPair
import org.toucanspur.core.gateway.ServiceScaling
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.ZoneId

/**
 * Orders endpoints as [EndpointScaling] decides. [services] returns the services with scaling and
 * their state. [callMillis] is the time for which a permit has to be valid for a call.
 */
class EndpointOrders(
    private val lease: DutyLease,
    private val updates: RecordUpdates,
    private val api: DutyApi,
    private val clocks: ClockPair,
    private val callMillis: Long,
    private val services: () -> List<ScaledServiceState>,
    private val log: DecisionLog,
    private val registry: MeterRegistry
) {
    private val plans = HashMap<ServiceId, EndpointScaling>()

    /** Orders for ever. */
    suspend fun run() {
        while (true) {
            step()
            delay(STEP_MILLIS)
        }
    }

    /**
     * Records the state of the services, and makes the orders that are due. The state is recorded
     * without the lease too, so that a new holder knows the demand of the last minute.
     */
    suspend fun step() {
        val current = services()
        plans.keys.retainAll(current.map { it.service }.toSet())
        val isHeld = lease.permit(callMillis) != null
        val now = clocks.now().monotonicMillis
        current.forEach { state ->
            val orders = if (isHeld) ordersOf(state.service) else emptyMap()
            planOf(state.service).observe(state.neededEndpoints, state.zones, orders, now)
        }
        if (isHeld) current.forEach { order(it) }
    }

    private suspend fun order(state: ScaledServiceState) {
        val plan = planOf(state.service)
        val before = ordersOf(state.service)
        val isRecorded = state.neededEndpoints == null ||
            record(state.service, plan, state.scaling)
        if (!isRecorded) return
        val now = clocks.now().monotonicMillis
        val orders = ordersOf(state.service)
        val changed = orders.filter { (zone, count) -> before[zone] != count }
        (plan.repeats(orders, now) + changed).forEach { (zone, count) ->
            send(state.service, zone, count)
        }
    }

    // Stores changed orders before they are sent, so that a new holder continues them. Returns
    // false if that failed.
    private suspend fun record(
        service: ServiceId,
        plan: EndpointScaling,
        scaling: ServiceScaling
    ): Boolean {
        val before = ordersOf(service)
        val changed = plan.decide(scaling, before, clocks.now().monotonicMillis)
        if (changed.isEmpty()) return true
        updates.update { record ->
            val kept = record.orders.filter { it.service != service || it.zone !in changed }
            record.copy(
                orders = kept + changed.map { (zone, count) -> EndpointOrder(service, zone, count) }
            )
        } ?: return false
        changed.forEach { (zone, count) ->
            log.event(EventCode.ENDPOINTS_ORDERED) {
                put("service", service.value)
                put("zone", zone.value)
                put("count", count)
                before[zone]?.let { put("before", it) }
            }
        }
        return true
    }

    private suspend fun send(service: ServiceId, zone: ZoneId, count: Int) {
        val permit = lease.permit(callMillis) ?: return
        // The order may have changed, or the lease been lost and acquired again, since it was read.
        if (ordersOf(service)[zone] != count) return
        val reply = api.orderEndpoints(permit, service, zone, count)
        planOf(service).onOrdered(zone, reply, clocks.now().monotonicMillis)
        val result = if (reply == DutyReply.ACCEPTED) "accepted" else "failed"
        registry.counter("toucanspur.scaling.orders", "result", result).increment()
    }

    private fun planOf(service: ServiceId) = plans.getOrPut(service) { EndpointScaling() }

    private fun ordersOf(service: ServiceId): Map<ZoneId, Int> = lease.record?.orders.orEmpty()
        .filter { it.service == service }
        .associate { it.zone to it.count }

    private companion object {
        const val STEP_MILLIS = 500L
    }
}
