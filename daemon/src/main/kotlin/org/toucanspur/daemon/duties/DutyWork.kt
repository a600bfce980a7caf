/*
 * The duties that an entry does while it holds the lease.
 */
package org.toucanspur.daemon.duties

import io.micrometer.core.instrument.MeterRegistry
import org.toucanspur.core.duties.DutyApi
import org.toucanspur.core.duties.DutyLease
import org.toucanspur.core.duties.ScaledServiceState
import org.toucanspur.core.duties.UsagePlan
import org.toucanspur.core.duties.UsageTiming
import org.toucanspur.core.duties.neededEndpoints
import org.toucanspur.core.duties.zoneEndpoints
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.daemon.gateway.GatewayState
import org.toucanspur.daemon.gateway.systemClocks
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.platform.OperationsClient
import org.toucanspur.schema.DutiesSection

private const val USAGE_DUTY = "usage_report"
private const val SCALING_DUTY = "scaling"
private const val MILLIS_PER_SECOND = 1000L

/** Length of a usage window; null if the deployment reports no usage. */
val DutiesSection.usageWindowMillis: Long?
    get() = if (hasDuty(USAGE_DUTY)) usageWindowSeconds * MILLIS_PER_SECOND else null

private fun DutiesSection.hasDuty(name: String): Boolean =
    name in duties.split(',').map { it.trim() }

/** Duties of an entry with [state]; confined to the event loop. */
class DutyWork(
    private val state: GatewayState,
    lease: DutyLease,
    api: DutyApi,
    log: DecisionLog,
    registry: MeterRegistry
) {
    private val settings = state.settings.duties
    private val updates = RecordUpdates(lease)

    /** Reporter of usage; null if the deployment has no such duty. */
    val reporter: UsageReporter? = settings.usageWindowMillis?.let { windowMillis ->
        val timing = UsageTiming(windowMillis, settings.usageLatenessSeconds * MILLIS_PER_SECOND)
        UsageReporter(
            lease,
            updates,
            api,
            UsagePlan(timing, state.exchange),
            systemClocks,
            OperationsClient.CALL_TIMEOUT_MILLIS,
            { if (state.exchange.isKnown()) state.exchange.trueMillis() else null },
            log,
            registry
        )
    }

    /** Orders of endpoints; null if the deployment has no such duty. */
    val orders: EndpointOrders? = if (settings.hasDuty(SCALING_DUTY)) {
        EndpointOrders(
            lease,
            updates,
            api,
            systemClocks,
            OperationsClient.CALL_TIMEOUT_MILLIS,
            ::scaledServices,
            log,
            registry
        )
    } else {
        null
    }

    /** Time of day for fencing numbers: the true time, or the wall clock while it is not known. */
    fun timeOfDayMillis(): Long = if (state.exchange.isKnown()) {
        state.exchange.trueMillis()
    } else {
        systemClocks.now().wallMillis
    }

    private fun scaledServices(): List<ScaledServiceState> {
        val now = systemClocks.now()
        // Without a current list of endpoints, it is not known how many there are.
        val isKnown = state.exchange.isKnown() &&
            state.storeFreshness[ObjectKind.ENDPOINTS].isFresh(now)
        return state.configuration?.services?.values.orEmpty().mapNotNull { service ->
            val scaling = service.scaling ?: return@mapNotNull null
            val needed = neededEndpoints(
                service,
                state.exchange.demand.total(service.id, now.monotonicMillis),
                state.fleet.of(service.id),
                now.monotonicMillis
            )
            ScaledServiceState(
                service.id,
                scaling,
                needed.takeIf { isKnown },
                zoneEndpoints(state.fleet, service.id, state.evacuatedZones)
            )
        }
    }
}
