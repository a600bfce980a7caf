/*
 * Errors of the gateway itself in the handling of one request.
 */
package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import org.toucanspur.core.gateway.EndpointRequestMetadata
import org.toucanspur.core.gateway.HeaderLine
import org.toucanspur.schema.RequestId

private const val LEFT = "Left: 8000\r\n"
private const val BAD = "bad"

/** Codec that fails on whatever contains [BAD]; always in [callerHeaders] if [failsInHeaders]. */
private class FailingCodec(private val failsInHeaders: Boolean = false) : RequestCodecDelegate() {
    private fun check(text: String?) = check(text != BAD) { "injected" }

    override fun decode(header: (String) -> String?) =
        TestRequestCodec.decode(header).also { check(header("Decoded")) }

    override fun endpointHeaders(metadata: EndpointRequestMetadata): List<HeaderLine> {
        check(metadata.lastEventId)
        return TestRequestCodec.endpointHeaders(metadata)
    }

    override fun isSealed(header: (String) -> String?): Boolean {
        check(header("Seal"))
        return TestRequestCodec.isSealed(header)
    }

    override fun callerHeaders(id: RequestId): List<HeaderLine> {
        check(!failsInHeaders) { "injected" }
        return TestRequestCodec.callerHeaders(id)
    }
}

class InternalErrorTest :
    DescribeSpec({
        val opened = ScriptedEndpoints()
        afterTest { opened.closeAll() }
        fun endpoint(script: (ReceivedRequest, Socket) -> Unit) = opened.open(script)

        // Guards against a connection that is closed without a response to a request.
        describe("an error before a request is sent") {
            listOf("Decoded" to "its headers", "Last" to "the headers for an endpoint")
                .forEach { (name, where) ->
                    it("is answered with 503 in $where, and the connection stays open") {
                        val first = endpoint { request, socket -> socket.respond(request, "fine") }
                        val gateway = TestGateway(listOf(first.port), codec = FailingCodec())
                        val request = "GET /idempotent/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\n"
                        Socket("127.0.0.1", gateway.port).use { caller ->
                            caller.soTimeout = CALL_SECONDS * 1000
                            caller.send("$request$name: $BAD\r\n\r\n")
                            caller.send("${request}Connection: close\r\n\r\n")
                            val text = caller.getInputStream().readBytes().decodeToString()
                            text shouldStartWith "HTTP/1.1 503"
                            text shouldEndWith "fine"
                        }
                        first.received.size shouldBe 1
                        gateway.failedTasks.shouldNotBeEmpty()
                    }
                }
            it("is answered with 503 when the headers of the response fail too") {
                val gateway = TestGateway(emptyList(), codec = FailingCodec(failsInHeaders = true))
                gateway.call("/idempotent/") shouldStartWith "HTTP/1.1 503"
            }
        }
        describe("an error in a response") {
            // Guards against a promise that the request was not executed.
            it("is answered with 502 when the endpoint may have executed the request") {
                val first = endpoint { request, socket ->
                    socket.respond(request, "fine", headers = "Seal: $BAD\r\n")
                }
                val gateway = TestGateway(listOf(first.port), codec = FailingCodec())
                val response = gateway.call("/once/", extraHeaders = LEFT)
                response shouldStartWith "HTTP/1.1 502"
                response shouldNotContain "fine"
                first.received.size shouldBe 1
                gateway.failedTasks.shouldNotBeEmpty()
            }
        }
        // Guards against one request that keeps others from endpoints that become free.
        describe("an error in a request that waits") {
            it("is answered with 503, and the requests behind it are served") {
                val hasArrived = CountDownLatch(1)
                val toRespond = CountDownLatch(1)
                val first = endpoint { request, socket ->
                    if (request.body == "first") {
                        hasArrived.countDown()
                        toRespond.await(CALL_SECONDS.toLong(), TimeUnit.SECONDS)
                    }
                    socket.respond(request, "fine ${request.body}")
                }
                val gateway = TestGateway(listOf(first.port), codec = FailingCodec())
                gateway.apply { current ->
                    current.copy(services = current.services.map { it.copy(connectionsMax = 1) })
                }
                fun callAsync(body: String, headers: String = LEFT) =
                    CompletableFuture.supplyAsync {
                        gateway.call("/once/", body = body, extraHeaders = headers)
                    }

                val begun = callAsync("first")
                hasArrived.await(CALL_SECONDS.toLong(), TimeUnit.SECONDS) shouldBe true
                val failing = callAsync("failing", "${LEFT}Last: $BAD\r\n")
                while (gateway.queuedCount < 1) Thread.sleep(1)
                val waiting = callAsync("waiting")
                while (gateway.queuedCount < 2) Thread.sleep(1)
                toRespond.countDown()
                begun.get() shouldContain "fine first"
                failing.get() shouldStartWith "HTTP/1.1 503"
                waiting.get() shouldContain "fine waiting"
                first.received.filter { it.body == "failing" }.shouldBeEmpty()
            }
        }
    })
