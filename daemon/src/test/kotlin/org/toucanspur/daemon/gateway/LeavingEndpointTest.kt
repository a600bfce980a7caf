package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket
import org.toucanspur.core.events.EventCode

private const val CALLS = 20
private const val LEAVING = "Leaving: 1\r\n"

class LeavingEndpointTest :
    DescribeSpec({
        val opened = ScriptedEndpoints()
        afterTest { opened.closeAll() }
        fun endpoint(script: (ReceivedRequest, Socket) -> Unit) = opened.open(script)
        fun sound() = endpoint { request, socket -> socket.respond(request, "fine") }

        /** Calls [path] until [leaving] has received a request, and then often. */
        fun TestGateway.callAfterStatement(leaving: ScriptedEndpoint, path: String): List<String> {
            repeat(CALLS) { if (leaving.received.isEmpty()) call(path) }
            leaving.received.size shouldBe 1
            return List(CALLS) { call(path) }
        }

        describe("an endpoint that says that it is leaving") {
            val responses = mapOf<String, (ReceivedRequest, Socket) -> Unit>(
                "a response" to { request, socket ->
                    socket.respond(request, "fine", headers = "Seal: s\r\n$LEAVING")
                },
                "a refusal" to { request, socket ->
                    socket.respond(request, "", "503 Full", "Not-Run: 1\r\n$LEAVING")
                },
                "an error" to { request, socket ->
                    socket.respond(request, "", "500 Broken", "Seal: s\r\n$LEAVING")
                },
                "a response without an id" to { _, socket ->
                    socket.send(
                        "HTTP/1.1 200 OK\r\nSeal: s\r\n${LEAVING}Content-Length: 4\r\n\r\nfine"
                    )
                },
                "a stream" to { _, socket ->
                    socket.send(
                        "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n$LEAVING" +
                            "Content-Type: text/event-stream\r\nContent-Length: 18\r\n\r\n" +
                            "id: 1\ndata: fine\n\n"
                    )
                }
            )
            responses.forEach { (name, respond) ->
                it("gets no request that is sent after $name") {
                    val leaving = endpoint(respond)
                    val gateway = TestGateway(listOf(leaving.port, sound().port))
                    gateway.callAfterStatement(leaving, "/idempotent/")
                        .forEach { it shouldContain "fine" }
                    leaving.received.size shouldBe 1
                    gateway.events.next(EventCode.ENDPOINT_LEAVING).shouldNotBeNull()
                }
            }
            it("gets no request although it is listed again as ready") {
                val leaving = endpoint(responses.getValue("a response"))
                val gateway = TestGateway(listOf(leaving.port, sound().port))
                repeat(CALLS) { if (leaving.received.isEmpty()) gateway.call("/once/") }
                gateway.relist(leaving.port)
                repeat(CALLS) { gateway.call("/once/") shouldContain "fine" }
                leaving.received.size shouldBe 1
            }
            it("gets no retry and no resumed stream") {
                val leaving = endpoint(responses.getValue("a response"))
                val broken = endpoint { request, socket ->
                    socket.respondWithEvents(
                        request,
                        listOf("id: 1\ndata: a\n\n"),
                        isComplete = false
                    )
                }
                val gateway = TestGateway(listOf(leaving.port, broken.port), targetMillis = 300)
                repeat(CALLS) { if (leaving.received.isEmpty()) gateway.call("/once/") }
                gateway.call("/stream/")
                gateway.call("/idempotent/")
                leaving.received.size shouldBe 1
            }
            it("is not waited for when there is no other") {
                val leaving = endpoint(responses.getValue("a response"))
                val gateway = TestGateway(listOf(leaving.port))
                gateway.call("/once/") shouldContain "fine"
                gateway.call("/once/") shouldStartWith "HTTP/1.1 503"
                val refused = gateway.events.next(EventCode.REQUEST_REFUSED).shouldNotBeNull()
                refused.getValue("reason").toString() shouldContain "no endpoint can serve"
            }
            it("gets requests again when it has started again") {
                val leaving = endpoint { request, socket ->
                    socket.respond(request, "fine", headers = "Seal: s\r\n$LEAVING")
                }
                val gateway = TestGateway(listOf(leaving.port))
                gateway.call("/once/") shouldContain "fine"
                gateway.onRestart(leaving.port)
                gateway.call("/once/") shouldContain "fine"
            }
        }
    })
