package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger

private const val DEADLY = "deadly"

private fun events(count: Int) = (1..count).map { "id: $it\ndata: token$it\n\n" }

/** Endpoints that crash on requests with the body [DEADLY], after writing a part by [respond]. */
private class CrashingEndpoints(respond: (ReceivedRequest, Socket) -> Unit) : AutoCloseable {
    /** Number of crashes. */
    val crashes = AtomicInteger()

    private val endpoints = List(4) {
        ScriptedEndpoint { request, socket ->
            if (request.body == DEADLY) {
                respond(request, socket)
                crashes.incrementAndGet()
                gateway.onRestart(socket.localPort)
                socket.setSoLinger(true, 0)
            } else {
                socket.respondWithEvents(request, events(3), isComplete = true)
            }
        }
    }

    val gateway: TestGateway = TestGateway(endpoints.map { it.port })

    override fun close() = endpoints.forEach { it.close() }
}

class CrashingRequestTest :
    DescribeSpec({
        describe("a request that crashes endpoints whenever it runs") {
            fun crashesOf(path: String, respond: (ReceivedRequest, Socket) -> Unit) =
                CrashingEndpoints(respond).use { endpoints ->
                    val gateway = endpoints.gateway
                    repeat(3) { gateway.call(path, body = DEADLY) }
                    repeat(8) { gateway.call("/stream/", body = "sound") shouldContain "token3" }
                    val before = endpoints.crashes.get()
                    repeat(5) { gateway.call(path, body = DEADLY) shouldContain "503" }
                    endpoints.crashes.get() shouldBe before
                }

            // Guards against a crash that is counted only after the next request has been sent.
            it("is refused by a crash that was known before the request arrived") {
                CrashingEndpoints { _, _ -> }.use { endpoints ->
                    repeat(5) { round ->
                        val path = "/once/$round"
                        repeat(3) { endpoints.gateway.call(path, body = DEADLY) }
                        endpoints.gateway.call(path, body = DEADLY) shouldContain "503"
                        endpoints.crashes.get() shouldBe (round + 1) * 3
                    }
                }
            }
            it("is refused when the endpoints crash before they respond") {
                crashesOf("/once/") { _, _ -> }
            }
            it("is refused when the endpoints crash within the body of the response") {
                crashesOf("/once/") { request, socket ->
                    val id = request.headers["id"]
                    socket.send(
                        "HTTP/1.1 200 OK\r\nId: $id\r\nSeal: s\r\nContent-Length: 9\r\n\r\nhalf"
                    )
                }
            }
            it("is refused when the endpoints crash after the head of a stream") {
                crashesOf("/stream/") { request, socket ->
                    socket.respondWithEvents(request, emptyList(), isComplete = false)
                }
            }
            it("is refused when the endpoints crash after some events of a stream") {
                crashesOf("/stream/") { request, socket ->
                    socket.respondWithEvents(request, events(4), isComplete = false)
                }
            }
        }
    })
