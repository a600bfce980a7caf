/*
 * A small HTTP server on loopback that can be stopped and restarted on the same port.
 */
package org.toucanspur.standin

import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.Route
import io.ktor.server.routing.routing

/** Serves [routes] on a port that is chosen at the first start and kept for later ones. */
internal class StandInServer(private val routes: Route.() -> Unit) {
    private var server: EmbeddedServer<*, *>? = null

    /** Bound port; 0 before the first start. */
    var port = 0
        private set

    /** Base URL. */
    val url: String get() = "http://127.0.0.1:$port"

    /** Starts listening. */
    suspend fun start() {
        val started = embeddedServer(CIO, port = port, host = "127.0.0.1") { routing { routes() } }
        started.start(wait = false)
        port = started.engine.resolvedConnectors().first().port
        server = started
    }

    /** Stops listening and closes all connections immediately. */
    fun stop() {
        server?.stop(0, 0)
        server = null
    }
}
