/*
 * Calls in each state while a new configuration changes what they were admitted by: each has the
 * outcome that it would have without the change, unless its key is taken away before it has run.
 */
package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldStartWith
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import org.toucanspur.core.gateway.RouteTarget
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.ServiceId

private const val MANY_ROUTES = 20_000
private const val SHORT_TIMEOUT_MILLIS = 500L
private const val LONG_TIMEOUT_MILLIS = 60_000L
private const val LEFT = "Left: 15000\r\n"
private const val BLOCKER = "blocker"
private const val LAST_CHUNK = "0\r\n\r\n"
private const val CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n" +
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
private val elsewhere = setOf(RegionId("elsewhere"))

private fun events(vararg ids: Int) = ids.joinToString("") {
    val event = "id: $it\ndata: token$it\n\n"
    "${event.length.toString(16)}\r\n$event\r\n"
}

private val changes: Map<String, (TestConfiguration) -> TestConfiguration> = mapOf(
    "its route is removed" to { it.copy(routes = emptyList()) },
    "its route moves to another service" to { current ->
        val targets = listOf(RouteTarget(ServiceId("engine"), 1))
        current.mapRoutes { it.copy(targets = targets) }
    },
    "its service is removed" to { it.copy(services = emptyList()) },
    "its timeout is shortened" to { current ->
        current.mapRoutes { it.copy(timeoutMillis = SHORT_TIMEOUT_MILLIS) }
    },
    "its timeout is lengthened" to { current ->
        current.mapRoutes { it.copy(timeoutMillis = LONG_TIMEOUT_MILLIS) }
    },
    "its route allows one endpoint" to { current ->
        current.mapRoutes { it.copy(endpointsMax = 1) }
    },
    "its route may run in another region" to { current ->
        current.mapRoutes { it.copy(homeRegions = elsewhere) }
    },
    "its organisation may run in another region" to { current ->
        val moved = current.organisations.map { it.copy(homeRegions = elsewhere) }
        current.copy(organisations = moved)
    },
    "there are many routes" to { current ->
        val added = List(MANY_ROUTES) {
            current.routes.first().copy(name = "r$it", pathPrefix = "/r$it/")
        }
        current.copy(routes = current.routes + added)
    }
)

private val keyChanges: Map<String, Pair<String, (TestConfiguration) -> TestConfiguration>> = mapOf(
    "its key is removed" to Pair("401") { current ->
        current.copy(organisations = current.organisations.map { it.copy(keys = emptySet()) })
    },
    "its key moves to another organisation" to Pair("503") { current ->
        val moved = current.organisations.map { it.copy(id = OrganisationId("other")) }
        current.copy(organisations = moved)
    }
)

/** What an endpoint does with the [attempt]s of a call, beside a change. */
private class Scene(val request: ReceivedRequest, val socket: Socket, val attempt: Int) {
    var awaitChange: () -> Unit = {}

    fun send(text: String) = socket.send(text)

    fun respond() = socket.respond(request, "whole")

    fun refuse() = socket.respond(request, "", "503 Full", "Not-Run: 1\r\n")
}

/** A state of a call to [path] that lasts until the configuration has changed. */
private class CallState(
    val path: String,
    val endpoints: Int = 2,
    val targetMillis: Long = CALL_SECONDS * 1000L,
    /** Whether another call occupies the endpoint until the change. */
    val isBlocked: Boolean = false,
    /** Whether the call is first sent to an address at which nothing listens. */
    val isUnreached: Boolean = false,
    /** Whether an endpoint may have executed the call before the change. */
    val hasRun: Boolean = true,
    val script: Scene.() -> Unit
)

private val states = mapOf(
    "a call that waits" to
        CallState("/once/", endpoints = 1, isBlocked = true, hasRun = false) { respond() },
    "a call that waits after an attempt that reached no endpoint" to
        CallState("/once/", 1, isBlocked = true, isUnreached = true, hasRun = false) { respond() },
    "a call that its endpoint refuses afterwards" to CallState("/once/", hasRun = false) {
        if (attempt == 1) {
            awaitChange()
            refuse()
        } else {
            respond()
        }
    },
    "a call whose endpoint breaks off afterwards" to CallState("/idempotent/") {
        if (attempt == 1) {
            awaitChange()
            send("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Le")
        } else {
            respond()
        }
    },
    "a call that awaits its response" to CallState("/once/") {
        awaitChange()
        respond()
    },
    "a stream under way" to CallState("/stream/") {
        send(CHUNKED_HEAD + events(1, 2))
        awaitChange()
        send(events(3) + LAST_CHUNK)
    },
    "a stream that breaks off afterwards" to CallState("/stream/") {
        if (attempt == 1) {
            send(CHUNKED_HEAD + events(1, 2))
            awaitChange()
        } else {
            send(CHUNKED_HEAD + events(3) + LAST_CHUNK)
        }
    },
    "a stream that continues at another endpoint" to CallState("/stream/") {
        if (attempt == 1) {
            send(CHUNKED_HEAD + events(1, 2))
        } else {
            awaitChange()
            send(CHUNKED_HEAD + events(3) + LAST_CHUNK)
        }
    },
    "a stream that waits while its endpoint is silent" to
        CallState("/stream/", targetMillis = 100) {
            if (attempt == 1) {
                send(CHUNKED_HEAD + events(1, 2))
                awaitChange()
                send(events(3) + LAST_CHUNK)
            } else {
                refuse()
            }
        },
    "a stream whose silent endpoint breaks off afterwards" to
        CallState("/stream/", endpoints = 3, targetMillis = 100) {
            when (attempt) {
                1 -> {
                    send(CHUNKED_HEAD + events(1, 2))
                    awaitChange()
                }
                2 -> {
                    send(CHUNKED_HEAD)
                    socket.awaitClose()
                }
                else -> send(CHUNKED_HEAD + events(3) + LAST_CHUNK)
            }
        }
)

/** A call in [state], whose configuration is changed by [change]. */
private class Play(
    private val state: CallState,
    private val opened: ScriptedEndpoints,
    private val change: (TestConfiguration) -> TestConfiguration
) {
    private val isReached = CountDownLatch(1)
    private val hasChanged = CountDownLatch(1)
    private val attempts = AtomicInteger()

    private fun CountDownLatch.awaitCall() = await(CALL_SECONDS.toLong(), TimeUnit.SECONDS)

    private fun awaitChange() {
        isReached.countDown()
        hasChanged.awaitCall()
    }

    private fun serve(request: ReceivedRequest, socket: Socket) {
        if (request.body == BLOCKER) {
            awaitChange()
            socket.respond(request, BLOCKER)
            return
        }
        val scene = Scene(request, socket, attempts.incrementAndGet())
        scene.awaitChange = ::awaitChange
        state.script(scene)
    }

    /** Returns the response to the call. */
    fun run(): String {
        val endpoints = List(state.endpoints) { opened.open(::serve) }
        val gateway = TestGateway(
            endpoints.map { it.port },
            targetMillis = state.targetMillis,
            endpointsMax = 3
        )
        gateway.apply { current ->
            current.copy(services = current.services.map { it.copy(connectionsMax = 1) })
        }
        val blocker = if (state.isBlocked) callAsync(gateway, BLOCKER) else null
        if (state.isBlocked) isReached.awaitCall() shouldBe true
        if (state.isUnreached) gateway.add(closedPort())
        val response = callAsync(gateway, "hello")
        isReached.awaitCall() shouldBe true
        while (state.isBlocked && gateway.queuedCount == 0L) Thread.sleep(1)
        gateway.apply(change)
        hasChanged.countDown()
        blocker?.get()?.shouldEndWith(BLOCKER)
        return response.get()
    }

    private fun callAsync(gateway: TestGateway, body: String) = CompletableFuture.supplyAsync {
        gateway.call(state.path, extraHeaders = LEFT, body = body)
    }

    private fun closedPort() =
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
}

private fun CallState.isComplete(response: String) {
    response.split("HTTP/1.1 ").size shouldBe 2
    response shouldStartWith "HTTP/1.1 200"
    if (path != "/stream/") {
        response shouldEndWith "whole"
        return
    }
    (1..3).forEach { response.split("data: token$it\n").size shouldBe 2 }
    response shouldEndWith LAST_CHUNK
}

class ConfigurationChangeCallTest :
    DescribeSpec({
        val opened = ScriptedEndpoints()
        afterTest { opened.closeAll() }

        // Guards against a call that a new configuration leaves without its response.
        states.forEach { (name, state) ->
            describe(name) {
                changes.forEach { (changeName, change) ->
                    it("is completed when $changeName") {
                        state.isComplete(Play(state, opened, change).run())
                    }
                }
                keyChanges.forEach { (changeName, expected) ->
                    val (status, change) = expected
                    val outcome = if (state.hasRun) "is completed" else "is refused with $status"
                    it("$outcome when $changeName") {
                        val response = Play(state, opened, change).run()
                        if (state.hasRun) {
                            state.isComplete(response)
                        } else {
                            response shouldStartWith "HTTP/1.1 $status"
                            response.split("HTTP/1.1 ").size shouldBe 2
                            if (status == "503") response shouldContain "Retry-After"
                        }
                    }
                }
            }
        }
    })
