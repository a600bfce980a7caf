package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket
import org.toucanspur.core.events.EventCode

private const val CALLS = 20

/** Longer than any test of this file takes. */
private const val BACKOFF_MILLIS = 60_000L
private const val RETRY_AFTER_MIN_SECONDS = 30.0
private const val RETRY_AFTER_MAX_SECONDS = 62.0

private fun String.retryAfterSeconds(): Double =
    substringAfter("Retry-After: ").substringBefore("\r").toDouble()

class RequestedBackoffCallTest :
    DescribeSpec({
        val opened = ScriptedEndpoints()
        afterTest { opened.closeAll() }
        fun endpoint(script: (ReceivedRequest, Socket) -> Unit) = opened.open(script)
        fun full(head: String = "Not-Run: 1\r\n", millis: Long = BACKOFF_MILLIS) =
            endpoint { request, socket ->
                socket.respond(request, "", "503 Full", "${head}Backoff-Millis: $millis\r\n")
            }

        /** An endpoint whose refusals do not name the request. */
        fun anonymous() = endpoint { _, socket ->
            socket.send(
                "HTTP/1.1 503 Full\r\nBackoff-Millis: $BACKOFF_MILLIS\r\n" +
                    "Content-Length: 0\r\n\r\n"
            )
        }

        describe("an endpoint that requests a backoff") {
            it("gets nothing more while another endpoint takes the requests") {
                val full = full()
                val free = endpoint { request, socket -> socket.respond(request, "fine") }
                val gateway = TestGateway(listOf(full.port, free.port))
                repeat(CALLS) { gateway.call("/once/") shouldContain "fine" }
                full.received.size shouldBe 1
                gateway.events.next(EventCode.ENDPOINT_BACKOFF).shouldNotBeNull()
            }
            it("gets nothing more when its refusals do not name the request") {
                val endpoints = List(2) { anonymous() }
                val gateway = TestGateway(endpoints.map { it.port })
                repeat(CALLS) { gateway.call("/idempotent/") }
                endpoints.forEach { it.received.size shouldBe 1 }
            }
            it("gets nothing more when a later refusal asks for less") {
                val full = full()
                val gateway = TestGateway(listOf(full.port))
                gateway.call("/once/") shouldStartWith "HTTP/1.1 503"
                gateway.requestBackoff(full.port, 1)
                repeat(CALLS) { gateway.call("/once/") shouldStartWith "HTTP/1.1 503" }
                full.received.size shouldBe 1
            }
            it("gets requests again when it has started again") {
                val full = full()
                val gateway = TestGateway(listOf(full.port))
                gateway.call("/once/") shouldStartWith "HTTP/1.1 503"
                gateway.onRestart(full.port)
                gateway.call("/once/") shouldStartWith "HTTP/1.1 503"
                full.received.size shouldBe 2
            }
        }
        describe("a request when all endpoints request a backoff") {
            it("is refused at once with the time of the first end") {
                val endpoints = listOf(full(millis = 2 * BACKOFF_MILLIS), full())
                val gateway = TestGateway(endpoints.map { it.port })
                val responses = List(CALLS) { gateway.call("/once/") }
                responses.forEach {
                    it shouldStartWith "HTTP/1.1 503"
                    it shouldContain "\"ran\":\"no\""
                }
                endpoints.forEach { it.received.size shouldBe 1 }
                responses.forEach {
                    it.retryAfterSeconds() shouldBeGreaterThanOrEqualTo RETRY_AFTER_MIN_SECONDS
                    it.retryAfterSeconds() shouldBeLessThan RETRY_AFTER_MAX_SECONDS
                }
                gateway.queuedCount shouldBe 0
            }
        }
    })
