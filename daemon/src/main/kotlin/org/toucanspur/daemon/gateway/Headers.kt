/*
 * Headers that are passed on between callers and endpoints. Those that concern one connection only
 * are left out (RFC 9110, 7.6.1).
 */
package org.toucanspur.daemon.gateway

import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import org.toucanspur.core.gateway.EndpointRequestMetadata
import org.toucanspur.core.gateway.HeaderLine
import org.toucanspur.core.gateway.RequestCodec

private val connectionHeaders = setOf(
    "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
    "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect"
)

/** Headers of an endpoint's answer that the caller gets. */
fun relayedHeaders(response: HttpResponse): List<HeaderLine> = passedOn(response.headers())

/** The head of [request] as it goes to an endpoint. */
fun endpointHead(
    request: ReadRequest,
    metadata: EndpointRequestMetadata,
    codec: RequestCodec
): HttpRequest {
    val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, request.head.method(), request.head.uri())
    passedOn(request.head.headers())
        .filterNot { codec.isReplaced(it.name) }
        .forEach { head.headers().add(it.name, it.value) }
    codec.endpointHeaders(metadata).forEach { head.headers().set(it.name, it.value) }
    val hadBody = request.head.headers().contains(HttpHeaderNames.CONTENT_LENGTH) ||
        request.head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
    if (request.body.isNotEmpty() || hadBody) {
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
    }
    return head
}

private fun passedOn(headers: HttpHeaders): List<HeaderLine> {
    val named = headers.getAll(HttpHeaderNames.CONNECTION)
        .flatMap { it.split(',') }
        .map { it.trim().lowercase() }
    return headers.entries()
        .filterNot { it.key.lowercase() in connectionHeaders || it.key.lowercase() in named }
        .map { HeaderLine(it.key, it.value) }
}
