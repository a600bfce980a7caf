/*
 * Maps the headers of callers and endpoints to platform-independent types. The platform adapter
 * implements the codec.
 */
package org.toucanspur.core.gateway

import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.ModelId
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.RequestId

/** One header field. */
data class HeaderLine(val name: String, val value: String)

/** Metadata in the headers of a caller's request. */
data class CallerRequestMetadata(
    val requestId: RequestId?,
    /** Time until the caller's deadline. */
    val remainingMillis: Long?,
    /** API key. */
    val key: String?,
    val model: ModelId?,
    val promptTokens: Int?,
    val outputTokensMax: Int?,
    /** Last event that the caller received from an earlier response. */
    val lastEventId: String?,
    /** Ids of the parts of the prompt that other requests may have in common with this one. */
    val promptParts: List<String> = emptyList()
)

/** Metadata sent to an endpoint with a request. */
data class EndpointRequestMetadata(
    val endpoint: EndpointId,
    val remainingMillis: Long,
    val organisation: OrganisationId?,
    /** 0 is the most urgent; null for the endpoint's default. */
    val urgency: Int?,
    /** Weight version on which the request must start; null for any. */
    val expectedVersion: Long?,
    val lastEventId: String?
)

/** Encodes and decodes request and response headers. */
interface RequestCodec {
    /** Path of the readiness probe. */
    val readinessPath: String

    /** Decodes the headers of a caller's request. */
    fun decode(header: (String) -> String?): CallerRequestMetadata

    /** Whether the caller's header [name] is not forwarded unchanged. */
    fun isReplaced(name: String): Boolean

    /** Headers added to a request that is forwarded to an endpoint. */
    fun endpointHeaders(metadata: EndpointRequestMetadata): List<HeaderLine>

    /** Whether a response carries the seal which shows that an endpoint produced it. */
    fun isSealed(header: (String) -> String?): Boolean

    /** Whether a response states that the request was not executed. */
    fun isNotExecuted(status: Int, header: (String) -> String?): Boolean

    /** Id of the request that a response belongs to; null when the response does not state it. */
    fun requestIdOf(header: (String) -> String?): RequestId?

    /** Weight version on which a response began; null when the response does not state it. */
    fun weightVersionOf(header: (String) -> String?): Long?

    /** What the head of a response with [status] says about its endpoint. */
    fun statementOf(status: Int, header: (String) -> String?): EndpointStatement

    /** Headers of a response that the gateway itself generates. */
    fun callerHeaders(id: RequestId): List<HeaderLine>
}
