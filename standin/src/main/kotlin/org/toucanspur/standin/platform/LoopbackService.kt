/*
 * HTTP of the platform's stand-ins.
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

/** HTTP on a loopback port, one thread for each request. */
abstract class LoopbackService : AutoCloseable {
    private val workers: ExecutorService = Executors.newCachedThreadPool { task ->
        Thread(task).apply { isDaemon = true }
    }
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), BACKLOG).also {
        it.executor = workers
    }

    /** Where the service listens. */
    val socketAddress: InetSocketAddress get() = server.address

    /** HOST:PORT of the service. */
    val address: String get() = "127.0.0.1:${server.address.port}"

    /** Handles requests to paths below [path]; a failure resets the connection. */
    protected fun handle(path: String, handler: (HttpExchange) -> Unit) {
        server.createContext(path) { exchange ->
            try {
                handler(exchange)
            } catch (e: InterruptedException) {
                throw IOException("the service has ended", e)
            }
            // Closing after a failure would end the answer as if it were complete.
            exchange.close()
        }
    }

    /** Starts to listen, once all handlers are there. */
    protected fun listen() = server.start()

    override fun close() {
        server.stop(0)
        workers.shutdownNow()
    }

    private companion object {
        const val BACKLOG = 256
    }
}

internal fun HttpExchange.header(name: String): String? = requestHeaders.getFirst(name)

internal fun HttpExchange.queryValue(name: String): String? = requestURI.query.orEmpty().split('&')
    .firstOrNull { it.startsWith("$name=") }?.substringAfter('=')

internal fun HttpExchange.answer(
    status: Int,
    body: ByteArray,
    vararg headers: Pair<String, String>
) {
    headers.forEach { (name, value) -> responseHeaders.add(name, value) }
    sendResponseHeaders(status, if (body.isEmpty()) NO_BODY else body.size.toLong())
    if (body.isNotEmpty()) responseBody.write(body)
}

private const val NO_BODY = -1L

/** Says that the endpoint did not run the request. */
internal fun HttpExchange.answerNotRun(status: Int) =
    answer(status, ByteArray(0), "X-Not-Executed" to "1")
