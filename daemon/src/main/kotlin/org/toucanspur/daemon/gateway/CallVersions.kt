/*
 * Applies the weight versions that the operator wants to requests: the versions on which a request
 * may start, and what is logged about them.
 */
package org.toucanspur.daemon.gateway

import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.CallKind
import org.toucanspur.core.gateway.FleetEndpoint
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.monotonicMillis

/** Weight versions of the calls of one entry; confined to the event loop. */
class CallVersions(
    private val state: GatewayState,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics
) {
    /** Lowest version on which [call] may start now; 0 for any. */
    fun versionMin(call: Call, nowMillis: Long): Long = state.versions.versionMin(
        call.metadata.model,
        systemClocks.now(),
        loadedMax(call, nowMillis)
    )

    private fun loadedMax(call: Call, nowMillis: Long): Long =
        state.fleet.of(call.service.id).maxOfOrNull { it.loadedVersion(nowMillis) ?: 0 } ?: 0

    /** Lowest version on which [call] may start at an endpoint with a slow path; 0 for any. */
    fun slowPathVersionMin(call: Call, nowMillis: Long): Long =
        state.versions.versionMinForSlowPath(
            call.metadata.model,
            systemClocks.now(),
            loadedMax(call, nowMillis)
        )

    /**
     * Version that a request to [endpoint] states, or null for none. The endpoint refuses any
     * version other than its own, a newer one included.
     */
    fun expectedVersion(endpoint: FleetEndpoint, versionMin: Long, nowMillis: Long): Long? {
        if (versionMin == 0L) return null
        return maxOf(versionMin, endpoint.loadedVersion(nowMillis) ?: 0)
    }

    /** Adds the versions to [event] that a dispatch of [call] to [endpoint] is based on. */
    fun describe(event: JsonObjectBuilder, call: Call, endpoint: FleetEndpoint, versionMin: Long) {
        val model = call.metadata.model ?: return
        val newest = state.versions.newest(model)
        endpoint.loadedVersion(monotonicMillis())?.let { event.put("loadedVersion", it) }
        event.put("versionMin", versionMin)
        event.put("newestVersion", newest)
        val ageMillis = state.versions.ageMillis(model, newest, systemClocks.now())
        event.put("newestAgeMillis", ageMillis ?: -1)
    }

    /** Logs and counts a response that began on an older version than allowed. */
    fun onResponseBegun(call: Call, endpoint: FleetEndpoint) {
        val model = call.metadata.model ?: return
        val now = monotonicMillis()
        val sentAgoMillis = now - call.sentMillis
        if (sentAgoMillis >= SLOW_RESPONSE_MILLIS) endpoint.onSlowPath(now)
        val version = call.weightVersion ?: return
        if (state.versions.newest(model) > call.versionMin) metrics.onHeadPending(sentAgoMillis)
        val versionMin = versionMin(call, now)
        if (version >= versionMin) return
        metrics.outdated.increment()
        log.event(EventCode.RESPONSE_OUTDATED) {
            put("request", call.id.value)
            put("endpoint", endpoint.record.id.value)
            put("version", version)
            put("versionMin", versionMin)
            put("ageMillis", state.versions.ageMillis(model, versionMin, systemClocks.now()) ?: -1)
            put("versionMinWhenSent", call.versionMin)
            put("sentAgoMillis", sentAgoMillis)
            put("isStream", call.route.kind == CallKind.STREAM)
        }
    }

    /** Records that the caller of [call] has left before the endpoint began a response. */
    fun onAbandoned(call: Call) {
        val now = monotonicMillis()
        val isSlow = call.isAwaitingResponse && now - call.sentMillis >= SLOW_RESPONSE_MILLIS
        if (isSlow) call.endpoint?.onSlowPath(now)
    }

    /**
     * Withdraws [call] from an endpoint on an older version if a version is due. Load pattern: a
     * request waits at a slow, overloaded or paused endpoint until the bound of a version ends that
     * was not required yet when the request was sent.
     */
    fun withdrawIfDue(call: Call, nowMillis: Long) {
        val due = state.versions.versionDue(call.metadata.model, systemClocks.now())
        val loaded = call.endpoint?.loadedVersion(nowMillis) ?: 0
        if (call.versionMin >= due || loaded >= due) return
        call.endpoint?.onSlowPath(nowMillis)
        call.withdraw("endpoint has not started it before version $due is due")
    }

    private companion object {
        const val SLOW_RESPONSE_MILLIS = 1000L
    }
}
