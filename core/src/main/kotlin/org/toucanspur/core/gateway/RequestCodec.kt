/*
 * What callers and endpoints say in headers, in the product's own terms. The platform's adapter
 * implements the codec.
 */
package org.toucanspur.core.gateway

import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.ModelId
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.RequestId

/** One header field. */
data class HeaderLine(val name: String, val value: String)

/** What a caller says of its request. */
data class CallerFacts(
    val requestId: RequestId?,
    /** Time for which the caller will wait. */
    val remainingMillis: Long?,
    /** API key. */
    val key: String?,
    val model: ModelId?,
    val promptTokens: Int?,
    val answerTokensMax: Int?,
    /** Last event that the caller has of an earlier answer. */
    val lastEventId: String?
)

/** What an endpoint is told of a request. */
data class EndpointCallFacts(
    val endpoint: EndpointId,
    val remainingMillis: Long,
    val organisation: OrganisationId?,
    /** 0 goes first; null for the endpoint's default. */
    val urgency: Int?,
    /** Weight version on which the request must begin; null for any. */
    val expectedVersion: Long?,
    val lastEventId: String?
)

/** Reads and writes the headers of requests. */
interface RequestCodec {
    /** Path of the readiness probe. */
    val readinessPath: String

    /** Reads a caller's headers. */
    fun decode(header: (String) -> String?): CallerFacts

    /** Whether the header [name] of a caller is not passed on as it is. */
    fun isReplaced(name: String): Boolean

    /** Headers that the system adds for an endpoint. */
    fun endpointHeaders(facts: EndpointCallFacts): List<HeaderLine>

    /** Whether an answer carries the proof that an endpoint made it. */
    fun isSealed(header: (String) -> String?): Boolean

    /** Whether an answer says that the request did not run. */
    fun isNotRun(status: Int, header: (String) -> String?): Boolean

    /** The request that an answer belongs to; null when it does not say. */
    fun requestIdOf(header: (String) -> String?): RequestId?

    /** Headers of an answer of the system's own. */
    fun callerHeaders(id: RequestId): List<HeaderLine>
}
