package org.toucanspur.daemon.gateway

import org.toucanspur.core.gateway.CallerRequestMetadata
import org.toucanspur.core.gateway.EndpointRequestMetadata
import org.toucanspur.core.gateway.EndpointStatement
import org.toucanspur.core.gateway.HeaderLine
import org.toucanspur.core.gateway.NamedLimit
import org.toucanspur.core.gateway.RequestCodec
import org.toucanspur.schema.ModelId
import org.toucanspur.schema.RequestId

/** A codec with header names that differ from those of the platform codec. */
object TestRequestCodec : RequestCodec {
    override val readinessPath = "/ready"

    override fun decode(header: (String) -> String?) = CallerRequestMetadata(
        requestId = header("Id")?.let(::RequestId),
        remainingMillis = header("Left")?.toLong(),
        key = header("Key"),
        model = header("Model")?.let(::ModelId),
        promptTokens = null,
        outputTokensMax = null,
        lastEventId = header("Last"),
        promptParts = header("Parts")?.split(',').orEmpty()
    )

    override fun isReplaced(name: String) = name.lowercase() in setOf("left", "key", "last")

    override fun endpointHeaders(metadata: EndpointRequestMetadata) = buildList {
        add(HeaderLine("Left", metadata.remainingMillis.toString()))
        metadata.organisation?.let { add(HeaderLine("Organisation", it.value)) }
        metadata.lastEventId?.let { add(HeaderLine("Last", it)) }
        metadata.expectedVersion?.let { add(HeaderLine("Version", it.toString())) }
    }

    override fun isSealed(header: (String) -> String?) = header("Seal") != null

    override fun isNotExecuted(status: Int, header: (String) -> String?) = header("Not-Run") != null

    override fun requestIdOf(header: (String) -> String?) = header("Id")?.let(::RequestId)

    override fun weightVersionOf(header: (String) -> String?) = header("Version")?.toLong()

    override fun statementOf(status: Int, header: (String) -> String?) = EndpointStatement(
        limit = when (val text = header("Limit")) {
            null -> NamedLimit.None
            else -> text.toDoubleOrNull()?.let(NamedLimit::Rate) ?: NamedLimit.Unreadable
        },
        isLeaving = header("Leaving") != null,
        backoffMillis = header("Backoff-Millis")?.toLong() ?: 0
    )

    override fun callerHeaders(id: RequestId) = listOf(HeaderLine("Id", id.value))
}

/** A [TestRequestCodec] of which single functions are replaced. */
open class RequestCodecDelegate : RequestCodec by TestRequestCodec
