package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.toucanspur.core.events.EventCode

private fun JsonObject?.long(field: String): Long? = this?.get(field)?.jsonPrimitive?.long

private fun Socket.refuseVersion(request: ReceivedRequest) =
    respond(request, "", "421 Misdirected Request", "Not-Run: 1\r\n")

// Together larger than the socket buffers between an endpoint and a caller.
private const val LARGE_EVENTS = 200

// Several times the silence after which a stream continues at another endpoint.
private const val SLOW_CALLER_MILLIS = 1500L

private fun event(id: Int) = "id: $id\ndata: token$id\n\n"

class GatewayTest :
    DescribeSpec({
        val opened = ScriptedEndpoints()
        afterTest { opened.closeAll() }
        fun endpoint(script: (ReceivedRequest, Socket) -> Unit) = opened.open(script)

        fun closedPort() = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use {
            it.localPort
        }
        describe("a request") {
            it("is forwarded unchanged, except that the organisation replaces the key") {
                val first = endpoint { request, socket -> socket.respond(request, "fine") }
                val response = TestGateway(listOf(first.port))
                    .call("/once/a?b=%20c", extraHeaders = "X-Y: z\r\n")
                response shouldContain "HTTP/1.1 200 OK"
                response shouldContain "Seal: s"
                response shouldContain "fine"
                val received = first.received.single()
                received.requestLine shouldBe "POST /once/a?b=%20c HTTP/1.1"
                received.body shouldBe "hello"
                received.headers["organisation"] shouldBe "acme"
                received.headers["x-y"] shouldBe "z"
                received.headers["key"] shouldBe null
            }
            it("is refused with 404 without a route and with 401 without a known key") {
                val gateway = TestGateway(emptyList())
                gateway.call("/nowhere/") shouldContain "404"
                gateway.call("/once/", key = "x") shouldContain "401"
            }
            // Guards against 404 and 401 for what a newer version of the configuration has.
            it("is refused with 503 without a route or key in an outdated configuration") {
                val first = endpoint { request, socket -> socket.respond(request, "fine") }
                val gateway = TestGateway(
                    listOf(first.port),
                    configurationAgeMillis = CONFIGURATION_BOUND_MILLIS + 1000L
                )
                listOf(gateway.call("/nowhere/"), gateway.call("/once/", key = "x")).forEach {
                    it shouldContain "503"
                    it shouldContain "Retry-After"
                }
                gateway.call("/once/") shouldContain "fine"
            }
            it("is refused without being executed while keys cannot be checked") {
                val first = endpoint { request, socket -> socket.respond(request, "fine") }
                val response = TestGateway(listOf(first.port), isFresh = false).call("/once/")
                response shouldContain "503"
                response shouldContain "Retry-After"
                first.received.shouldBeEmpty()
            }
            it(
                "is refused without being executed until target versions and evacuations are listed"
            ) {
                val first = endpoint { request, socket -> socket.respond(request, "fine") }
                TestGateway(listOf(first.port), isListed = false).call("/once/") shouldContain "503"
                first.received.shouldBeEmpty()
            }
            it("is rejected when its body exceeds the limit or its framing is ambiguous") {
                val gateway = TestGateway(emptyList())
                gateway.call("/once/", body = "x".repeat(1001)) shouldContain "413"
                gateway.call("/once/", extraHeaders = "Transfer-Encoding: chunked\r\n")
                    .shouldContain("400")
            }
        }
        // Guards against acting for the organisation of a key that was taken away.
        describe("a request on a route with anonymous access") {
            it("is refused without being executed while its key cannot be checked") {
                val first = endpoint { request, socket -> socket.respond(request, "fine") }
                val response = TestGateway(listOf(first.port), isFresh = false).call("/open/")
                response shouldContain "503"
                response shouldContain "Retry-After"
                first.received.shouldBeEmpty()
            }
            it("is executed without a key while keys cannot be checked") {
                val first = endpoint { request, socket -> socket.respond(request, "fine") }
                TestGateway(listOf(first.port), isFresh = false)
                    .call("/open/", key = null) shouldContain "fine"
                first.received.single().headers["organisation"] shouldBe null
            }
            it("is executed for no organisation when its key was taken away") {
                val first = endpoint { request, socket -> socket.respond(request, "fine") }
                val gateway = TestGateway(listOf(first.port))
                gateway.setKeys(emptySet())
                gateway.call("/open/") shouldContain "fine"
                first.received.single().headers["organisation"] shouldBe null
            }
        }
        describe("a request whose key is taken away after its admission") {
            it("is not sent to another endpoint when the first one did not execute it") {
                val toRefuse = CountDownLatch(1)
                val hasArrived = CountDownLatch(1)
                val refusing = { request: ReceivedRequest, socket: Socket ->
                    hasArrived.countDown()
                    toRefuse.await(CALL_SECONDS.toLong(), TimeUnit.SECONDS)
                    socket.respond(request, "", "503 Full", "Not-Run: 1\r\n")
                }
                val endpoints = List(2) { endpoint(refusing) }
                val gateway = TestGateway(endpoints.map { it.port })
                val response = CompletableFuture.supplyAsync { gateway.call("/once/") }
                hasArrived.await(CALL_SECONDS.toLong(), TimeUnit.SECONDS) shouldBe true
                gateway.setKeys(emptySet())
                toRefuse.countDown()
                response.get() shouldContain "401"
                endpoints.sumOf { it.received.size } shouldBe 1
            }
        }
        describe("an at-most-once request") {
            it("is not retried when its response is lost, and is not reported as not executed") {
                val first = endpoint { _, _ -> }
                val second = endpoint { _, _ -> }
                val response = TestGateway(listOf(first.port, second.port)).call("/once/")
                response shouldContain "502"
                first.received.size + second.received.size shouldBe 1
            }
            it("is sent to another endpoint when the first refuses the connection") {
                val second = endpoint { request, socket -> socket.respond(request, "fine") }
                repeat(4) {
                    TestGateway(listOf(closedPort(), second.port)).call("/once/") shouldContain
                        "fine"
                }
            }
            it("is sent to another endpoint when the first reports that it did not execute it") {
                val refusing: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                    socket.respond(request, "", "503 Full", "Not-Run: 1\r\n")
                }
                val first = endpoint(refusing)
                val second = endpoint(refusing)
                val response = TestGateway(listOf(first.port, second.port)).call("/once/")
                response shouldContain "503"
                response shouldContain "Retry-After"
                first.received.size shouldBe 1
                second.received.size shouldBe 1
            }
        }
        describe("an idempotent request") {
            it("is not reported as not executed when the queue has no room for its retry") {
                val first = endpoint { _, _ -> }
                val gateway = TestGateway(listOf(first.port), waitingMaxBytes = 0)
                gateway.call("/idempotent/") shouldContain "502"
                first.received.size shouldBe 1
            }
            it("receives a complete response from another endpoint when the first one breaks off") {
                val first = endpoint { _, socket ->
                    socket.send("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Le")
                }
                val second = endpoint { request, socket -> socket.respond(request, "whole") }
                repeat(4) {
                    TestGateway(listOf(first.port, second.port)).call("/idempotent/") shouldContain
                        "whole"
                }
            }
            it("does not receive a response without a seal or a response to another request") {
                val first = endpoint { request, socket ->
                    socket.respond(request, "forged", headers = "")
                }
                val second = endpoint { _, socket ->
                    socket.respond(ReceivedRequest("", mapOf("id" to "r2"), ""), "crossed")
                }
                val response = TestGateway(listOf(first.port, second.port)).call("/idempotent/")
                response shouldContain "502"
                response shouldNotContain "forged"
                response shouldNotContain "crossed"
            }
            it("is sent to at most as many endpoints as its route allows") {
                val endpoints = List(4) { endpoint { _, _ -> } }
                TestGateway(endpoints.map { it.port }).call("/idempotent/")
                endpoints.sumOf { it.received.size } shouldBeLessThanOrEqual 2
            }
        }
        describe("a stream") {
            it("resumes after the last complete event at another endpoint in the same response") {
                val events = (1..6).map(::event)
                val script: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                    val lastEventId = request.headers["last"]?.toInt() ?: 0
                    if (lastEventId == 0) {
                        val partialEvents = events.take(3) + events[3].take(7)
                        socket.respondWithEvents(request, partialEvents, isComplete = false)
                    } else {
                        socket.respondWithEvents(
                            request,
                            events.drop(lastEventId),
                            isComplete = true
                        )
                    }
                }
                val response = TestGateway(List(2) { endpoint(script).port }).call("/stream/")
                (1..6).forEach { response.split("data: token$it").size shouldBe 2 }
                response.endsWith("0\r\n\r\n") shouldBe true
                response.split("Seal:").size shouldBe 2
            }
            it("is not terminated as complete when no endpoint can resume it") {
                val script: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                    socket.respondWithEvents(request, listOf(event(1)), isComplete = false)
                }
                val response = TestGateway(listOf(endpoint(script).port)).call("/stream/")
                response shouldContain "token1"
                response.endsWith("0\r\n\r\n") shouldBe false
            }
            // Guards against ending a response because its endpoint was silent for a while.
            it("continues at a silent endpoint when no other one takes it over") {
                val hasRefused = CountDownLatch(1)
                val isFirst = AtomicBoolean(true)
                val endpoints = List(2) {
                    endpoint { request, socket ->
                        if (!isFirst.getAndSet(false)) {
                            socket.respond(request, "", "503 Full", "Not-Run: 1\r\n")
                            hasRefused.countDown()
                            return@endpoint
                        }
                        socket.send("HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n")
                        socket.send("Content-Type: text/event-stream\r\n\r\n")
                        socket.send(event(1) + event(2) + "id: 3\nda")
                        hasRefused.await(CALL_SECONDS.toLong(), TimeUnit.SECONDS)
                        socket.send("ta: token3\n\n" + event(4))
                    }
                }
                val response = TestGateway(endpoints.map { it.port }, targetMillis = 100)
                    .call("/stream/")
                endpoints.sumOf { it.received.size } shouldBe 2
                (1..4).forEach { response.split("data: token$it\n").size shouldBe 2 }
                response.endsWith("0\r\n\r\n") shouldBe true
            }
            it("continues at a silent endpoint that goes on while no other one has room") {
                val hasRefused = CountDownLatch(1)
                val isFirst = AtomicBoolean(true)
                val endpoints = List(2) {
                    endpoint { request, socket ->
                        if (!isFirst.getAndSet(false)) {
                            socket.respond(request, "", "503 Full", "Not-Run: 1\r\n")
                            hasRefused.countDown()
                            return@endpoint
                        }
                        socket.send("HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n")
                        socket.send("Content-Type: text/event-stream\r\n\r\n" + event(1))
                        hasRefused.await(CALL_SECONDS.toLong(), TimeUnit.SECONDS)
                        // Longer than a call waits for an endpoint that continues its stream.
                        Thread.sleep(2000)
                        socket.send(event(2))
                    }
                }
                val response = TestGateway(endpoints.map { it.port }, targetMillis = 100)
                    .call("/stream/")
                (1..2).forEach { response.split("data: token$it\n").size shouldBe 2 }
                response.endsWith("0\r\n\r\n") shouldBe true
            }
            it("continues at another endpoint when it takes over from a silent one") {
                val toClose = CountDownLatch(1)
                val isFirst = AtomicBoolean(true)
                val endpoints = List(2) {
                    endpoint { request, socket ->
                        socket.send("HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n")
                        socket.send("Content-Type: text/event-stream\r\n\r\n")
                        if (isFirst.getAndSet(false)) {
                            socket.send(event(1) + event(2))
                            toClose.await(CALL_SECONDS.toLong(), TimeUnit.SECONDS)
                        } else {
                            request.headers["last"] shouldBe "2"
                            socket.send(event(3) + event(4))
                        }
                    }
                }
                val response = TestGateway(endpoints.map { it.port }, targetMillis = 100)
                    .call("/stream/")
                toClose.countDown()
                (1..4).forEach { response.split("data: token$it\n").size shouldBe 2 }
                response.endsWith("0\r\n\r\n") shouldBe true
            }
            it("continues at another endpoint when the silent one ends within an event") {
                val hasTakenOver = CountDownLatch(1)
                val hasEnded = CountDownLatch(1)
                val isFirst = AtomicBoolean(true)
                val endpoints = List(2) {
                    endpoint { _, socket ->
                        val head = "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n" +
                            "Content-Type: text/event-stream\r\n\r\n"
                        if (isFirst.getAndSet(false)) {
                            socket.send(head + event(1) + "id: 2\nda")
                            hasTakenOver.await(CALL_SECONDS.toLong(), TimeUnit.SECONDS)
                            socket.close()
                            hasEnded.countDown()
                        } else {
                            hasTakenOver.countDown()
                            hasEnded.await(CALL_SECONDS.toLong(), TimeUnit.SECONDS)
                            Thread.sleep(100)
                            socket.send(head + event(2) + event(3))
                        }
                    }
                }
                val response = TestGateway(endpoints.map { it.port }, targetMillis = 100)
                    .call("/stream/")
                (1..3).forEach { response.split("data: token$it\n").size shouldBe 2 }
                response.endsWith("0\r\n\r\n") shouldBe true
            }
            // Guards against taking a caller that reads slowly for a silent endpoint.
            it("stays at its endpoint while its caller does not read") {
                val filled = CountDownLatch(1)
                val large = "id: 1\ndata: ${"~".repeat(100_000)}\n\n"
                val endpoints = List(2) {
                    endpoint { _, socket ->
                        socket.send("HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n")
                        socket.send("Content-Type: text/event-stream\r\n\r\n")
                        repeat(LARGE_EVENTS) {
                            socket.send(large)
                            if (it == 0) filled.countDown()
                        }
                    }
                }
                val gateway = TestGateway(endpoints.map { it.port }, targetMillis = 100)
                Socket("127.0.0.1", gateway.port).use { caller ->
                    caller.soTimeout = CALL_SECONDS * 1000
                    caller.send(
                        "POST /stream/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\n" +
                            "Connection: close\r\nContent-Length: 0\r\n\r\n"
                    )
                    filled.await(CALL_SECONDS.toLong(), TimeUnit.SECONDS) shouldBe true
                    Thread.sleep(SLOW_CALLER_MILLIS)
                    endpoints.sumOf { it.received.size } shouldBe 1
                    val response = caller.getInputStream().readBytes()
                    response.decodeToString().split("id: 1\n").size shouldBe LARGE_EVENTS + 1
                }
            }
            it("is cancelled at the endpoint when its caller disconnects") {
                val closed = CountDownLatch(1)
                val started = CountDownLatch(1)
                val first = endpoint { request, socket ->
                    socket.respondWithEvents(request, listOf(event(1)), isComplete = false)
                    started.countDown()
                    socket.awaitClose()
                    closed.countDown()
                }
                val gateway = TestGateway(listOf(first.port))
                Socket("127.0.0.1", gateway.port).use { caller ->
                    caller.send(
                        "POST /stream/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\n" +
                            "Content-Length: 0\r\n\r\n"
                    )
                    started.await(CALL_SECONDS.toLong(), TimeUnit.SECONDS) shouldBe true
                }
                closed.await(CALL_SECONDS.toLong(), TimeUnit.SECONDS) shouldBe true
            }
        }
        describe("a request for a model with target versions") {
            it("is accepted by an endpoint that has loaded a newer version than the required one") {
                val first = endpoint { request, socket ->
                    if (request.headers["version"] == "3") {
                        socket.respondWithEvents(request, listOf(event(1)), isComplete = true)
                    } else {
                        socket.refuseVersion(request)
                    }
                }
                val gateway = TestGateway(emptyList())
                gateway.setTargetVersion(2, VERSION_BOUND_MILLIS.toLong())
                gateway.setTargetVersion(3, ageMillis = 0)
                gateway.addEngine(first.port, version = 3)
                gateway.callEngine() shouldContain "token1"
            }
            it("is accepted by an endpoint that refused an earlier request for its version") {
                val hasRefused = AtomicBoolean()
                val refusingOnce: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                    if (hasRefused.compareAndSet(false, true)) {
                        socket.refuseVersion(request)
                    } else {
                        socket.respondWithEvents(request, listOf(event(1)), isComplete = true)
                    }
                }
                val endpoints = List(2) { endpoint(refusingOnce) }
                val gateway = TestGateway(emptyList())
                gateway.setTargetVersion(2, VERSION_BOUND_MILLIS.toLong())
                endpoints.forEach { gateway.addEngine(it.port, version = 2) }
                val first = gateway.callEngine()
                first shouldContain "token1"
                // The other endpoint can no longer be reached.
                endpoints.single { first.contains("Seal: ${it.port}") }.close()
                gateway.callEngine() shouldContain "token1"
            }
            it("does not start on an older version after the bound while it is queued there") {
                val isQueued = CountDownLatch(1)
                val hasMoved = CountDownLatch(1)
                val older = endpoint { request, socket ->
                    if ("/begun" in request.requestLine) {
                        socket.respondWithEvents(request, listOf(event(1)), isComplete = false)
                        hasMoved.await(CALL_SECONDS.toLong(), TimeUnit.SECONDS)
                        socket.send("${event(2).length.toString(16)}\r\n${event(2)}\r\n0\r\n\r\n")
                    } else {
                        isQueued.countDown()
                        socket.awaitClose()
                    }
                }
                val newer = endpoint { request, socket ->
                    hasMoved.countDown()
                    socket.respondWithEvents(request, listOf(event(1)), isComplete = true)
                }
                val gateway = TestGateway(emptyList())
                gateway.setTargetVersion(2, ageMillis = VERSION_BOUND_MILLIS - 3000L)
                gateway.addEngine(older.port, version = 1)
                val begun = CompletableFuture.supplyAsync { gateway.callEngine("/engine/begun") }
                val queued = CompletableFuture.supplyAsync { gateway.callEngine("/engine/queued") }
                isQueued.await(CALL_SECONDS.toLong(), TimeUnit.SECONDS) shouldBe true
                gateway.addEngine(newer.port, version = 2)
                queued.get() shouldContain "token1"
                // A stream that has begun is not moved.
                begun.get() shouldContain "token2"
                newer.received.size shouldBe 1
            }
        }
        describe("a request for a model with a pending target version") {
            it("is logged with the version believed loaded, the lowest allowed and the newest") {
                val first = endpoint { request, socket -> socket.respond(request, "fine") }
                val gateway = TestGateway(listOf(first.port))
                gateway.setTargetVersion(version = 3, ageMillis = 60_000)
                gateway.setTargetVersion(version = 4, ageMillis = 1000)
                gateway.call("/once/", extraHeaders = "Model: m\r\n") shouldContain "fine"
                val event = gateway.events.next(EventCode.REQUEST_DISPATCHED)
                event.long("loadedVersion") shouldBe 3
                event.long("versionMin") shouldBe 3
                event.long("newestVersion") shouldBe 4
                event.long("newestAgeMillis").shouldNotBeNull() shouldBeGreaterThanOrEqual 1000
            }
        }
        describe("the weight version on which a response began") {
            val versions = "Seal: s\r\nVersion: 2\r\n"
            it("is logged when the response is complete") {
                val first = endpoint { request, socket ->
                    socket.respond(request, "fine", headers = versions)
                }
                val gateway = TestGateway(listOf(first.port))
                gateway.call("/once/", extraHeaders = "Model: m\r\n") shouldContain "fine"
                gateway.events.next(EventCode.REQUEST_ANSWERED).long("weights") shouldBe 2
                gateway.outdatedCount shouldBe 0
            }
            it("is logged and counted if it is older than the one required when it was sent") {
                val first = endpoint { request, socket ->
                    socket.respond(request, "fine", headers = versions)
                }
                val gateway = TestGateway(listOf(first.port))
                gateway.setTargetVersion(version = 3, ageMillis = 60_000)
                gateway.call("/once/", extraHeaders = "Model: m\r\n") shouldContain "fine"
                val event = gateway.events.next(EventCode.RESPONSE_OUTDATED)
                event.long("version") shouldBe 2
                event.long("versionMin") shouldBe 3
                event.long("versionMinWhenSent") shouldBe 3
                event.long("ageMillis").shouldNotBeNull() shouldBeGreaterThanOrEqual 60_000
                gateway.outdatedCount shouldBe 1
            }
            it("is logged and counted if a newer one became required after it was sent") {
                val (toStart, toFinish) = List(2) { CountDownLatch(1) }
                val first = endpoint { request, socket ->
                    toStart.countDown()
                    toFinish.await(CALL_SECONDS.toLong(), TimeUnit.SECONDS)
                    socket.respond(request, "fine", headers = versions)
                }
                val gateway = TestGateway(listOf(first.port))
                val caller = thread { gateway.call("/once/", extraHeaders = "Model: m\r\n") }
                toStart.await(CALL_SECONDS.toLong(), TimeUnit.SECONDS) shouldBe true
                gateway.setTargetVersion(version = 3, ageMillis = 60_000)
                toFinish.countDown()
                caller.join()
                val event = gateway.events.next(EventCode.RESPONSE_OUTDATED)
                event.long("versionMin") shouldBe 3
                event.long("versionMinWhenSent") shouldBe 0
                gateway.outdatedCount shouldBe 1
            }
        }
        describe("requests with a part that crashes endpoints") {
            var gateway: TestGateway? = null
            val crashes = AtomicInteger()
            val deadly = "Parts: first,deadly\r\n"
            val sound = "Parts: first,other\r\n"
            val script: (ReceivedRequest, Socket) -> Unit = { request, socket ->
                if (request.headers["parts"].orEmpty().contains("deadly")) {
                    crashes.incrementAndGet()
                    gateway?.onRestart(socket.localPort)
                } else {
                    val events = (1..3).map(::event)
                    socket.respondWithEvents(request, events, isComplete = true)
                }
            }
            fun crashThrice(): TestGateway {
                crashes.set(0)
                val created = TestGateway(List(4) { endpoint(script).port })
                gateway = created
                repeat(2) {
                    created.call("/stream/", extraHeaders = deadly, body = "deadly $it")
                }
                repeat(8) { created.call("/stream/", extraHeaders = sound) shouldContain "token3" }
                repeat(3) { created.events.next(EventCode.ENDPOINT_CRASHED).shouldNotBeNull() }
                return created
            }
            it("are refused without being executed after three crashes, others are served") {
                val created = crashThrice()
                val before = crashes.get()
                repeat(5) {
                    val refused = created.call("/stream/", extraHeaders = deadly, body = "new $it")
                    refused shouldContain "503"
                    refused shouldContain "Retry-After"
                }
                crashes.get() shouldBe before
                created.call("/stream/", extraHeaders = sound) shouldContain "token3"
            }
            it("are refused after three crashes by the same at-most-once request") {
                val executed = AtomicInteger()
                var created: TestGateway? = null
                val endpoints = List(4) {
                    endpoint { request, socket ->
                        if (request.body == "same") {
                            executed.incrementAndGet()
                            created?.onRestart(socket.localPort)
                        } else {
                            socket.respond(request, "fine")
                        }
                    }
                }
                val running = TestGateway(endpoints.map { it.port })
                created = running
                repeat(3) { running.call("/once/", body = "same") shouldContain "502" }
                repeat(8) { running.call("/once/", body = "other") shouldContain "fine" }
                repeat(3) { running.events.next(EventCode.ENDPOINT_CRASHED).shouldNotBeNull() }
                repeat(3) { running.call("/once/", body = "same") shouldContain "503" }
                executed.get() shouldBe 3
            }
            it("are not cleared by a server error of an endpoint that did not go down") {
                val attempts = AtomicInteger()
                var created: TestGateway? = null
                val endpoints = List(4) {
                    endpoint { request, socket ->
                        when {
                            request.body != "same" -> socket.respond(request, "fine")
                            attempts.incrementAndGet() == 3 ->
                                socket.respond(request, "failed", "500 Internal Server Error")
                            else -> created?.onRestart(socket.localPort)
                        }
                    }
                }
                val running = TestGateway(endpoints.map { it.port })
                created = running
                repeat(2) { running.call("/once/", body = "same") shouldContain "502" }
                running.call("/once/", body = "same") shouldContain "500"
                running.call("/once/", body = "same") shouldContain "502"
                repeat(8) { running.call("/once/", body = "other") shouldContain "fine" }
                repeat(3) { running.events.next(EventCode.ENDPOINT_CRASHED).shouldNotBeNull() }
                running.call("/once/", body = "same") shouldContain "503"
            }
            it("are served when connections are lost but no endpoint went down") {
                val endpoints = List(4) {
                    endpoint { request, socket ->
                        if (request.body != "lost") socket.respond(request, "fine")
                    }
                }
                val running = TestGateway(endpoints.map { it.port })
                repeat(6) { running.call("/once/", body = "lost") shouldContain "502" }
                repeat(8) { running.call("/once/", body = "other") shouldContain "fine" }
                running.call("/once/", body = "lost") shouldContain "502"
            }
        }
        describe("a connection") {
            it("serves pipelined requests") {
                val first = endpoint { request, socket -> socket.respond(request, "fine") }
                val gateway = TestGateway(listOf(first.port))
                val request = "GET /idempotent/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: k\r\n"
                Socket("127.0.0.1", gateway.port).use { caller ->
                    caller.soTimeout = CALL_SECONDS * 1000
                    caller.send("$request\r\n$request\r\n${request}Connection: close\r\n\r\n")
                    val text = caller.getInputStream().readBytes().decodeToString()
                    text.split("fine").size shouldBe 4
                }
            }
        }
    })
