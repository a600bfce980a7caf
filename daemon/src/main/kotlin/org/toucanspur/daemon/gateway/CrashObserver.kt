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

    /**
     * Records that the current attempt of [call] was lost. Once a stream has progressed, only the
     * request itself is under suspicion: a popular part is on most of the streams that an endpoint
     * runs when it crashes.
     */
    fun onLost(call: Call) {
        val run = call.endpointRun ?: return
        val fingerprints =
            if (call.hasProgressed) listOf(call.fingerprints.own) else call.fingerprints.all
        suspects.onLost(LostAttempt(run, fingerprints, call.sentMillis, monotonicMillis()))
    }

    /** Records that the stream of the current attempt of [call] has progressed. */
    fun onProgress(call: Call) {
        val now = monotonicMillis()
        suspects.onResponse(call.service.id, now)
        suspects.clear(call.fingerprints.parts, now)
    }

    /** Records that the response to [call] is a complete success. */
    fun onComplete(call: Call) {
        val now = monotonicMillis()
        if (!call.hasProgressed) suspects.onResponse(call.service.id, now)
        suspects.clear(call.fingerprints.all, now)
    }

    /** Records that [call] is sent to an endpoint. */
    fun onSend(call: Call, nowMillis: Long) {
        if (suspects.size > 0) suspects.onSend(call.fingerprints.own, nowMillis)
    }

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
        if (!isRefused(call, nowMillis)) return null
        metrics.crashSuspects.increment()
        return refusalOf(call)
    }

    /** Like [refusal], without any effect. */
    fun wouldRefuse(call: Call, nowMillis: Long): Refusal? {
        val fingerprints = call.fingerprints
        val isRefused = suspects.size > 0 &&
            suspects.wouldRefuse(call.service.id, fingerprints.all, fingerprints.own, nowMillis)
        return if (isRefused) refusalOf(call) else null
    }

    private fun refusalOf(call: Call): Refusal = if (call.mayHaveExecuted) {
        Refusal(BAD_GATEWAY, REASON)
    } else {
        Refusal(UNAVAILABLE, REASON, RETRY_MILLIS)
    }

    /**
     * Whether requests like [call] crash endpoints. Crashes that are known by now count: until the
     * next tick, further requests would crash more endpoints.
     */
    fun isRefused(call: Call, nowMillis: Long): Boolean {
        if (suspects.isConfirming) confirm(nowMillis)
        return suspects.size > 0 &&
            (
                suspects.isRefused(call.service.id, call.fingerprints.all, nowMillis) ||
                    suspects.isHeldBack(call.fingerprints.own, nowMillis)
                )
    }

    private companion object {
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503
        const val REASON = "requests of this kind crash endpoints"
        const val RETRY_MILLIS = 2000L
    }
}
