/*
 * Time-outs and limits of callers' connections, and changes to them while the connections are open.
 */
package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldContainOnlyOnce
import io.kotest.matchers.types.shouldBeInstanceOf
import java.io.IOException
import java.net.Socket
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.CallerLimits

private const val LONG_MILLIS = 15_000L
private const val SHORT_MILLIS = 200L

// Later than the first check for time-outs after the short one has passed.
private const val CHECKED_MILLIS = 1200L

// Lets the gateway read what was sent.
private const val READ_MILLIS = 100L

// Sent for longer than a response may remain unread.
private const val SENT_REQUESTS = 80
private const val BODY_BYTES = 120_000
private const val HEADER_BYTES = 16_384
private const val LARGE_HEADER_BYTES = 5000

private fun limits(
    headerMaxBytes: Int = HEADER_BYTES,
    bodyMaxBytes: Int = 1000,
    headerMillis: Long = LONG_MILLIS,
    idleMillis: Long = LONG_MILLIS
) = CallerLimits(headerMaxBytes, bodyMaxBytes, headerMillis, idleMillis)

private fun head(extraHeaders: String = "Content-Length: 0\r\n") =
    "POST /once/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\n$extraHeaders\r\n"

private fun connect(gateway: TestGateway) = Socket("127.0.0.1", gateway.port).apply {
    soTimeout = CALL_SECONDS * 1000
}

private fun Socket.readHead(): String {
    val head = StringBuilder()
    while (!head.endsWith("\r\n\r\n")) {
        val byte = getInputStream().read()
        if (byte < 0) break
        head.append(byte.toChar())
    }
    return head.toString()
}

/** Reads a complete response to [head] and returns its status line. */
private fun Socket.exchange(head: String = head()): String {
    send(head)
    return readResponse()
}

private fun Socket.readResponse(): String {
    val head = readHead()
    val length = head.substringAfter("content-length: ", "0").substringBefore("\r\n").toInt()
    getInputStream().readNBytes(length).size shouldBe length
    return head.substringBefore("\r\n")
}

/** Sends requests until the caller's socket accepts no more of their responses; returns how many. */
private fun Socket.fill(gateway: TestGateway, head: String = head()): Int {
    var requests = 0
    while (gateway.unsentBytes == 0L) {
        send(head)
        requests++
        gateway.events.next(EventCode.REQUEST_ANSWERED)
    }
    return requests
}

class CallerTimeoutTest :
    DescribeSpec({
        val opened = ScriptedEndpoints()
        afterTest { opened.closeAll() }

        fun gateway(limits: CallerLimits, body: String = "fine"): TestGateway {
            val endpoint = opened.open { request, socket -> socket.respond(request, body) }
            return TestGateway(listOf(endpoint.port), limits = limits)
        }
        describe("a response that its caller has not read") {
            // Guards against cutting off a response because of a shorter idle time-out.
            it("is complete although the idle time-out becomes shorter meanwhile") {
                val gateway = gateway(limits(), "~".repeat(BODY_BYTES))
                connect(gateway).use { caller ->
                    val requests = caller.fill(gateway)
                    gateway.setLimits(limits(idleMillis = SHORT_MILLIS))
                    Thread.sleep(CHECKED_MILLIS)
                    repeat(requests) { caller.readResponse() shouldBe "HTTP/1.1 200 OK" }
                }
                gateway.count("toucanspur.callers.cut") shouldBe 0
            }
            // Guards against taking the time in which a caller does not read for idle time.
            it("is complete although the idle time-out is shorter than its caller waits") {
                val short = limits(idleMillis = SHORT_MILLIS)
                val gateway = gateway(short, "~".repeat(BODY_BYTES))
                connect(gateway).use { caller ->
                    val requests = caller.fill(gateway)
                    Thread.sleep(CHECKED_MILLIS)
                    repeat(requests) { caller.readResponse() shouldBe "HTTP/1.1 200 OK" }
                }
                gateway.count("toucanspur.callers.cut") shouldBe 0
            }
            it("keeps the connection open only until its deadline and the idle time-out") {
                val gateway = gateway(limits(idleMillis = 2000), "~".repeat(BODY_BYTES))
                connect(gateway).use { caller ->
                    caller.fill(gateway, head("Left: 4000\r\nContent-Length: 0\r\n"))
                    val event = gateway.events.next(EventCode.CALLER_TIMED_OUT)
                    (event?.get("unsentBytes")?.jsonPrimitive?.long ?: 0).shouldBeGreaterThan(0)
                }
                gateway.count("toucanspur.callers.timed.out") shouldBe 1
                gateway.count("toucanspur.callers.cut") shouldBe 1
            }
            // Guards against keeping a connection for input that is discarded.
            it("does not keep the connection open because its caller still sends") {
                val gateway = gateway(limits(idleMillis = 1000), "~".repeat(BODY_BYTES))
                connect(gateway).use { caller ->
                    val left = "Left: 2000\r\nContent-Length: 0\r\n"
                    caller.fill(gateway, head(left))
                    caller.send(head("Connection: close\r\n$left"))
                    val isClosed = runCatching {
                        repeat(SENT_REQUESTS) {
                            caller.send(head())
                            Thread.sleep(READ_MILLIS)
                        }
                    }
                    isClosed.exceptionOrNull().shouldBeInstanceOf<IOException>()
                }
            }
        }
        describe("a connection that is idle") {
            // Guards against closing it while its caller may still use it.
            it("stays open as long as the time-out that its caller knows") {
                val gateway = gateway(limits())
                connect(gateway).use { caller ->
                    caller.exchange() shouldBe "HTTP/1.1 200 OK"
                    gateway.setLimits(limits(idleMillis = SHORT_MILLIS))
                    Thread.sleep(CHECKED_MILLIS)
                    caller.exchange() shouldBe "HTTP/1.1 200 OK"
                }
            }
            it("is closed and reported after the time-out") {
                val gateway = gateway(limits(idleMillis = SHORT_MILLIS))
                connect(gateway).use { it.awaitClose() }
                val event = gateway.events.next(EventCode.CALLER_TIMED_OUT)
                event?.get("reason")?.jsonPrimitive?.content shouldBe "idle"
                event?.get("unsentBytes")?.jsonPrimitive?.long shouldBe 0
                gateway.count("toucanspur.callers.timed.out") shouldBe 1
                gateway.count("toucanspur.callers.cut") shouldBe 0
            }
            // Guards against closing a connection whose request lies unread in the socket.
            it("stays open if a request has arrived while the event loop was held up") {
                val idleMillis = 2000L
                val gateway = gateway(limits(idleMillis = idleMillis))
                connect(gateway).use { caller ->
                    caller.exchange() shouldBe "HTTP/1.1 200 OK"
                    gateway.checkTimeouts {
                        caller.send(head())
                        Thread.sleep(idleMillis + 1)
                    }
                    caller.readResponse() shouldBe "HTTP/1.1 200 OK"
                }
            }
        }
        describe("a request that is received in part") {
            val partial = mapOf(
                "its head" to "POST /once/ HTTP/1.1\r\nHost: h\r\nId: ",
                "a line of its head" to "POST /once/ HTTP/1.1\r\nHost: h\r\n",
                "its body" to head("Content-Length: 5\r\n") + "he"
            )
            val rest = mapOf(
                "its head" to "r1\r\nKey: k\r\nContent-Length: 0\r\n\r\n",
                "a line of its head" to "Id: r1\r\nKey: k\r\nContent-Length: 0\r\n\r\n",
                "its body" to "llo"
            )
            partial.forEach { (part, begin) ->
                it("is judged by the time-out under which it began: $part") {
                    val gateway = gateway(limits())
                    connect(gateway).use { caller ->
                        caller.send(begin)
                        Thread.sleep(READ_MILLIS)
                        val short = limits(headerMillis = SHORT_MILLIS, idleMillis = SHORT_MILLIS)
                        gateway.setLimits(short)
                        Thread.sleep(CHECKED_MILLIS)
                        caller.exchange(rest.getValue(part)) shouldBe "HTTP/1.1 200 OK"
                    }
                }
                // Guards against closing the connection of a request without a response.
                it("gets 408 at its time-out: $part") {
                    val gateway = gateway(limits(headerMillis = SHORT_MILLIS))
                    connect(gateway).use { caller ->
                        caller.send(begin)
                        val response = caller.getInputStream().readBytes().decodeToString()
                        response shouldContainOnlyOnce "HTTP/1.1 408"
                        response.lowercase() shouldContain "connection: close"
                    }
                    val event = gateway.events.next(EventCode.CALLER_TIMED_OUT)
                    event?.get("reason")?.jsonPrimitive?.content shouldBe "request is incomplete"
                }
                it("is executed if its rest arrived while the event loop was held up: $part") {
                    val headerMillis = 2000L
                    val gateway = gateway(limits(headerMillis = headerMillis))
                    connect(gateway).use { caller ->
                        caller.exchange() shouldBe "HTTP/1.1 200 OK"
                        caller.send(begin)
                        Thread.sleep(READ_MILLIS)
                        gateway.checkTimeouts {
                            caller.send(rest.getValue(part))
                            Thread.sleep(headerMillis + 1)
                        }
                        caller.readResponse() shouldBe "HTTP/1.1 200 OK"
                    }
                }
            }
        }
        describe("a request under way while the size limits change") {
            it("is judged by the limit of bodies under which its head arrived") {
                val gateway = gateway(limits())
                connect(gateway).use { caller ->
                    caller.send(head("Content-Length: 5\r\nExpect: 100-continue\r\n"))
                    caller.readHead() shouldContain "HTTP/1.1 100"
                    gateway.setLimits(limits(bodyMaxBytes = 1))
                    caller.exchange("hello") shouldBe "HTTP/1.1 200 OK"
                }
            }
            // Guards against refusing on a kept connection what the configuration allows.
            it("is judged by a limit of headers that was raised on its open connection") {
                val gateway = gateway(limits(headerMaxBytes = LARGE_HEADER_BYTES / 2))
                connect(gateway).use { caller ->
                    caller.exchange() shouldBe "HTTP/1.1 200 OK"
                    gateway.setLimits(limits())
                    val header = "X-Large: ${"~".repeat(LARGE_HEADER_BYTES)}\r\n"
                    caller.exchange(head("${header}Content-Length: 0\r\n"))
                        .shouldBe("HTTP/1.1 200 OK")
                }
            }
        }
        describe("an internal error in a connection") {
            it("is reported with its cause") {
                val gateway = gateway(limits())
                connect(gateway).use { caller ->
                    caller.exchange() shouldBe "HTTP/1.1 200 OK"
                    // The decoder of the next request cannot be created.
                    gateway.setLimits(limits(headerMaxBytes = -1))
                    caller.send(head())
                    caller.awaitClose()
                }
                val event = gateway.events.next(EventCode.CALLER_FAILED)
                event?.get("cause")?.jsonPrimitive?.content.orEmpty() shouldContain
                    "IllegalArgumentException"
            }
        }
    })
