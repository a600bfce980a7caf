/*
 * Stand-in for a plain endpoint of the platform: runs requests for a while and signs its answers.
 */
package org.toucanspur.standin.platform

import com.sun.net.httpserver.HttpExchange

/** A request as it reached an endpoint. */
class EndpointArrival(val id: String, val path: String, val organisation: String?)

/** Notes what an endpoint runs. */
fun interface RunObserver {
    /** The endpoint begins to run [arrival] on weights of [weightVersion], 0 for none. */
    fun onRun(arrival: EndpointArrival, weightVersion: Long)
}

internal fun HttpExchange.arrival() = EndpointArrival(
    header(REQUEST_ID_HEADER).orEmpty(),
    requestURI.path,
    header("X-Tenant")
)

/** Whether the request is for the endpoint with [name]. */
internal fun HttpExchange.isFor(name: String): Boolean =
    header("X-Expected-Instance").let { it == null || it == name }

/** The body of a signed answer to the request with [id]; callers check it against the seal. */
fun sealedBody(seal: String, id: String): ByteArray {
    val padding = "x".repeat(Math.floorMod(id.hashCode(), PADDING_MAX))
    return "$seal|$id|$padding|end".encodeToByteArray()
}

private const val PADDING_MAX = 20_000

/** The endpoint [name], which works [workMillis] on each request. */
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
        if (!exchange.isFor(name)) {
            exchange.answerNotRun(MISDIRECTED)
            return
        }
        val arrival = exchange.arrival()
        observer.onRun(arrival, 0)
        Thread.sleep(workMillis)
        val seal = "$name.${System.nanoTime()}"
        exchange.answer(
            OK,
            sealedBody(seal, arrival.id),
            SEAL_HEADER to seal,
            REQUEST_ID_HEADER to arrival.id
        )
    }
}
