/*
 * Stand-in for a plain service whose calls must not run twice: counts the runs of each call.
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

/** A plain service on a loopback port; each call takes [workMillis]. */
class PlainService(private val workMillis: Long = 5) {
    private val server = StandInServer {
        get("/health") { call.respondText("ok\n") }
        route("/{path...}") { handle { work(call) } }
    }
    private val running = AtomicInteger(0)

    /** Number of runs per method, path and body. */
    val runs = ConcurrentHashMap<String, AtomicInteger>()

    /** Number of started calls. */
    val started = AtomicInteger(0)

    /** Highest number of concurrent calls. */
    val peak = AtomicInteger(0)

    /** Base URL. */
    val url: String get() = server.url

    /** Starts listening. */
    suspend fun start() = server.start()

    /** Stops listening. */
    fun stop() = server.stop()

    /** Number of runs of the call with [method], [path] and [body]. */
    fun runsOf(method: String, path: String, body: String): Int =
        runs["$method $path $body"]?.get() ?: 0

    private suspend fun work(call: ApplicationCall) {
        val body = call.receiveText()
        started.incrementAndGet()
        peak.accumulateAndGet(running.incrementAndGet(), ::maxOf)
        try {
            val callKey = "${call.request.httpMethod.value} ${call.request.path()} $body"
            val count = runs.computeIfAbsent(callKey) { AtomicInteger() }.incrementAndGet()
            delay(workMillis)
            call.respondText("""{"done":true,"run":$count}""", ContentType.Application.Json)
        } finally {
            running.decrementAndGet()
        }
    }
}
