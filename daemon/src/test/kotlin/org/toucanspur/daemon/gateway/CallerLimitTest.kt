/*
 * Limits on what callers send before they have a response.
 */
package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket
import org.toucanspur.core.events.EventCode

private const val LEGAL_BODY_BYTES = 4 * 1024 * 1024
private const val MEMORY_BYTES = 1_000_000L
private const val STALLED_BODY_BYTES = 300_000

private fun head(path: String, headers: String) =
    "POST $path HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\n$headers\r\n"

private fun Socket.readAll() = getInputStream().readBytes().decodeToString()

class CallerLimitTest :
    DescribeSpec({
        val opened = ScriptedEndpoints()
        afterTest { opened.closeAll() }
        fun endpoint() = opened.open { request, socket -> socket.respond(request, "fine") }
        fun connect(gateway: TestGateway) = Socket("127.0.0.1", gateway.port).apply {
            soTimeout = CALL_SECONDS * 1000
        }

        describe("a request of legal size") {
            it("is served if there is no load, also when it takes most of the budget") {
                val endpoint = endpoint()
                val gateway = TestGateway(
                    listOf(endpoint.port),
                    bodyMaxBytes = LEGAL_BODY_BYTES,
                    callerMemoryBytes = LEGAL_BODY_BYTES + MEMORY_BYTES
                )
                connect(gateway).use { caller ->
                    val close = "Connection: close\r\n"
                    caller.send(head("/once/", "${close}Content-Length: $LEGAL_BODY_BYTES\r\n"))
                    caller.getOutputStream().write(ByteArray(LEGAL_BODY_BYTES))
                    caller.readAll() shouldStartWith "HTTP/1.1 200"
                }
            }
        }
        describe("bodies over the budget") {
            // Guards against a refusal of a request that has run.
            it("are refused as not executed, those without progress first") {
                val endpoint = endpoint()
                val gateway = TestGateway(
                    listOf(endpoint.port),
                    bodyMaxBytes = LEGAL_BODY_BYTES,
                    callerMemoryBytes = MEMORY_BYTES
                )
                val length = "Content-Length: $LEGAL_BODY_BYTES\r\n"
                val stalled = List(4) { connect(gateway) }
                try {
                    stalled.forEach {
                        it.send(head("/once/", length))
                        it.getOutputStream().write(ByteArray(STALLED_BODY_BYTES))
                    }
                    gateway.events.next(EventCode.CALLER_SHED)
                    gateway.call("/once/") shouldContain "fine"
                    val response = stalled.first().readAll()
                    response shouldStartWith "HTTP/1.1 503"
                    response shouldContain "Retry-After"
                    response shouldContain "\"ran\":\"no\""
                    endpoint.received shouldHaveSize 1
                } finally {
                    stalled.forEach { it.close() }
                }
            }
        }
        describe("a request with very many fields") {
            it("is answered with 431") {
                val endpoint = endpoint()
                val gateway = TestGateway(listOf(endpoint.port))
                connect(gateway).use { caller ->
                    caller.send(head("/once/", "a:b\r\n".repeat(1000)))
                    caller.readAll() shouldStartWith "HTTP/1.1 431"
                }
                endpoint.received shouldHaveSize 0
            }
        }
        describe("pipelined requests whose responses are not read") {
            it("are not run ahead") {
                val endpoint = opened.open { request, socket ->
                    socket.respond(request, "~".repeat(100_000))
                }
                val gateway = TestGateway(listOf(endpoint.port))
                connect(gateway).use { caller ->
                    val requests = head("/once/", "Content-Length: 0\r\n").repeat(200)
                    caller.send(requests)
                    while (gateway.unsentBytes == 0L) Thread.sleep(10)
                    Thread.sleep(300)
                    endpoint.received.size shouldBeLessThan 200
                    val ran = endpoint.received.size
                    Thread.sleep(300)
                    endpoint.received.size shouldBe ran
                }
            }
            it("are all answered in order once they are read") {
                val endpoint = endpoint()
                val gateway = TestGateway(listOf(endpoint.port))
                connect(gateway).use { caller ->
                    val rest = head("/once/", "Connection: close\r\nContent-Length: 0\r\n")
                    caller.send(head("/once/", "Content-Length: 0\r\n").repeat(99) + rest)
                    caller.readAll().split("HTTP/1.1 200 OK").size shouldBe 101
                }
            }
        }
    })
