/*
 * A small HTTP server on loopback that can go away and come back on the same port.
 */
package org.toucanspur.standin

import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.Route
import io.ktor.server.routing.routing

/** Serves [routes]; the port is chosen at the first start and kept. */
internal class StandInServer(private val routes: Route.() -> Unit) {
    private var server: EmbeddedServer<*, *>? = null

    /** Bound port; 0 before the first start. */
    var port = 0
        private set

    /** Base URL. */
    val url: String get() = "http://127.0.0.1:$port"

    /** Starts to listen. */
    suspend fun start() {
        val started = embeddedServer(CIO, port = port, host = "127.0.0.1") { routing { routes() } }
        started.start(wait = false)
        port = started.engine.resolvedConnectors().first().port
        server = started
    }

    /** Drops all connections at once. */
    fun stop() {
        server?.stop(0, 0)
        server = null
    }
}
