package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.core.spec.style.scopes.DescribeSpecContainerScope
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger

/** Status lines of responses that are invalid. */
private val statusLines = listOf(
    "HTTP/1.1 000 Zero",
    "HTTP/1.1 20 Two",
    "HTTP/1.1 2000 Four",
    "HTTP/1.1 0200 Four",
    "HTTP/1.1 +200 Sign",
    "HTTP/1.1 099 Low",
    "HTTP/1.1 600 High",
    "HTTP/1.1 999 High",
    "HTTP/1.1 OK",
    "HTTP/1.1 ",
    "HTTP/1.1"
)

private fun Socket.sendInvalid(request: ReceivedRequest, line: String) =
    send("$line\r\nId: ${request.headers["id"]}\r\nSeal: s\r\nContent-Length: 7\r\n\r\ninvalid")

// Guards against passing on a response that an endpoint in trouble has sent, and against a call
// that waits for one until its deadline.
class InvalidStatusTest :
    DescribeSpec({
        val opened = ScriptedEndpoints()
        afterTest { opened.closeAll() }

        /** A gateway whose endpoints answer the first request by [first] and others well. */
        fun gateway(requests: AtomicInteger, first: (ReceivedRequest, Socket) -> Unit) =
            TestGateway(
                List(2) {
                    opened.open { request, socket ->
                        if (requests.incrementAndGet() == 1) {
                            first(request, socket)
                        } else {
                            socket.respond(request, "fine")
                        }
                    }.port
                }
            )

        suspend fun DescribeSpecContainerScope.itIsBroken(
            name: String,
            first: (ReceivedRequest, Socket) -> Unit
        ) {
            it("ends an at-most-once call with 502: $name") {
                val requests = AtomicInteger()
                val response = gateway(requests, first).call("/once/")
                response shouldStartWith "HTTP/1.1 502"
                response shouldNotContain "invalid"
                requests.get() shouldBe 1
            }
            it("is retried for a repeatable call: $name") {
                val requests = AtomicInteger()
                val response = gateway(requests, first).call("/idempotent/")
                response shouldStartWith "HTTP/1.1 200"
                response shouldContain "fine"
                requests.get() shouldBe 2
            }
        }

        describe("a response with an invalid status") {
            statusLines.forEach { line ->
                itIsBroken("\"$line\"") { request, socket -> socket.sendInvalid(request, line) }
            }
        }
        describe("an informational response that ends") {
            listOf("100 Continue", "101 Switching", "103 Early Hints", "199 Other").forEach {
                itIsBroken("$it, then closed") { request, socket ->
                    socket.send("HTTP/1.1 $it\r\nId: ${request.headers["id"]}\r\nSeal: s\r\n\r\n")
                }
                itIsBroken("$it with a body") { request, socket ->
                    socket.sendInvalid(request, "HTTP/1.1 $it")
                }
            }
        }
    })
