/*
 * Measures the attempts of calls, so that the speed of endpoints is learned, and logs which
 * endpoints become slower than usual or take their usual time again.
 */
package org.toucanspur.daemon.gateway

import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.AttemptTiming
import org.toucanspur.core.gateway.CallKind
import org.toucanspur.core.gateway.FleetEndpoint
import org.toucanspur.core.gateway.Placement
import org.toucanspur.core.gateway.stallMillis
import org.toucanspur.daemon.log.DecisionLog

/** Learned speed of the endpoints that one entry uses; confined to the event loop. */
class EndpointSpeeds(private val state: GatewayState, private val log: DecisionLog) {
    private var nextLogMillis = Long.MIN_VALUE

    /** Begins to measure the attempt that [placement] decides for [call]. */
    fun begin(call: Call, placement: Placement.Send, nowMillis: Long): AttemptTiming {
        val endpoint = placement.endpoint
        val timing = endpoint.times.begin(
            call.route.kind == CallKind.STREAM,
            placement.modelMillis,
            endpoint.concurrency(call.service, nowMillis, state.entryCount(nowMillis)) + 1,
            endpoint.record.slots,
            nowMillis
        )
        return LoggedTiming(endpoint, timing)
    }

    /** Time without progress after which [call] may be sent to another endpoint. */
    fun stallMillis(call: Call): Long = if (call.service.engine == null) {
        val tailMillis = state.fleet.usualTimes(call.service.id).tailMillis
        stallMillis(call.route, call.isCommitted, tailMillis)
    } else {
        stallMillis(call.route, call.isCommitted)
    }

    private inner class LoggedTiming(
        private val endpoint: FleetEndpoint,
        private val timing: AttemptTiming
    ) : AttemptTiming by timing {
        override fun onEvents(nowMillis: Long) {
            timing.onEvents(nowMillis)
            logChange(endpoint, nowMillis)
        }

        override fun onComplete(isSuccess: Boolean, nowMillis: Long) {
            timing.onComplete(isSuccess, nowMillis)
            logChange(endpoint, nowMillis)
        }

        override fun onMoved(hasSentSince: Boolean, nowMillis: Long) {
            timing.onMoved(hasSentSince, nowMillis)
            logChange(endpoint, nowMillis)
        }
    }

    private fun logChange(endpoint: FleetEndpoint, nowMillis: Long) {
        if (nowMillis < nextLogMillis || !endpoint.times.takeChange(nowMillis)) return
        nextLogMillis = nowMillis + LOG_INTERVAL_MILLIS
        log.event(EventCode.ENDPOINT_SPEED_CHANGED) {
            put("endpoint", endpoint.record.id.value)
            put("slowdown", endpoint.times.slowdown(nowMillis))
            put(
                "concurrencyLimit",
                endpoint.times.concurrencyLimit(endpoint.record.slots, nowMillis)
            )
            put("usualCallMillis", endpoint.usualTimes.callMillis)
            put("usualGapMillis", endpoint.usualTimes.gapMillis)
        }
    }

    private companion object {
        // Endpoints with slow spells change several times a second on a large deployment.
        const val LOG_INTERVAL_MILLIS = 200L
    }
}
