/*
 * Logs what happens to the calls of one entry.
 */
package org.toucanspur.daemon.gateway

import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.AttemptOutcome
import org.toucanspur.core.gateway.Placement
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.schema.RequestId

/** Writes the events of calls to [log]. */
class CallLog(private val log: DecisionLog, private val state: GatewayState) {
    /** Logs that [call] is sent to the endpoint of [placement]; [describe] adds to the event. */
    fun onSend(
        call: Call,
        placement: Placement.Send,
        isResumed: Boolean,
        describe: JsonObjectBuilder.() -> Unit
    ) {
        val now = monotonicMillis()
        val endpoint = placement.endpoint
        val isRetry = call.executedAttempts + call.unexecutedAttempts > 0
        log.event(
            if (isResumed) EventCode.REQUEST_RESUMED else EventCode.REQUEST_DISPATCHED,
            isEssential = isRetry
        ) {
            put("request", call.id.value)
            put("endpoint", endpoint.record.id.value)
            put("waitedMillis", now - call.request.receivedMillis)
            put("predictedMillis", placement.firstByteMillis.toLong())
            put("isOnTime", call.isOnTime)
            put("occupancy", endpoint.occupancy(now, state.entryCount(now)))
            put("reportAgeMillis", endpoint.reportAgeMillis(now))
            val endpointsAgeMillis =
                state.storeFreshness[ObjectKind.ENDPOINTS].ageMillis(systemClocks.now())
            put("endpointsAgeMillis", endpointsAgeMillis ?: -1)
            endpoint.nextLoadMillis(now)?.let { put("nextLoadMillis", it) }
            describe()
            put("configuration", state.configuration?.version ?: 0)
            if (isRetry) put("send", call.executedAttempts + call.unexecutedAttempts + 1)
        }
    }

    /** Logs that [call] ends with [refusal] while [waiting] calls wait. */
    fun onRefused(call: Call, refusal: Refusal, waiting: Int) {
        val event = if (call.isCommitted) {
            EventCode.RESPONSE_ABORTED
        } else {
            EventCode.REQUEST_REFUSED
        }
        // Callers can cause a refusal with each request.
        log.event(event, isEssential = call.isCommitted) {
            put("request", call.id.value)
            put("route", call.route.name)
            put("status", refusal.status)
            put("reason", refusal.reason)
            put("cause", refusal.cause.name)
            put("priority", call.priority)
            call.organisation?.let { put("organisation", it.id.value) }
            put("sends", call.executedAttempts)
            put("missed", call.unexecutedAttempts)
            put("waitedMillis", monotonicMillis() - call.request.receivedMillis)
            put("isOnTime", call.isOnTime)
            put("waiting", waiting)
            refusal.retryAfterMillis?.let { put("retryAfterMillis", it) }
        }
    }

    /** Logs that the request [id] gets [refusal] instead of being admitted. */
    fun onUnadmitted(id: RequestId, refusal: Refusal) =
        log.event(EventCode.REQUEST_REFUSED, isEssential = false) {
            put("request", id.value)
            put("status", refusal.status)
            put("reason", refusal.reason)
            put("configuration", state.configuration?.version ?: 0)
            put("proofAgeMillis", state.freshness.ageMillis(systemClocks.now()) ?: -1)
        }

    /** Logs that the last attempt of [call] ended with [outcome]. */
    fun onAttemptFailed(call: Call, outcome: AttemptOutcome, reason: String) =
        log.event(EventCode.REQUEST_FAILED) {
            put("request", call.id.value)
            put("endpoint", call.tried.lastOrNull()?.value ?: "")
            put("reason", reason)
            put("outcome", outcome.name)
            put("sends", call.executedAttempts)
            put("events", call.attemptEvents)
            put("parts", call.metadata.promptParts.joinToString(","))
        }

    /** Logs that [call] leaves an endpoint that has been silent for [silentMillis]. */
    fun onSilent(call: Call, silentMillis: Long) = log.event(EventCode.REQUEST_FAILED) {
        put("request", call.id.value)
        put("endpoint", call.endpoint?.record?.id?.value ?: "")
        put("reason", "silent")
        put("silentMillis", silentMillis)
    }

    /** Logs that the response to [call] is complete. */
    fun onComplete(call: Call, status: Int, firstByteMillis: Long, totalMillis: Long) =
        log.event(EventCode.REQUEST_ANSWERED, isEssential = false) {
            put("request", call.id.value)
            put("route", call.route.name)
            put("status", status)
            put("firstByteMillis", firstByteMillis)
            put("totalMillis", totalMillis)
            put("sends", call.executedAttempts)
            call.weightVersion?.let { put("weights", it) }
        }

    /** Logs that the caller of [call] has closed its connection. */
    fun onAbandoned(call: Call) = log.event(EventCode.REQUEST_ABANDONED, isEssential = false) {
        put("request", call.id.value)
        put("afterMillis", monotonicMillis() - call.request.receivedMillis)
        put("wasSent", call.isSent)
    }
}
