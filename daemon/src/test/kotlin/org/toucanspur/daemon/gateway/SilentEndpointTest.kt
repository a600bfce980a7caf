/*
 * Endpoints that are silent for a while and then go on, end their response or break off.
 */
package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

private const val TARGET_MILLIS = 100L

// Longer than the silence after which a call is sent to another endpoint at TARGET_MILLIS.
private const val SILENT_MILLIS = 1000L

private const val EVENTS_HEAD =
    "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nContent-Type: text/event-stream\r\n"
private const val CHUNKED_HEAD = "${EVENTS_HEAD}Transfer-Encoding: chunked\r\n\r\n"
private const val LAST_CHUNK = "0\r\n\r\n"
private const val BUFFERED_HEAD =
    "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nContent-Length: 8\r\n\r\n"
private const val LEFT = "Left: 8000\r\n"

// A call with less time than an earlier one is late: its latency target does not end its attempts.
private const val EARLIER_LEFT = "Left: 20000\r\n"
private const val EARLIER = "earlier"

// Room for the buffer of a short event only.
private const val SHORT_MEMORY_BYTES = 2000L
private const val LONG_EVENT_BYTES = 1500

private fun event(id: Int) = "id: $id\ndata: token$id\n\n"

private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

private fun chunkedEvents(vararg ids: Int) = ids.joinToString("") { chunk(event(it)) }

private fun CountDownLatch.awaitCall() = await(CALL_SECONDS.toLong(), TimeUnit.SECONDS)

private fun Socket.readUntilSilent(): String {
    val text = StringBuilder()
    try {
        while (true) {
            val byte = getInputStream().read()
            if (byte < 0) break
            text.append(byte.toChar())
        }
    } catch (_: SocketTimeoutException) {
        return text.toString()
    }
    return text.toString()
}

private fun String.shouldBeCompleteWith(events: Int) {
    (1..events).forEach { split("data: token$it\n").size shouldBe 2 }
    this shouldNotContain "token${events + 1}"
    this shouldEndWith LAST_CHUNK
}

class SilentEndpointTest :
    DescribeSpec({
        val opened = ScriptedEndpoints()
        afterTest { opened.closeAll() }
        fun endpoint(script: (ReceivedRequest, Socket) -> Unit) = opened.open(script)

        fun call(
            path: String,
            first: (Socket) -> Unit,
            other: (ReceivedRequest, Socket) -> Unit
        ): String {
            val isFirst = AtomicBoolean(true)
            val endpoints = List(2) {
                endpoint { request, socket ->
                    when {
                        request.body == EARLIER -> socket.respond(request, EARLIER)
                        isFirst.getAndSet(false) -> first(socket)
                        else -> other(request, socket)
                    }
                }
            }
            val gateway = TestGateway(endpoints.map { it.port }, targetMillis = TARGET_MILLIS)
            if (path == "/idempotent/") {
                gateway.call(path, extraHeaders = EARLIER_LEFT, body = EARLIER)
            }
            return gateway.call(path, extraHeaders = LEFT)
        }

        // Guards against leaving callers at an endpoint whose VM is frozen until they give up.
        describe("an endpoint whose agent has stopped reporting as well") {
            it("loses a repeatable call that no other endpoint takes, which ends at once") {
                val silent = endpoint { _, socket -> socket.readUntilSilent() }
                val gateway = TestGateway(listOf(silent.port), targetMillis = TARGET_MILLIS)
                gateway.reportLoad(silent.port)
                gateway.call("/idempotent/", extraHeaders = LEFT) shouldContain
                    "no endpoint for another send"
            }
            it("keeps a call that must not run twice until the deadline") {
                val silent = endpoint { _, socket -> socket.readUntilSilent() }
                val gateway = TestGateway(listOf(silent.port), targetMillis = TARGET_MILLIS)
                gateway.reportLoad(silent.port)
                gateway.call("/once/", extraHeaders = "Left: 3000\r\n") shouldContain "504"
            }
        }
        describe("a stream whose endpoint is silent after its last event") {
            // Guards against aborting a response that its endpoint has completed.
            it("is complete when the endpoint ends the response") {
                val hasResumed = CountDownLatch(1)
                call(
                    "/stream/",
                    first = { socket ->
                        socket.send(CHUNKED_HEAD + chunkedEvents(1, 2))
                        hasResumed.awaitCall()
                        socket.send(LAST_CHUNK)
                    },
                    other = { _, socket ->
                        hasResumed.countDown()
                        socket.awaitClose()
                    }
                ).shouldBeCompleteWith(events = 2)
            }
            it("continues at the other endpoint when the end may be that of a crash") {
                val hasEnded = CountDownLatch(1)
                val hasResumed = CountDownLatch(1)
                call(
                    "/stream/",
                    first = { socket ->
                        socket.send("$EVENTS_HEAD\r\n" + event(1) + event(2))
                        hasResumed.awaitCall()
                        socket.close()
                        hasEnded.countDown()
                    },
                    other = { _, socket ->
                        hasResumed.countDown()
                        hasEnded.awaitCall()
                        Thread.sleep(SILENT_MILLIS)
                        socket.send(CHUNKED_HEAD + chunkedEvents(3) + LAST_CHUNK)
                    }
                ).shouldBeCompleteWith(events = 3)
            }
            it("continues at the other endpoint when the end is within an event") {
                val hasEnded = CountDownLatch(1)
                val hasResumed = CountDownLatch(1)
                call(
                    "/stream/",
                    first = { socket ->
                        socket.send(CHUNKED_HEAD + chunkedEvents(1) + chunk("id: 2\nda"))
                        hasResumed.awaitCall()
                        socket.send(LAST_CHUNK)
                        hasEnded.countDown()
                    },
                    other = { _, socket ->
                        hasResumed.countDown()
                        hasEnded.awaitCall()
                        Thread.sleep(SILENT_MILLIS)
                        socket.send(CHUNKED_HEAD + chunkedEvents(2) + LAST_CHUNK)
                    }
                ).shouldBeCompleteWith(events = 2)
            }
        }
        // Guards against dropping the silent endpoint before the other one has sent an event.
        describe("a stream that another endpoint begins to continue without an event") {
            it("continues at the silent endpoint when the other one breaks off") {
                val hasBrokenOff = CountDownLatch(1)
                call(
                    "/stream/",
                    first = { socket ->
                        socket.send(CHUNKED_HEAD + chunkedEvents(1, 2))
                        hasBrokenOff.awaitCall()
                        Thread.sleep(SILENT_MILLIS)
                        socket.send(chunkedEvents(3) + LAST_CHUNK)
                    },
                    other = { _, socket ->
                        socket.send(CHUNKED_HEAD)
                        socket.close()
                        hasBrokenOff.countDown()
                    }
                ).shouldBeCompleteWith(events = 3)
            }
            it("continues at the silent endpoint when the other one is silent too") {
                val hasBegun = CountDownLatch(1)
                call(
                    "/stream/",
                    first = { socket ->
                        socket.send(CHUNKED_HEAD + chunkedEvents(1, 2))
                        hasBegun.awaitCall()
                        Thread.sleep(SILENT_MILLIS)
                        socket.send(chunkedEvents(3) + LAST_CHUNK)
                    },
                    other = { _, socket ->
                        socket.send(CHUNKED_HEAD)
                        hasBegun.countDown()
                        socket.awaitClose()
                    }
                ).shouldBeCompleteWith(events = 3)
            }
            it("is complete when the other endpoint has nothing to add") {
                val toClose = CountDownLatch(1)
                call(
                    "/stream/",
                    first = { socket ->
                        socket.send(CHUNKED_HEAD + chunkedEvents(1, 2))
                        toClose.awaitCall()
                    },
                    other = { _, socket -> socket.send(CHUNKED_HEAD + LAST_CHUNK) }
                ).shouldBeCompleteWith(events = 2)
                toClose.countDown()
            }
        }
        // Guards against relaying what an endpoint sends that was left before its response began.
        describe("a stream that is left at a second endpoint before its response begins") {
            it("does not contain the refusal of that endpoint") {
                val hasMoved = CountDownLatch(1)
                val hasRefused = CountDownLatch(1)
                val starts = AtomicInteger()
                val endpoints = List(3) {
                    endpoint { request, socket ->
                        when (starts.incrementAndGet()) {
                            1 -> socket.send(CHUNKED_HEAD + chunkedEvents(1) + chunk("id: 2\nda"))
                            2 -> {
                                hasMoved.awaitCall()
                                runCatching {
                                    socket.respond(request, "garbage", "503 Full", "Not-Run: 1\r\n")
                                }
                                hasRefused.countDown()
                            }
                            else -> {
                                hasMoved.countDown()
                                hasRefused.awaitCall()
                                Thread.sleep(SILENT_MILLIS)
                                socket.send(CHUNKED_HEAD + chunkedEvents(2) + LAST_CHUNK)
                            }
                        }
                    }
                }
                val response = TestGateway(
                    endpoints.map { it.port },
                    targetMillis = TARGET_MILLIS,
                    endpointsMax = 3
                ).call("/stream/", extraHeaders = LEFT)
                response shouldNotContain "garbage"
                response.shouldBeCompleteWith(events = 2)
            }
        }
        // Guards against aborting a stream because requests like it are refused meanwhile.
        describe("a stream of a kind that crashes endpoints") {
            it("continues at its endpoint after a silence") {
                val areRefused = AtomicBoolean()
                val hasBegun = CountDownLatch(1)
                var gateway: TestGateway? = null
                val endpoints = List(4) {
                    endpoint { request, socket ->
                        when {
                            request.body == "long" -> {
                                var id = request.headers["last"]?.toInt() ?: 0
                                socket.send(CHUNKED_HEAD)
                                while (!areRefused.get() || id < 2) {
                                    socket.send(chunkedEvents(++id))
                                    if (id == 2) hasBegun.countDown()
                                    Thread.sleep(TARGET_MILLIS / 2)
                                }
                                Thread.sleep(2 * SILENT_MILLIS)
                                socket.send(chunk("id: 999\ndata: last\n\n") + LAST_CHUNK)
                            }
                            "deadly" in request.headers["parts"].orEmpty() ->
                                gateway?.onRestart(socket.localPort)
                            else -> socket.respondWithEvents(request, listOf(event(1)), true)
                        }
                    }
                }
                val running =
                    TestGateway(endpoints.map { it.port }, targetMillis = 3 * TARGET_MILLIS)
                gateway = running
                val deadly = "Parts: first,deadly\r\n"
                val long = CompletableFuture.supplyAsync {
                    running.call("/stream/", extraHeaders = deadly, body = "long")
                }
                hasBegun.awaitCall() shouldBe true
                repeat(2) { running.call("/stream/", extraHeaders = deadly, body = "deadly $it") }
                repeat(8) { running.call("/stream/", extraHeaders = "Parts: first,other\r\n") }
                running.call("/stream/", extraHeaders = deadly, body = "new") shouldContain "503"
                areRefused.set(true)
                val response = long.get()
                response shouldContain "data: last\n"
                response shouldEndWith LAST_CHUNK
            }
        }
        // Guards against losing a response that is buffered when its endpoint is silent.
        describe("a buffered response whose endpoint is silent within the body") {
            listOf("503 Full" to "Not-Run: 1\r\n", "500 Failed" to "Seal: s\r\n")
                .forEach { (status, headers) ->
                    it("is complete when the other endpoint responds with $status") {
                        val hasResponded = CountDownLatch(1)
                        val response = call(
                            "/idempotent/",
                            first = { socket ->
                                socket.send(BUFFERED_HEAD + "half")
                                hasResponded.awaitCall()
                                Thread.sleep(SILENT_MILLIS)
                                socket.send("rest")
                            },
                            other = { request, socket ->
                                socket.respond(request, "", status, headers)
                                hasResponded.countDown()
                            }
                        )
                        response shouldStartWith "HTTP/1.1 200"
                        response shouldEndWith "halfrest"
                    }
                }
            it("is replaced by that of the other endpoint") {
                val toClose = CountDownLatch(1)
                val response = call(
                    "/idempotent/",
                    first = { socket ->
                        socket.send(BUFFERED_HEAD + "half")
                        toClose.awaitCall()
                    },
                    other = { request, socket -> socket.respond(request, "whole") }
                )
                toClose.countDown()
                response shouldEndWith "whole"
                response shouldNotContain "half"
            }
        }
        // Guards against writing to a caller whose call ended when the silent attempt was dropped.
        describe("a stream whose other endpoint responds when memory is short") {
            it("gets one response") {
                val toClose = CountDownLatch(1)
                val isFirst = AtomicBoolean(true)
                val endpoints = List(2) {
                    endpoint { request, socket ->
                        when {
                            request.body == EARLIER ->
                                socket.respondWithEvents(request, listOf(event(1)), true)
                            isFirst.getAndSet(false) -> {
                                socket.send(CHUNKED_HEAD + chunk("id: 1\nda"))
                                toClose.awaitCall()
                            }
                            else -> {
                                socket.send(CHUNKED_HEAD)
                                Thread.sleep(TARGET_MILLIS)
                                val data = "~".repeat(LONG_EVENT_BYTES)
                                socket.send(chunk("id: 1\ndata: $data\n\n"))
                                toClose.awaitCall()
                            }
                        }
                    }
                }
                val gateway = TestGateway(
                    endpoints.map { it.port },
                    targetMillis = TARGET_MILLIS,
                    responseMemoryBytes = SHORT_MEMORY_BYTES
                )
                gateway.call("/stream/", extraHeaders = EARLIER_LEFT, body = EARLIER)
                val response = Socket("127.0.0.1", gateway.port).use { caller ->
                    caller.soTimeout = SILENT_MILLIS.toInt()
                    caller.send(
                        "POST /stream/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\n" +
                            "${LEFT}Content-Length: 0\r\n\r\n"
                    )
                    caller.readUntilSilent()
                }
                toClose.countDown()
                response.split("HTTP/1.1 ").size - 1 shouldBe 1
            }
        }
    })
