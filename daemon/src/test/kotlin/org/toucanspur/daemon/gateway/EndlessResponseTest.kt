/*
 * Bytes that are no response and do not end until the gateway closes the connection.
 */
package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import java.io.IOException
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger

private const val TRICKLE_MILLIS = 20L

/** Sends [start] and then [repeated] until the peer closes the connection. */
private fun Socket.sendEndless(start: String, repeated: String, pauseMillis: Long = 0) = try {
    send(start)
    while (true) {
        send(repeated)
        if (pauseMillis > 0) Thread.sleep(pauseMillis)
    }
} catch (_: IOException) {
    // The peer has closed the connection.
}

private val endlessHeads = mapOf(
    "control characters" to ("" to "\r\n"),
    "garbage without line breaks" to ("" to "~"),
    "garbage with line breaks" to ("" to "~ ~ ~\r\n"),
    "a status line" to ("HTTP/1.1 200 " to "OK"),
    "a header" to ("HTTP/1.1 200 OK\r\nSeal: s\r\nA: " to "b"),
    "headers" to ("HTTP/1.1 200 OK\r\nSeal: s\r\n" to "A: b\r\n")
)
private const val INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
private const val SEALED_HEAD = "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n"
private const val CHUNKED_HEAD = "${SEALED_HEAD}Transfer-Encoding: chunked\r\n\r\n"

class EndlessResponseTest :
    DescribeSpec({
        val opened = ScriptedEndpoints()
        afterTest { opened.closeAll() }
        fun endpoint(script: (ReceivedRequest, Socket) -> Unit) = opened.open(script)

        fun callOne(
            path: String,
            extraHeaders: String = "Left: 4000\r\n",
            script: (ReceivedRequest, Socket) -> Unit
        ) = TestGateway(listOf(endpoint(script).port)).call(path, extraHeaders = extraHeaders)

        describe("a head without end") {
            endlessHeads.forEach { (name, bytes) ->
                val (start, repeated) = bytes
                it("is answered with 502 before the deadline: $name") {
                    val response = callOne("/once/") { _, socket ->
                        socket.sendEndless(start, repeated.repeat(1000))
                    }
                    response shouldContain "502"
                }
                it("is answered with 502 before the deadline when it arrives slowly: $name") {
                    val response = callOne("/once/") { _, socket ->
                        socket.sendEndless(start, repeated, TRICKLE_MILLIS)
                    }
                    response shouldContain "502"
                }
                it("is replaced by the response of another endpoint: $name") {
                    val requests = AtomicInteger()
                    val script: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                        if (requests.incrementAndGet() == 1) {
                            socket.sendEndless(start, repeated, TRICKLE_MILLIS)
                        } else {
                            socket.respond(request, "whole")
                        }
                    }
                    TestGateway(List(2) { endpoint(script).port })
                        .call("/idempotent/", extraHeaders = "Left: 4000\r\n")
                        .shouldContain("whole")
                }
            }
        }
        describe("interim responses without end") {
            it("are answered with 502 before the deadline") {
                callOne("/once/") { _, socket -> socket.sendEndless("", INTERIM.repeat(100)) }
                    .shouldContain("502")
            }
        }
        describe("a chunk extension without end") {
            it("is answered with 502") {
                callOne("/once/") { _, socket ->
                    socket.sendEndless(CHUNKED_HEAD + "4;a=", "bbbb")
                } shouldContain "502"
            }
        }
        describe("trailers without end") {
            it("are answered with 502") {
                callOne("/once/") { _, socket ->
                    socket.sendEndless(CHUNKED_HEAD + "4\r\npart\r\n0\r\n", "a: b\r\n")
                } shouldContain "502"
            }
        }
        describe("bytes after a complete response") {
            it("do not delay the response and are not relayed") {
                val response = callOne("/once/") { request, socket ->
                    socket.respond(request, "whole")
                    socket.sendEndless("", "~~~~")
                }
                response.endsWith("whole") shouldBe true
            }
        }
        describe("a body without end") {
            it("is answered with 502 without a seal") {
                val response = callOne("/once/") { _, socket ->
                    socket.sendEndless("HTTP/1.1 200 OK\r\n\r\n", "~~~~")
                }
                response shouldContain "502"
                response shouldNotContain "~"
            }
            it("is answered with 502 after an error status") {
                val response = callOne("/once/") { _, socket ->
                    socket.sendEndless("HTTP/1.1 500 Broken\r\n\r\n", "~".repeat(1000))
                }
                response shouldContain "502"
                response shouldNotContain "~"
            }
            it("is broken off at the deadline with a seal") {
                val response = callOne("/once/", "Left: 1500\r\n") { _, socket ->
                    // The test keeps the response, so its rate is limited.
                    socket.sendEndless("$SEALED_HEAD\r\n", "~".repeat(1000), pauseMillis = 1)
                }
                response.endsWith("0\r\n\r\n") shouldBe false
            }
        }
        describe("an event without end") {
            listOf("data: ~\n", "~", "\n").forEach { repeated ->
                val name = repeated.trim().ifEmpty { "blank lines" }
                it("is broken off at the limit: $name") {
                    val script: (ReceivedRequest, Socket) -> Unit = { _, socket ->
                        socket.sendEndless("$SEALED_HEAD\r\n", repeated.repeat(1000))
                    }
                    val response = TestGateway(List(2) { endpoint(script).port }).call("/stream/")
                    response shouldContain "502"
                }
            }
        }
    })
