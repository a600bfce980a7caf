/*
 * Feeds the outcomes of this entry's attempts to the table of requests that crash endpoints, and
 * refuses the calls that the table names.
 */
package org.toucanspur.daemon.gateway

import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.LostAttempt
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.monotonicMillis

/** Observes the attempts of calls for the table in [state]. */
class CrashObserver(
    private val state: GatewayState,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics
) {
    private val suspects = state.crashSuspects

    /** Records that the current attempt of [call] was lost, if its response had not progressed. */
    fun onLost(call: Call) {
        val run = call.endpointRun
        if (run == null || call.hasProgressed) return
        suspects.onLost(LostAttempt(run, call.fingerprints, call.sentMillis, monotonicMillis()))
    }

    /** Records that the response of the current attempt of [call] has progressed. */
    fun onProgress(call: Call) =
        suspects.onProgress(call.service.id, call.fingerprints, monotonicMillis())

    /** Counts the lost attempts whose endpoints have been found to be down. */
    fun confirm(nowMillis: Long) {
        suspects.confirm(nowMillis, state.fleet::hasCrashed).forEach { attempt ->
            log.event(EventCode.ENDPOINT_CRASHED) {
                put("endpoint", attempt.endpoint.id.value)
                put("fingerprints", attempt.fingerprints.joinToString(",") { it.text })
                put("lostAfterMillis", attempt.lostMillis - attempt.sentMillis)
                put("confirmedAfterMillis", nowMillis - attempt.lostMillis)
            }
        }
        suspects.takeNewlyRefused().forEach {
            log.event(EventCode.FINGERPRINT_REFUSED) {
                put("fingerprint", it.text)
                put("suspects", suspects.size)
            }
        }
    }

    /** The response to [call] if requests like it crash endpoints, or null. */
    fun refusal(call: Call, nowMillis: Long): Refusal? {
        if (suspects.size == 0) return null
        if (!suspects.isRefused(call.service.id, call.fingerprints, nowMillis)) return null
        metrics.crashSuspects.increment()
        return if (call.mayHaveExecuted) {
            Refusal(BAD_GATEWAY, REASON)
        } else {
            Refusal(UNAVAILABLE, REASON, RETRY_MILLIS)
        }
    }

    private companion object {
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503
        const val REASON = "requests of this kind crash endpoints"
        const val RETRY_MILLIS = 2000L
    }
}
