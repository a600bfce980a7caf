package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket

private const val BROKEN_OFF = 2

private fun event(id: Int) = "id: $id\ndata: token$id\n\n"

class FaultyEndpointTest :
    DescribeSpec({
        val opened = ScriptedEndpoints()
        afterTest { opened.closeAll() }
        fun endpoint(script: (ReceivedRequest, Socket) -> Unit) = opened.open(script)

        describe("an earlier refusal that is written again") {
            fun refuseAgain(id: String): (ReceivedRequest, Socket) -> Unit = { request, socket ->
                socket.send("HTTP/1.1 503 Full\r\n${id}Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
                socket.respond(request, "fine")
            }

            listOf("Id: earlier\r\n", "").forEach { id ->
                it("does not state that a request was not executed, with the head \"$id\"") {
                    val endpoints = List(2) { endpoint(refuseAgain(id)) }
                    val gateway = TestGateway(endpoints.map { it.port })
                    gateway.call("/once/") shouldStartWith "HTTP/1.1 502"
                    endpoints.sumOf { it.received.size } shouldBe 1
                }
            }
        }
        describe("a stream that has begun and broke off") {
            fun resumedAt(respond: (ReceivedRequest, Socket) -> Unit): String {
                val script: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                    if (request.headers["last"] == null) {
                        val events = (1..BROKEN_OFF).map(::event)
                        socket.respondWithEvents(request, events, isComplete = false)
                    } else {
                        respond(request, socket)
                    }
                }
                return TestGateway(List(2) { endpoint(script).port }).call("/stream/")
            }

            fun String.shouldBeBrokenOff() {
                shouldContain("token$BROKEN_OFF")
                shouldEndWith("data: token$BROKEN_OFF\n\n\r\n")
            }

            listOf(
                "204 No Content",
                "202 Accepted",
                "206 Partial Content",
                "404 Not Found",
                "429 Too Many Requests",
                "500 Internal Server Error",
                "503 Service Unavailable"
            ).forEach { status ->
                it("does not end as complete or with other text after $status") {
                    resumedAt { request, socket ->
                        val body = if (status.startsWith("204")) "" else event(BROKEN_OFF + 1)
                        socket.respond(request, body, status)
                    }.shouldBeBrokenOff()
                }
            }
            it("does not continue with a response of another type") {
                resumedAt { request, socket ->
                    val headers = "Seal: s\r\nContent-Type: application/json\r\n"
                    socket.respond(request, "{\"error\": 1}\n\n", headers = headers)
                }.shouldBeBrokenOff()
            }
            it("does not continue with the head of a second response") {
                resumedAt { request, socket ->
                    socket.respond(request, "", "503 Full", "Not-Run: 1\r\n")
                    socket.respond(request, "", "500 Failed")
                }.shouldBeBrokenOff()
            }
            it("continues with the events that follow") {
                resumedAt { request, socket ->
                    socket.respondWithEvents(request, listOf(event(BROKEN_OFF + 1)), true)
                } shouldEndWith "token${BROKEN_OFF + 1}\n\n\r\n0\r\n\r\n"
            }
        }
        describe("a response whose head is cut at any place") {
            fun head(request: ReceivedRequest) =
                "HTTP/1.1 200 OK\r\nId: ${request.headers["id"]}\r\nSeal: s\r\n" +
                    "Content-Type: text/plain\r\n"
            val lengths = head(ReceivedRequest("", mapOf("id" to "r1"), "")).indices
            it("is answered with 502") {
                val endpoints = lengths.map { length ->
                    endpoint { request, socket -> socket.send(head(request).take(length)) }
                }
                val gateway = TestGateway(endpoints.map { it.port })
                lengths.toList().forAll {
                    val response = gateway.call("/once/")
                    response shouldStartWith "HTTP/1.1 502"
                    response shouldNotContain "Seal"
                }
                endpoints.forAll { it.received.size shouldBe 1 }
            }
        }
    })
