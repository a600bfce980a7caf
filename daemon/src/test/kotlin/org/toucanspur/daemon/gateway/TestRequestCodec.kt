package org.toucanspur.daemon.gateway

import org.toucanspur.core.gateway.CallerFacts
import org.toucanspur.core.gateway.EndpointCallFacts
import org.toucanspur.core.gateway.HeaderLine
import org.toucanspur.core.gateway.RequestCodec
import org.toucanspur.schema.RequestId

/** A codec with header names that differ from those of the platform codec. */
object TestRequestCodec : RequestCodec {
    override val readinessPath = "/ready"

    override fun decode(header: (String) -> String?) = CallerFacts(
        requestId = header("Id")?.let(::RequestId),
        remainingMillis = header("Left")?.toLong(),
        key = header("Key"),
        model = null,
        promptTokens = null,
        answerTokensMax = null,
        lastEventId = header("Last")
    )

    override fun isReplaced(name: String) = name.lowercase() in setOf("left", "key", "last")

    override fun endpointHeaders(facts: EndpointCallFacts) = buildList {
        add(HeaderLine("Left", facts.remainingMillis.toString()))
        facts.organisation?.let { add(HeaderLine("Organisation", it.value)) }
        facts.lastEventId?.let { add(HeaderLine("Last", it)) }
    }

    override fun isSealed(header: (String) -> String?) = header("Seal") != null

    override fun isNotRun(status: Int, header: (String) -> String?) = header("Not-Run") != null

    override fun requestIdOf(header: (String) -> String?) = header("Id")?.let(::RequestId)

    override fun callerHeaders(id: RequestId) = listOf(HeaderLine("Id", id.value))
}
