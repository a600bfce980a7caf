/*
 * HTTP server shared by the stand-ins for the platform.
 */
package org.toucanspur.standin.platform

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.io.IOException
import java.net.InetSocketAddress
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors

internal const val OK = 200
internal const val MISDIRECTED = 421
internal const val UNAVAILABLE = 503

/** An HTTP server on a loopback port that runs each request on a thread of its own. */
abstract class LoopbackService : AutoCloseable {
    private val workers: ExecutorService = Executors.newCachedThreadPool { task ->
        Thread(task).apply { isDaemon = true }
    }
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), ACCEPT_BACKLOG).also {
        it.executor = workers
    }

    /** Address on which the service listens. */
    val socketAddress: InetSocketAddress get() = server.address

    /** HOST:PORT of the service. */
    val address: String get() = "127.0.0.1:${server.address.port}"

    /** Handles requests to paths below [path]; an exception resets the connection. */
    protected fun handle(path: String, handler: (HttpExchange) -> Unit) {
        server.createContext(path) { exchange ->
            try {
                handler(exchange)
            } catch (e: InterruptedException) {
                throw IOException("service was closed while handling a request", e)
            }
            // Not in a finally block: close() would make a truncated response look complete.
            exchange.close()
        }
    }

    /** Starts listening; called once all handlers are registered. */
    protected fun listen() = server.start()

    override fun close() {
        server.stop(0)
        workers.shutdownNow()
    }

    private companion object {
        const val ACCEPT_BACKLOG = 256
    }
}

internal fun HttpExchange.header(name: String): String? = requestHeaders.getFirst(name)

internal fun HttpExchange.queryValue(name: String): String? = requestURI.query.orEmpty().split('&')
    .firstOrNull { it.startsWith("$name=") }?.substringAfter('=')

internal fun HttpExchange.respond(
    status: Int,
    body: ByteArray,
    vararg headers: Pair<String, String>
) {
    headers.forEach { (name, value) -> responseHeaders.add(name, value) }
    sendResponseHeaders(status, if (body.isEmpty()) NO_BODY_LENGTH else body.size.toLong())
    if (body.isNotEmpty()) responseBody.write(body)
}

private const val NO_BODY_LENGTH = -1L

/** Responds with [status] and declares that the endpoint did not execute the request. */
internal fun HttpExchange.respondNotExecuted(status: Int) =
    respond(status, ByteArray(0), "X-Not-Executed" to "1")
