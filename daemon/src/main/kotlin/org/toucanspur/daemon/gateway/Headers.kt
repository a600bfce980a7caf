/*
 * Headers forwarded between callers and endpoints. Hop-by-hop headers are removed (RFC 9110,
 * section 7.6.1).
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

private val hopByHopHeaders = setOf(
    "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
    "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect"
)

/** Headers of an endpoint's response that are forwarded to the caller. */
fun relayedHeaders(response: HttpResponse): List<HeaderLine> = endToEndHeaders(response.headers())

/** The head of [request] as sent to an endpoint. */
fun endpointHead(
    request: BufferedRequest,
    metadata: EndpointRequestMetadata,
    codec: RequestCodec
): HttpRequest {
    val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, request.head.method(), request.head.uri())
    endToEndHeaders(request.head.headers())
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

private fun endToEndHeaders(headers: HttpHeaders): List<HeaderLine> {
    val connectionOptions = headers.getAll(HttpHeaderNames.CONNECTION)
        .flatMap { it.split(',') }
        .map { it.trim().lowercase() }
    return headers.entries()
        .filterNot {
            it.key.lowercase() in hopByHopHeaders || it.key.lowercase() in connectionOptions
        }
        .map { HeaderLine(it.key, it.value) }
}
