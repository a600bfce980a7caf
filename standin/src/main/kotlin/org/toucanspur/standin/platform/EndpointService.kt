/*
 * Stand-in for a plain endpoint of the platform: runs each request for a fixed time and signs its
 * responses.
 */
package org.toucanspur.standin.platform

import com.sun.net.httpserver.HttpExchange

/** A request as an endpoint received it. */
class ReceivedRequest(val id: String, val path: String, val organisation: String?)

/** Observes the requests that an endpoint runs. */
fun interface RunObserver {
    /** The endpoint starts to run [request] on weights of [weightVersion], 0 for none. */
    fun onRun(request: ReceivedRequest, weightVersion: Long)
}

internal fun HttpExchange.receivedRequest() = ReceivedRequest(
    header(REQUEST_ID_HEADER).orEmpty(),
    requestURI.path,
    header("X-Tenant")
)

/** Whether the request is addressed to the instance [name], or to none in particular. */
internal fun HttpExchange.targetsInstance(name: String): Boolean =
    header("X-Expected-Instance").let { it == null || it == name }

/** End of the path of a request whose response does not fit into the buffers of a socket. */
const val LARGE_RESPONSE_PATH = "/large"

/**
 * Body of a signed response to the request with [id] for [path]; callers check it against
 * [signature].
 */
fun signedBody(signature: String, id: String, path: String = ""): ByteArray {
    val isLarge = path.endsWith(LARGE_RESPONSE_PATH)
    val minChars = if (isLarge) MIN_LARGE_PADDING_CHARS else 0
    val maxChars = if (isLarge) MAX_LARGE_PADDING_CHARS else MAX_PADDING_CHARS
    val padding = "x".repeat(minChars + Math.floorMod(id.hashCode(), maxChars - minChars))
    return "$signature|$id|$padding|end".encodeToByteArray()
}

private const val MAX_PADDING_CHARS = 20_000

// About the size of the socket buffers between an entry and a caller that does not read.
private const val MIN_LARGE_PADDING_CHARS = 3_600_000
private const val MAX_LARGE_PADDING_CHARS = 4_600_000

/** The endpoint [name], which takes [workMillis] for each request. */
class EndpointService(
    private val name: String,
    private val workMillis: Long,
    private val observer: RunObserver
) : LoopbackService() {
    init {
        handle("/", ::run)
        listen()
    }

    private fun run(exchange: HttpExchange) {
        if (!exchange.targetsInstance(name)) {
            exchange.respondNotExecuted(MISDIRECTED)
            return
        }
        val request = exchange.receivedRequest()
        observer.onRun(request, 0)
        Thread.sleep(workMillis)
        val signature = "$name.${System.nanoTime()}"
        exchange.respond(
            OK,
            signedBody(signature, request.id, request.path),
            SIGNATURE_HEADER to signature,
            REQUEST_ID_HEADER to request.id
        )
    }
}
