/*
 * Responses that state neither a length nor chunks and end with their connection.
 */
package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val LAST_CHUNK = "0\r\n\r\n"

// More than the gateway buffers before it begins to relay a response.
private const val RELAYED_BYTES = 200 * 1024

private fun undelimitedHead(
    request: ReceivedRequest,
    version: String = "HTTP/1.1",
    headers: String = "Connection: close\r\n"
) = "$version 200 OK\r\nId: ${request.headers["id"]}\r\nSeal: s\r\n$headers\r\n"

private fun undelimitedEvent(id: Int) = "id: $id\ndata: token$id\n\n"

/** Ends the connection with a reset after the peer has read everything sent. */
private fun Socket.reset() {
    // Without the pause, the reset may discard bytes that the peer has not read yet.
    Thread.sleep(RESET_DELAY_MILLIS)
    setSoLinger(true, 0)
    close()
}

private const val RESET_DELAY_MILLIS = 100L

class UndelimitedResponseTest :
    DescribeSpec({
        val opened = ScriptedEndpoints()
        afterTest { opened.closeAll() }
        fun endpoint(script: (ReceivedRequest, Socket) -> Unit) = opened.open(script)

        fun callOne(path: String, script: (ReceivedRequest, Socket) -> Unit) =
            TestGateway(listOf(endpoint(script).port)).call(path)

        describe("a response that ends with an orderly close") {
            it("is complete, whatever its version and connection headers") {
                listOf("HTTP/1.1", "HTTP/1.0").forEach { version ->
                    listOf("", "Connection: close\r\n", "Connection: keep-alive\r\n").forEach {
                        val response = callOne("/once/") { request, socket ->
                            socket.send(undelimitedHead(request, version, it) + "who")
                            socket.send("le")
                        }
                        response shouldContain "200 OK"
                        response shouldContain "content-length: 5"
                        response.endsWith("whole") shouldBe true
                    }
                }
            }
            it("is complete with an empty body") {
                val response = callOne("/once/") { request, socket ->
                    socket.send(undelimitedHead(request))
                }
                response shouldContain "200 OK"
                response shouldContain "content-length: 0"
            }
            it("is complete when its body exceeds the buffer") {
                val response = callOne("/once/") { request, socket ->
                    socket.send(undelimitedHead(request) + "x".repeat(RELAYED_BYTES))
                }
                response.count { it == 'x' } shouldBe RELAYED_BYTES
                response.endsWith(LAST_CHUNK) shouldBe true
            }
        }
        describe("a response that ends with a reset") {
            it("is answered with 502 when its request may not be repeated") {
                val response = callOne("/once/") { request, socket ->
                    socket.send(undelimitedHead(request) + "part")
                    socket.reset()
                }
                response shouldContain "502"
                response shouldNotContain "part"
            }
            it("is replaced by that of another endpoint when its request may be repeated") {
                val first = endpoint { request, socket ->
                    socket.send(undelimitedHead(request) + "part")
                    socket.reset()
                }
                val second = endpoint { request, socket -> socket.respond(request, "whole") }
                repeat(4) {
                    TestGateway(listOf(first.port, second.port)).call("/idempotent/") shouldContain
                        "whole"
                }
            }
            it("is broken off when it has been relayed in part") {
                listOf("/once/", "/idempotent/").forEach { path ->
                    val response = callOne(path) { request, socket ->
                        socket.send(undelimitedHead(request) + "x".repeat(RELAYED_BYTES))
                        socket.reset()
                    }
                    response shouldContain "200 OK"
                    response.endsWith(LAST_CHUNK) shouldBe false
                }
            }
            it("is not complete when the reset is noticed by a write of the request") {
                ServerSocket(0).use { listener ->
                    thread(isDaemon = true) {
                        val socket = listener.accept()
                        socket.getInputStream().read()
                        socket.send("HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n\r\npart")
                        socket.reset()
                    }
                    val response = TestGateway(
                        listOf(listener.localPort),
                        bodyMaxBytes = 32_000_000
                    )
                        .call("/once/", body = "x".repeat(32_000_000))
                    response shouldContain "502"
                    response shouldNotContain "part"
                }
            }
        }
        describe("a stream that ends with an orderly close") {
            it("is complete between two events") {
                val response = callOne("/stream/") { request, socket ->
                    socket.send(
                        undelimitedHead(request) +
                            (1..3).joinToString("", transform = ::undelimitedEvent)
                    )
                }
                response shouldContain "token3"
                response.endsWith(LAST_CHUNK) shouldBe true
            }
            it("is complete after blank lines that follow an event") {
                listOf("\n", "\r\n", "\n\n\n", "\r\n\r\n").forEach { blankLines ->
                    val response = callOne("/stream/") { request, socket ->
                        socket.send(undelimitedHead(request) + undelimitedEvent(1))
                        Thread.sleep(RESET_DELAY_MILLIS)
                        socket.send(blankLines)
                    }
                    response shouldContain "token1"
                    response.endsWith(LAST_CHUNK) shouldBe true
                }
            }
            it("is complete without an event") {
                val response = callOne("/stream/") { request, socket ->
                    socket.send(undelimitedHead(request))
                }
                response shouldContain "content-length: 0"
            }
            it("is broken off within an event") {
                listOf("id: 2\ndata: to", "id: 2\ndata: token2\n", "i").forEach { part ->
                    val response = callOne("/stream/") { request, socket ->
                        socket.send(undelimitedHead(request) + undelimitedEvent(1) + part)
                    }
                    response shouldContain "token1"
                    response shouldNotContain "id: 2"
                    response.endsWith(LAST_CHUNK) shouldBe false
                }
            }
            it("is answered with 502 within its first event") {
                val response = callOne("/stream/") { request, socket ->
                    socket.send(undelimitedHead(request) + "id: 1\ndata: to")
                }
                response shouldContain "502"
            }
            it("resumes at another endpoint within an event, and may end there the same way") {
                val script: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                    val lastEventId = request.headers["last"]?.toInt() ?: 0
                    val events = (lastEventId + 1..6).map(::undelimitedEvent)
                    val text = if (lastEventId == 0) {
                        events.take(3).joinToString("") + events[3].take(7)
                    } else {
                        events.joinToString("")
                    }
                    socket.send(undelimitedHead(request, "HTTP/1.0", "") + text)
                }
                val response = TestGateway(List(2) { endpoint(script).port }).call("/stream/")
                (1..6).forEach { response.split("data: token$it").size shouldBe 2 }
                response.endsWith(LAST_CHUNK) shouldBe true
            }
        }
        describe("a stream that ends with a reset") {
            it("is broken off between two events as well") {
                val response = callOne("/stream/") { request, socket ->
                    socket.send(undelimitedHead(request) + undelimitedEvent(1))
                    socket.reset()
                }
                response shouldContain "token1"
                response.endsWith(LAST_CHUNK) shouldBe false
            }
        }
        describe("a response to a caller that reads slowly") {
            it("is broken off when it is reset while reading is paused") {
                val first = endpoint { request, socket ->
                    socket.send(undelimitedHead(request) + "x".repeat(RELAYED_BYTES))
                    runCatching { repeat(100) { socket.send("x".repeat(RELAYED_BYTES)) } }
                    socket.reset()
                }
                val gateway = TestGateway(listOf(first.port))
                Socket("127.0.0.1", gateway.port).use { caller ->
                    caller.soTimeout = CALL_SECONDS * 1000
                    caller.send(
                        "POST /once/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\n" +
                            "Connection: close\r\nContent-Length: 0\r\n\r\n"
                    )
                    Thread.sleep(500)
                    val response = runCatching { caller.getInputStream().readBytes() }
                        .getOrNull()?.decodeToString().orEmpty()
                    response.endsWith(LAST_CHUNK) shouldBe false
                }
            }
            it("is complete when it ended while reading was paused") {
                val first = endpoint { request, socket ->
                    socket.send(undelimitedHead(request))
                    repeat(50) { socket.send("x".repeat(RELAYED_BYTES)) }
                }
                val gateway = TestGateway(listOf(first.port))
                Socket("127.0.0.1", gateway.port).use { caller ->
                    caller.soTimeout = CALL_SECONDS * 1000
                    caller.send(
                        "POST /once/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\n" +
                            "Connection: close\r\nContent-Length: 0\r\n\r\n"
                    )
                    Thread.sleep(500)
                    val response = caller.getInputStream().readBytes().decodeToString()
                    response.count { it == 'x' } shouldBe 50 * RELAYED_BYTES
                    response.endsWith(LAST_CHUNK) shouldBe true
                }
            }
        }
        describe("a response that stalls after it was relayed in part") {
            it("is not continued with the response of another endpoint") {
                val requests = AtomicInteger()
                val script: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                    if (requests.incrementAndGet() == 1) {
                        socket.send(undelimitedHead(request) + "x".repeat(RELAYED_BYTES))
                        socket.getInputStream().read()
                    } else {
                        socket.respond(request, "whole\n\n")
                    }
                }
                val response = TestGateway(
                    List(2) { endpoint(script).port },
                    targetMillis = 200
                ).call("/idempotent/", extraHeaders = "Left: 1500\r\n")
                response.count { it == 'x' } shouldBe RELAYED_BYTES
                response shouldNotContain "whole"
                response.endsWith(LAST_CHUNK) shouldBe false
            }
        }
        describe("interim responses") {
            it("precede the response and are not relayed") {
                val interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
                val response = callOne("/once/") { request, socket ->
                    socket.send(interim)
                    socket.send(interim + interim)
                    socket.send(undelimitedHead(request) + "whole")
                }
                response shouldContain "Seal: s"
                response.endsWith("whole") shouldBe true
            }
            it("do not switch the protocol") {
                val response = callOne("/once/") { _, socket ->
                    socket.send(
                        "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
                    )
                    socket.getInputStream().read()
                }
                response shouldContain "502"
            }
        }
    })
