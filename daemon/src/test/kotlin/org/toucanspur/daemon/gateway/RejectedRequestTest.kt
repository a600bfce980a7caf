/*
 * Requests that are rejected before they are read completely.
 */
package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldContainOnlyOnce
import java.io.IOException
import java.net.Socket

// More than the socket buffers of both sides hold.
private const val BODY_PARTS = 200
private val part = "~".repeat(100_000)

private const val HEAD = "POST /once/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\n"

private val rejected = mapOf(
    "413" to "${HEAD}Content-Length: ${BODY_PARTS * part.length}\r\n\r\n",
    "431" to "${HEAD}X-Large: ${"~".repeat(20_000)}\r\n\r\n",
    "400" to "${HEAD}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
)

private fun connect(gateway: TestGateway) = Socket("127.0.0.1", gateway.port).apply {
    soTimeout = CALL_SECONDS * 1000
}

private fun Socket.readText() = getInputStream().readBytes().decodeToString()

class RejectedRequestTest :
    DescribeSpec({
        val opened = ScriptedEndpoints()
        afterTest { opened.closeAll() }

        // Guards against a reset that destroys the response on its way.
        describe("a request that is rejected while its caller still sends") {
            rejected.forEach { (status, head) ->
                it("gets its response: $status") {
                    connect(TestGateway(emptyList())).use { caller ->
                        caller.send(head)
                        repeat(BODY_PARTS) { caller.send(part) }
                        caller.readText() shouldContainOnlyOnce "HTTP/1.1 $status"
                    }
                }
            }
            it("keeps its connection for a bounded time only") {
                connect(TestGateway(emptyList())).use { caller ->
                    caller.send(rejected.getValue("413"))
                    val isClosed = try {
                        while (true) caller.send(part)
                        false
                    } catch (_: IOException) {
                        true
                    }
                    isClosed shouldBe true
                }
            }
        }
        describe("a request that asks to close the connection while its caller still sends") {
            it("gets its response") {
                val endpoint = opened.open { request, socket -> socket.respond(request, "fine") }
                connect(TestGateway(listOf(endpoint.port))).use { caller ->
                    caller.send("${HEAD}Connection: close\r\nContent-Length: 0\r\n\r\n")
                    repeat(BODY_PARTS) { caller.send(part) }
                    caller.readText() shouldContain "fine"
                }
            }
        }
        describe("requests that were read before one that is rejected") {
            it("get their responses first") {
                val endpoint = opened.open { request, socket -> socket.respond(request, "fine") }
                connect(TestGateway(listOf(endpoint.port))).use { caller ->
                    val request = "${HEAD}Content-Length: 0\r\n\r\n"
                    caller.send(request + request + rejected.getValue("400"))
                    val text = caller.readText()
                    text.split("HTTP/1.1 200").size - 1 shouldBe 2
                    text.substringAfterLast("fine") shouldContainOnlyOnce "HTTP/1.1 400"
                }
            }
        }
    })
