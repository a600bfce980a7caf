package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket

class FaultyEndpointTest :
    DescribeSpec({
        val openEndpoints = mutableListOf<ScriptedEndpoint>()
        afterTest {
            openEndpoints.forEach { it.close() }
            openEndpoints.clear()
        }
        fun endpoint(script: (ReceivedRequest, Socket) -> Unit) =
            ScriptedEndpoint(script).also { openEndpoints += it }

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
