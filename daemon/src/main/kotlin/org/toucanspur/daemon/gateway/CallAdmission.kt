/*
 * Request admission: determines the route, the organisation and the service of a request.
 */
package org.toucanspur.daemon.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import org.toucanspur.core.gateway.CallerRequestMetadata
import org.toucanspur.core.gateway.Organisation
import org.toucanspur.core.gateway.TrafficConfiguration
import org.toucanspur.core.gateway.TrafficRoute
import org.toucanspur.core.gateway.TrafficService

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
            ?: return refuse(NOT_FOUND, "no route")
        val organisation = metadata.key?.let(configuration::organisationOf)
        if (configuration.requiresApiKey && !route.isAnonymousAllowed) {
            if (!state.freshness.isFresh(systemClocks.now())) {
                return refuse(UNAVAILABLE, "keys cannot be checked", FRESHNESS_RETRY_MILLIS)
            }
            if (organisation == null) return refuse(UNAUTHORIZED, "unknown key")
        }
        val service = chooseService(configuration, route)
            ?: return refuse(UNAVAILABLE, "no service", FRESHNESS_RETRY_MILLIS)
        return Admission.Admitted(route, service, organisation)
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

        // The freshness of the configuration is renewed once a second.
        const val FRESHNESS_RETRY_MILLIS = 700L
    }
}
