package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private fun event(id: Int) = "id: $id\ndata: token$id\n\n"

class GatewayTest :
    DescribeSpec({
        val openEndpoints = mutableListOf<ScriptedEndpoint>()
        afterTest {
            openEndpoints.forEach { it.close() }
            openEndpoints.clear()
        }
        fun endpoint(script: (ReceivedRequest, Socket) -> Unit) =
            ScriptedEndpoint(script).also { openEndpoints += it }

        fun closedPort() = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use {
            it.localPort
        }
        describe("a request") {
            it("is forwarded unchanged, except that the organisation replaces the key") {
                val first = endpoint { request, socket -> socket.respond(request, "fine") }
                val response = TestGateway(listOf(first.port))
                    .call("/once/a?b=%20c", extraHeaders = "X-Y: z\r\n")
                response shouldContain "HTTP/1.1 200 OK"
                response shouldContain "Seal: s"
                response shouldContain "fine"
                val received = first.received.single()
                received.requestLine shouldBe "POST /once/a?b=%20c HTTP/1.1"
                received.body shouldBe "hello"
                received.headers["organisation"] shouldBe "acme"
                received.headers["x-y"] shouldBe "z"
                received.headers["key"] shouldBe null
            }
            it("is refused with 404 without a route and with 401 without a known key") {
                val gateway = TestGateway(emptyList())
                gateway.call("/nowhere/") shouldContain "404"
                gateway.call("/once/", key = "x") shouldContain "401"
            }
            it("is refused without being executed while keys cannot be checked") {
                val first = endpoint { request, socket -> socket.respond(request, "fine") }
                val response = TestGateway(listOf(first.port), isFresh = false).call("/once/")
                response shouldContain "503"
                response shouldContain "Retry-After"
                first.received.shouldBeEmpty()
            }
            it(
                "is refused without being executed until target versions and evacuations are listed"
            ) {
                val first = endpoint { request, socket -> socket.respond(request, "fine") }
                TestGateway(listOf(first.port), isListed = false).call("/once/") shouldContain "503"
                first.received.shouldBeEmpty()
            }
            it("is rejected when its body exceeds the limit or its framing is ambiguous") {
                val gateway = TestGateway(emptyList())
                gateway.call("/once/", body = "x".repeat(1001)) shouldContain "413"
                gateway.call("/once/", extraHeaders = "Transfer-Encoding: chunked\r\n")
                    .shouldContain("400")
            }
        }
        describe("an at-most-once request") {
            it("is not retried when its response is lost, and is not reported as not executed") {
                val first = endpoint { _, _ -> }
                val second = endpoint { _, _ -> }
                val response = TestGateway(listOf(first.port, second.port)).call("/once/")
                response shouldContain "502"
                first.received.size + second.received.size shouldBe 1
            }
            it("is sent to another endpoint when the first refuses the connection") {
                val second = endpoint { request, socket -> socket.respond(request, "fine") }
                repeat(4) {
                    TestGateway(listOf(closedPort(), second.port)).call("/once/") shouldContain
                        "fine"
                }
            }
            it("is sent to another endpoint when the first reports that it did not execute it") {
                val refusing: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                    socket.respond(request, "", "503 Full", "Not-Run: 1\r\n")
                }
                val first = endpoint(refusing)
                val second = endpoint(refusing)
                val response = TestGateway(listOf(first.port, second.port)).call("/once/")
                response shouldContain "503"
                response shouldContain "Retry-After"
                first.received.size shouldBe 1
                second.received.size shouldBe 1
            }
        }
        describe("an idempotent request") {
            it("receives a complete response from another endpoint when the first one breaks off") {
                val first = endpoint { _, socket ->
                    socket.send("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Le")
                }
                val second = endpoint { request, socket -> socket.respond(request, "whole") }
                repeat(4) {
                    TestGateway(listOf(first.port, second.port)).call("/idempotent/") shouldContain
                        "whole"
                }
            }
            it("does not receive a response without a seal or a response to another request") {
                val first = endpoint { request, socket ->
                    socket.respond(request, "forged", headers = "")
                }
                val second = endpoint { _, socket ->
                    socket.respond(ReceivedRequest("", mapOf("id" to "r2"), ""), "crossed")
                }
                val response = TestGateway(listOf(first.port, second.port)).call("/idempotent/")
                response shouldContain "502"
                response shouldNotContain "forged"
                response shouldNotContain "crossed"
            }
            it("is sent to at most as many endpoints as its route allows") {
                val endpoints = List(4) { endpoint { _, _ -> } }
                TestGateway(endpoints.map { it.port }).call("/idempotent/")
                endpoints.sumOf { it.received.size } shouldBeLessThanOrEqual 2
            }
        }
        describe("a stream") {
            it("resumes after the last complete event at another endpoint in the same response") {
                val events = (1..6).map(::event)
                val script: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                    val lastEventId = request.headers["last"]?.toInt() ?: 0
                    if (lastEventId == 0) {
                        val partialEvents = events.take(3) + events[3].take(7)
                        socket.respondWithEvents(request, partialEvents, isComplete = false)
                    } else {
                        socket.respondWithEvents(
                            request,
                            events.drop(lastEventId),
                            isComplete = true
                        )
                    }
                }
                val response = TestGateway(List(2) { endpoint(script).port }).call("/stream/")
                (1..6).forEach { response.split("data: token$it").size shouldBe 2 }
                response.endsWith("0\r\n\r\n") shouldBe true
                response.split("Seal:").size shouldBe 2
            }
            it("is not terminated as complete when no endpoint can resume it") {
                val script: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                    socket.respondWithEvents(request, listOf(event(1)), isComplete = false)
                }
                val response = TestGateway(listOf(endpoint(script).port)).call("/stream/")
                response shouldContain "token1"
                response.endsWith("0\r\n\r\n") shouldBe false
            }
            it("is cancelled at the endpoint when its caller disconnects") {
                val closed = CountDownLatch(1)
                val started = CountDownLatch(1)
                val first = endpoint { request, socket ->
                    socket.respondWithEvents(request, listOf(event(1)), isComplete = false)
                    started.countDown()
                    while (socket.getInputStream().read() >= 0) continue
                    closed.countDown()
                }
                val gateway = TestGateway(listOf(first.port))
                Socket("127.0.0.1", gateway.port).use { caller ->
                    caller.send(
                        "POST /stream/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\n" +
                            "Content-Length: 0\r\n\r\n"
                    )
                    started.await(CALL_SECONDS.toLong(), TimeUnit.SECONDS) shouldBe true
                }
                closed.await(CALL_SECONDS.toLong(), TimeUnit.SECONDS) shouldBe true
            }
        }
        describe("a connection") {
            it("serves pipelined requests") {
                val first = endpoint { request, socket -> socket.respond(request, "fine") }
                val gateway = TestGateway(listOf(first.port))
                val request = "GET /idempotent/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\n"
                Socket("127.0.0.1", gateway.port).use { caller ->
                    caller.soTimeout = CALL_SECONDS * 1000
                    caller.send("$request\r\n$request\r\n${request}Connection: close\r\n\r\n")
                    val text = caller.getInputStream().readBytes().decodeToString()
                    text.split("fine").size shouldBe 4
                }
            }
        }
    })
