/*
 * Applies the limits that endpoints name to requests: what the responses say, and which requests
 * are refused because all endpoints are at their limit.
 */
package org.toucanspur.daemon.gateway

import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.FleetEndpoint
import org.toucanspur.core.gateway.NamedLimit
import org.toucanspur.core.gateway.Placement
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.monotonicMillis

/** Limits of the calls of one entry; confined to the event loop. */
class CallLimits(private val log: DecisionLog) {
    /** Applies the [limit] in the response of [endpoint] to [call]. */
    fun onNamedLimit(call: Call, endpoint: FleetEndpoint, limit: NamedLimit) {
        if (call.endpointRun?.startedAtMillis != endpoint.record.startedAtMillis) return
        val before = endpoint.limitPerSecond
        endpoint.onNamedLimit(limit, call.sentMillis, monotonicMillis())
        val after = endpoint.limitPerSecond
        if (after == before) return
        log.event(EventCode.ENDPOINT_LIMITED) {
            put("endpoint", endpoint.record.id.value)
            put("limitPerSecond", after)
            put("limitPerSecondBefore", before)
        }
    }

    /**
     * Whether [call] is refused at once: all endpoints are at their limit, and the next share comes
     * too late or is for one of the [waitingCount] calls before it. A resumed stream waits all the
     * same, as its caller would lose it.
     */
    fun mustRefuse(call: Call, placement: Placement, waitingCount: Int, nowMillis: Long): Boolean {
        val opensInMillis = (placement as? Placement.Busy)?.limitOpensInMillis ?: 0
        if (opensInMillis == 0L || call.isCommitted) return false
        return waitingCount > 0 || nowMillis + opensInMillis > call.untilMillis
    }
}
