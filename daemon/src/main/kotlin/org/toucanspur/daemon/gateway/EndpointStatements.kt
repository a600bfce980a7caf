/*
 * Applies what endpoints say of themselves in their responses: a limit on the rate of requests,
 * that they are leaving, or a time for which they want no requests. Decides which requests are
 * refused because of that.
 */
package org.toucanspur.daemon.gateway

import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.EndpointStatement
import org.toucanspur.core.gateway.FleetEndpoint
import org.toucanspur.core.gateway.NamedLimit
import org.toucanspur.core.gateway.Placement
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.monotonicMillis

/** Statements of the endpoints that one entry uses; confined to the event loop. */
class EndpointStatements(private val log: DecisionLog) {
    /** Applies the [statement] in the response of [endpoint] to [call]. */
    fun onStatement(call: Call, endpoint: FleetEndpoint, statement: EndpointStatement) {
        if (call.endpointRun?.startedAtMillis != endpoint.record.startedAtMillis) return
        onNamedLimit(call, endpoint, statement.limit)
        if (statement.isLeaving) onLeaving(endpoint)
        if (statement.backoffMillis > 0) onBackoffRequested(endpoint, statement.backoffMillis)
    }

    private fun onNamedLimit(call: Call, endpoint: FleetEndpoint, limit: NamedLimit) {
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

    private fun onLeaving(endpoint: FleetEndpoint) {
        if (endpoint.isLeaving) return
        endpoint.onLeaving()
        log.event(EventCode.ENDPOINT_LEAVING) {
            put("endpoint", endpoint.record.id.value)
            put("isListedReady", endpoint.record.isReady)
        }
    }

    private fun onBackoffRequested(endpoint: FleetEndpoint, backoffMillis: Long) {
        val now = monotonicMillis()
        val before = endpoint.requestedBackoffMillis(now)
        endpoint.onBackoffRequested(backoffMillis, now)
        if (backoffMillis <= before) return
        log.event(EventCode.ENDPOINT_BACKOFF) {
            put("endpoint", endpoint.record.id.value)
            put("backoffMillis", backoffMillis)
            put("backoffMillisBefore", before)
        }
    }

    /**
     * Whether [call] is refused at once: what all endpoints ask for lets none of them get it in
     * time, or only after one of the [waitingCount] calls before it. A resumed stream waits all the
     * same, as its caller would lose it.
     */
    fun mustRefuse(call: Call, placement: Placement, waitingCount: Int, nowMillis: Long): Boolean {
        val opensInMillis = (placement as? Placement.Busy)?.opensInMillis ?: 0
        if (opensInMillis == 0L || call.isCommitted) return false
        return waitingCount > 0 || nowMillis + opensInMillis > call.untilMillis
    }
}
