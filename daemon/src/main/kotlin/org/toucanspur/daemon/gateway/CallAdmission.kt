/*
 * Request admission: determines the route, the organisation and the service of a request.
 */
package org.toucanspur.daemon.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import org.toucanspur.core.gateway.CallerRequestMetadata
import org.toucanspur.core.gateway.KeyDecision
import org.toucanspur.core.gateway.Organisation
import org.toucanspur.core.gateway.TrafficConfiguration
import org.toucanspur.core.gateway.TrafficRoute
import org.toucanspur.core.gateway.TrafficService
import org.toucanspur.core.gateway.checkApiKey

/** Result of the admission check of a request. */
sealed interface Admission {
    /** The request is refused with [refusal]. */
    class Refused(val refusal: Refusal) : Admission

    /** The request goes to [service] by [route]; [organisation] is null without a known key. */
    class Admitted(
        val route: TrafficRoute,
        val service: TrafficService,
        val organisation: Organisation?
    ) : Admission
}

/** Admits requests according to the configuration in [state]. */
class CallAdmission(private val state: GatewayState) {
    /** Checks [request], whose decoded headers are [metadata]. */
    fun admit(request: BufferedRequest, metadata: CallerRequestMetadata): Admission {
        val configuration = state.configuration
        if (configuration == null || !state.isComplete) {
            return refuse(UNAVAILABLE, "no configuration yet", STARTUP_RETRY_MILLIS)
        }
        val host = request.head.headers().get(HttpHeaderNames.HOST).orEmpty()
        val route = configuration.route(host, request.head.uri())
            ?: return refuseUnrouted()
        val decision = checkKey(configuration, route, metadata.key)
        if (decision !is KeyDecision.Accepted) return Admission.Refused(refusalOf(decision))
        val service = chooseService(configuration, route)
            ?: return refuse(UNAVAILABLE, "no service", FRESHNESS_RETRY_MILLIS)
        return Admission.Admitted(route, service, decision.organisation)
    }

    /**
     * Checks again whether [call] may act for its organisation, since its key may have been taken
     * away after its admission. Returns the refusal if it may not.
     */
    fun keyRefusal(call: Call): Refusal? {
        val configuration = state.configuration ?: return null
        val decision = checkKey(configuration, call.route, call.metadata.key)
        return when {
            decision !is KeyDecision.Accepted -> refusalOf(decision)
            decision.organisation?.id == call.organisation?.id -> null
            else -> Refusal(UNAVAILABLE, "key has changed", STARTUP_RETRY_MILLIS)
        }
    }

    // An outdated configuration may lack the route.
    private fun refuseUnrouted(): Admission =
        if (state.isConfigurationCurrent(systemClocks.now())) {
            refuse(NOT_FOUND, "no route")
        } else {
            refuse(UNAVAILABLE, "routes may be out of date", FRESHNESS_RETRY_MILLIS)
        }

    private fun checkKey(
        configuration: TrafficConfiguration,
        route: TrafficRoute,
        key: String?
    ): KeyDecision {
        val now = systemClocks.now()
        val isCurrent = state.isConfigurationCurrent(now)
        return checkApiKey(configuration, route, key, state.freshness.isFresh(now), isCurrent)
    }

    private fun refusalOf(decision: KeyDecision): Refusal = if (decision == KeyDecision.Unknown) {
        Refusal(UNAUTHORIZED, "unknown key", null)
    } else {
        Refusal(UNAVAILABLE, "keys cannot be checked", FRESHNESS_RETRY_MILLIS)
    }

    private fun refuse(status: Int, reason: String, retryAfterMillis: Long? = null): Admission =
        Admission.Refused(Refusal(status, reason, retryAfterMillis))

    private fun chooseService(
        configuration: TrafficConfiguration,
        route: TrafficRoute
    ): TrafficService? {
        var remainingWeight = state.random.nextInt(maxOf(1, route.targets.sumOf { it.weight }))
        val target = route.targets.firstOrNull {
            remainingWeight -= it.weight
            remainingWeight < 0
        } ?: route.targets.first()
        return configuration.services[target.service]
    }

    private companion object {
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503

        // An entry loads its configuration within a second of its start.
        const val STARTUP_RETRY_MILLIS = 500L

        // The freshness of the configuration is renewed about once a second.
        const val FRESHNESS_RETRY_MILLIS = 700L
    }
}
