/*
 * What the head of a response says about its endpoint, apart from the request.
 */
package org.toucanspur.core.gateway

/** Statements of one run of an endpoint in the head of a response. */
data class EndpointStatement(
    /** Limit on the rate of requests. */
    val limit: NamedLimit,
    /** Whether the endpoint is about to end and takes no requests sent from now on. */
    val isLeaving: Boolean,
    /** Time for which the endpoint wants no requests from this entry; 0 if it asks for none. */
    val backoffMillis: Long
)
