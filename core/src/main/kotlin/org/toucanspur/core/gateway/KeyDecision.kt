/*
 * Decides on whose behalf a request with an API key acts. A configuration names the organisation of
 * a key only as long as it is known to be the newest: a later one may have taken the key away, or
 * given it to another organisation.
 */
package org.toucanspur.core.gateway

/** Decision on the API key of a request. */
sealed interface KeyDecision {
    /** The request may run, for [organisation] or, if that is null, for none. */
    data class Accepted(val organisation: Organisation?) : KeyDecision

    /** The route needs a key of an organisation, and the request has none. */
    data object Unknown : KeyDecision

    /** The configuration is too old to decide. */
    data object Undecidable : KeyDecision
}

/**
 * Checks the [key] of a request on [route] by [configuration], which [isFresh] if it is known to be
 * the newest. A request without a key on a route with anonymous access needs no fresh one. That a
 * key is unknown needs one that [isCurrent]: it lacks no change that has to be in force.
 */
fun checkApiKey(
    configuration: TrafficConfiguration,
    route: TrafficRoute,
    key: String?,
    isFresh: Boolean,
    isCurrent: Boolean
): KeyDecision {
    if (!configuration.requiresApiKey) return KeyDecision.Accepted(null)
    if (key == null && route.isAnonymousAllowed) return KeyDecision.Accepted(null)
    if (!isFresh) return KeyDecision.Undecidable
    val organisation = key?.let(configuration::organisationOf)
    return when {
        organisation != null || route.isAnonymousAllowed -> KeyDecision.Accepted(organisation)
        isCurrent -> KeyDecision.Unknown
        else -> KeyDecision.Undecidable
    }
}
