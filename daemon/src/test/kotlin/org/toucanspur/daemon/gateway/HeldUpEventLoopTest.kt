package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private const val LEFT = "Left: 8000\r\n"

// A call with less time than an earlier one is late: its latency target does not end its attempts.
private const val EARLIER_LEFT = "Left: 20000\r\n"
private const val EARLIER = "earlier"

private fun CountDownLatch.awaitCall() = await(CALL_SECONDS.toLong(), TimeUnit.SECONDS)

/** Codec that is busy in the headers of a caller with `Hold`, until [toGoOn] and [millis] later. */
private class BusyCodec(private val toGoOn: CountDownLatch, private val millis: Long) :
    RequestCodecDelegate() {
    val isBusy = CountDownLatch(1)

    override fun decode(header: (String) -> String?) = TestRequestCodec.decode(header).also {
        if (header("Hold") != null) {
            isBusy.countDown()
            toGoOn.awaitCall()
            Thread.sleep(millis)
        }
    }
}

class HeldUpEventLoopTest :
    DescribeSpec({
        val opened = ScriptedEndpoints()
        afterTest { opened.closeAll() }
        fun endpoint(script: (ReceivedRequest, Socket) -> Unit) = opened.open(script)

        // Guards against taking bytes that are not read yet for silence.
        describe("a response that arrives while the event loop is held up") {
            fun holdUp(millis: Long, path: String, headers: String): Pair<String, Int> {
                val hasArrived = CountDownLatch(1)
                val hasResponded = CountDownLatch(1)
                val codec = BusyCodec(hasResponded, millis)
                val endpoints = List(2) {
                    endpoint { request, socket ->
                        if (request.body == EARLIER) {
                            socket.respond(request, EARLIER)
                            return@endpoint
                        }
                        hasArrived.countDown()
                        codec.isBusy.awaitCall()
                        socket.respond(request, "whole")
                        hasResponded.countDown()
                    }
                }
                val gateway =
                    TestGateway(endpoints.map { it.port }, targetMillis = 2000, codec = codec)
                gateway.call(path, extraHeaders = EARLIER_LEFT, body = EARLIER)
                val response = CompletableFuture.supplyAsync {
                    gateway.call(path, extraHeaders = headers)
                }
                hasArrived.awaitCall() shouldBe true
                gateway.call("/nowhere/", extraHeaders = "Hold: 1\r\n") shouldContain "404"
                return response.get() to endpoints.sumOf { it.received.size } - 1
            }

            it("is relayed, and the request is not sent to another endpoint") {
                val (response, received) = holdUp(2200, "/idempotent/", LEFT)
                response shouldEndWith "whole"
                received shouldBe 1
            }
            it("is relayed when the deadline passes meanwhile") {
                val (response, received) = holdUp(3200, "/once/", "Left: 3000\r\n")
                response shouldEndWith "whole"
                received shouldBe 1
            }
        }
    })
