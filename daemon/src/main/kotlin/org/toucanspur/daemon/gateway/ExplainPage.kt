/*
 * The page that explains a request: the headers are those of the request, except that host, path
 * and method are in the query, so that a key is in no log of addresses.
 */
package org.toucanspur.daemon.gateway

import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.serialization.json.Json
import org.toucanspur.core.gateway.CallExplanation

/** Path of the page on the port for metrics. */
const val EXPLAIN_PATH = "/explain"

/** Answers with what [explain] says of the request that the query describes. */
fun explainPage(
    onFailure: (Throwable) -> Unit,
    explain: (HttpRequest) -> CallExplanation
): (HttpRequest) -> ProbeAnswer = { query ->
    val head = runCatching { headOf(query) }.getOrNull()
    if (head == null) {
        ProbeAnswer(BAD_REQUEST, "the query needs a path that begins with a slash, and a method")
    } else {
        runCatching { explain(head) }.fold(
            { ProbeAnswer(OK, Json.encodeToString(CallExplanation.serializer(), it)) },
            {
                onFailure(it)
                ProbeAnswer(INTERNAL_ERROR, "internal error")
            }
        )
    }
}

// Null or an exception for a query that describes no request.
private fun headOf(query: HttpRequest): HttpRequest? {
    val parameters = QueryStringDecoder(query.uri()).parameters()
    val path = parameters["path"]?.singleOrNull()?.takeIf { it.startsWith('/') } ?: return null
    val method = HttpMethod.valueOf(parameters["method"]?.singleOrNull() ?: "POST")
    val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, method, path)
    head.headers().set(query.headers())
    head.headers().set(HttpHeaderNames.HOST, parameters["host"]?.singleOrNull().orEmpty())
    return head
}

private const val OK = 200
private const val BAD_REQUEST = 400
private const val INTERNAL_ERROR = 500
