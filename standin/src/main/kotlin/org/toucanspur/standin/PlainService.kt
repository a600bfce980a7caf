/*
 * Stand-in for a plain service with calls that must not run twice: it counts what each key did.
 */
package org.toucanspur.standin

import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.route
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.delay

/** A plain service on loopback; each call takes [workMillis]. */
class PlainService(private val workMillis: Long = 5) {
    private val server = StandInServer {
        get("/health") { call.respondText("ok\n") }
        route("/{path...}") { handle { work(call) } }
    }
    private val running = AtomicInteger(0)

    /** Runs per method, path and body. */
    val runs = ConcurrentHashMap<String, AtomicInteger>()

    /** Calls begun. */
    val started = AtomicInteger(0)

    /** Most calls at once. */
    val peak = AtomicInteger(0)

    /** Base URL. */
    val url: String get() = server.url

    /** Starts to listen. */
    suspend fun start() = server.start()

    /** Stops. */
    fun stop() = server.stop()

    /** How often the call with this method, path and body ran. */
    fun runsOf(method: String, path: String, body: String): Int =
        runs["$method $path $body"]?.get() ?: 0

    private suspend fun work(call: ApplicationCall) {
        val body = call.receiveText()
        started.incrementAndGet()
        peak.accumulateAndGet(running.incrementAndGet(), ::maxOf)
        try {
            val name = "${call.request.httpMethod.value} ${call.request.path()} $body"
            val count = runs.computeIfAbsent(name) { AtomicInteger() }.incrementAndGet()
            delay(workMillis)
            call.respondText("""{"done":true,"run":$count}""", ContentType.Application.Json)
        } finally {
            running.decrementAndGet()
        }
    }
}
