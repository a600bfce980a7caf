/*
 * Admits a request: finds its route, its organisation and the service that takes it.
 */
package org.toucanspur.daemon.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import org.toucanspur.core.gateway.CallerRequestMetadata
import org.toucanspur.core.gateway.Organisation
import org.toucanspur.core.gateway.TrafficConfiguration
import org.toucanspur.core.gateway.TrafficRoute
import org.toucanspur.core.gateway.TrafficService

/** Whether a request is admitted. */
sealed interface Admission {
    /** It is not, for the reason that [rejection] gives. */
    class Rejected(val rejection: Rejection) : Admission

    /** It is, on [route] to [service], for [organisation] if it has one. */
    class Admitted(
        val route: TrafficRoute,
        val service: TrafficService,
        val organisation: Organisation?
    ) : Admission
}

/** Admits requests by the beliefs in [state]. */
class CallAdmission(private val state: GatewayState) {
    /** Admits [request], whose headers say [metadata]. */
    fun admit(request: ReadRequest, metadata: CallerRequestMetadata): Admission {
        val configuration = state.configuration
        if (configuration == null || !state.isComplete) {
            return reject(UNAVAILABLE, "no configuration yet", START_RETRY_MILLIS)
        }
        val host = request.head.headers().get(HttpHeaderNames.HOST).orEmpty()
        val route = configuration.route(host, request.head.uri())
            ?: return reject(NOT_FOUND, "no route")
        val organisation = metadata.key?.let(configuration::organisationOf)
        if (configuration.requiresApiKey && !route.isAnonymousAllowed) {
            if (!state.proof.isFresh(systemClocks.now())) {
                return reject(UNAVAILABLE, "keys cannot be checked", KEY_RETRY_MILLIS)
            }
            if (organisation == null) return reject(UNAUTHORIZED, "unknown key")
        }
        val service = chooseService(configuration, route)
            ?: return reject(UNAVAILABLE, "no service", KEY_RETRY_MILLIS)
        return Admission.Admitted(route, service, organisation)
    }

    private fun reject(status: Int, reason: String, retryAfterMillis: Long? = null): Admission =
        Admission.Rejected(Rejection(status, reason, retryAfterMillis))

    private fun chooseService(
        configuration: TrafficConfiguration,
        route: TrafficRoute
    ): TrafficService? {
        var rest = state.random.nextInt(maxOf(1, route.targets.sumOf { it.weight }))
        val target = route.targets.firstOrNull {
            rest -= it.weight
            rest < 0
        } ?: route.targets.first()
        return configuration.services[target.service]
    }

    private companion object {
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503

        // An entry has its configuration within a second of its start.
        const val START_RETRY_MILLIS = 500L

        // The store proves the configuration once a second.
        const val KEY_RETRY_MILLIS = 700L
    }
}
