package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import org.toucanspur.core.gateway.CallKind
import org.toucanspur.core.gateway.CallerLimits
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.core.gateway.EndpointRecord
import org.toucanspur.core.gateway.EngineTiming
import org.toucanspur.core.gateway.Organisation
import org.toucanspur.core.gateway.RouteTarget
import org.toucanspur.core.gateway.TrafficConfiguration
import org.toucanspur.core.gateway.TrafficRoute
import org.toucanspur.core.gateway.TrafficService
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.net.NettyEventLoop
import org.toucanspur.schema.AddressesSection
import org.toucanspur.schema.BoundsSection
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.EngineSection
import org.toucanspur.schema.LimitsSection
import org.toucanspur.schema.ModelId
import org.toucanspur.schema.NodeConfiguration
import org.toucanspur.schema.NodeRole
import org.toucanspur.schema.NodeSection
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.StoreSection
import org.toucanspur.schema.VmId
import org.toucanspur.schema.ZoneId

private const val CALL_SECONDS = 20
private const val VERSION_BOUND_MILLIS = 8000
private val service = ServiceId("s")
private val engineService = ServiceId("engine")
private val model = ModelId("m")
private val engine = EngineTiming(8, 1.0, 0.1, 0.0, 30_000.0, 6, 100, 50, 100_000)

private fun settings() = NodeConfiguration(
    NodeSection(NodeRole.ENTRY, VmId("vm"), "127.0.0.1", ZoneId("z"), RegionId("r"), "z:r"),
    AddressesSection("127.0.0.1:0", "127.0.0.1:0", 1),
    StoreSection("127.0.0.1:1"),
    EngineSection("none", ServiceId("none")),
    LimitsSection(430, 4200, 1000.0),
    BoundsSection(2000, 8, 60_000, 5000, VERSION_BOUND_MILLIS, 0.2, 10, 100, 5, 120)
)

private fun route(
    path: String,
    kind: CallKind,
    isResumable: Boolean = false,
    target: ServiceId = service
) = TrafficRoute(
    name = path,
    host = "h",
    pathPrefix = path,
    kind = kind,
    targets = listOf(RouteTarget(target, 1)),
    timeoutMillis = CALL_SECONDS * 1000L,
    targetMillis = CALL_SECONDS * 1000L,
    eventGapTargetMillis = CALL_SECONDS * 1000L,
    priority = 0,
    endpointsMax = 2,
    isAnonymousAllowed = false,
    isResumable = isResumable,
    homeRegions = emptySet()
)

/** A gateway in front of scripted endpoints on the ports [endpoints]. */
private class TestGateway(endpoints: List<Int>, isFresh: Boolean = true, isListed: Boolean = true) {
    private val loop = NettyEventLoop()
    private val log = DecisionLog(VmId("vm"), PrintStream(ByteArrayOutputStream()))
    private val state = GatewayState(settings(), Random(1))
    val port: Int

    init {
        val ready = CountDownLatch(1)
        loop.executor.execute {
            state.configuration = configuration()
            if (isListed) state.listedKinds += ObjectKind.entries
            if (isFresh) state.freshness.renew(systemClocks.now())
            endpoints.forEachIndexed { index, port -> state.fleet.put(record(index, port), 0) }
            ready.countDown()
        }
        ready.await()
        val metrics = GatewayMetrics(SimpleMeterRegistry())
        val dispatcher = CallDispatcher(loop, state, TestRequestCodec, log, metrics)
        val server = GatewayServer(loop, state, dispatcher, connectionsMax = 100)
        port = server.start(InetSocketAddress("127.0.0.1", 0)).port
    }

    private fun configuration() = TrafficConfiguration(
        1,
        listOf(
            route("/idempotent/", CallKind.IDEMPOTENT),
            route("/once/", CallKind.AT_MOST_ONCE),
            route("/stream/", CallKind.STREAM, isResumable = true),
            route("/engine/", CallKind.STREAM, isResumable = true, engineService)
        ),
        listOf(
            TrafficService(service, "/health", 100, 0.0, null, emptyList(), null),
            TrafficService(engineService, "/health", 100, 0.0, engine, emptyList(), null)
        ).associateBy { it.id },
        CallerLimits(16_384, 1000, 3000, 15_000),
        listOf(Organisation(OrganisationId("acme"), setOf("k"), null, emptySet()))
    )

    private fun record(
        index: Int,
        port: Int,
        recordService: ServiceId = service,
        versions: Map<ModelId, Long> = emptyMap()
    ) = EndpointRecord(
        EndpointId("e$index"),
        recordService,
        "127.0.0.1",
        port,
        ZoneId("z"),
        RegionId("r"),
        slots = 8,
        isReady = true,
        coldRemainingMillis = 0,
        loadedVersions = versions,
        startedAtMillis = 0
    )

    private fun onLoop(action: () -> Unit) = loop.executor.submit(action).get()

    /** Lists an engine on [port] that has loaded [version]. */
    fun addEngine(port: Int, version: Long) = onLoop {
        val versions = mapOf(model to version)
        state.fleet.put(record(port, port, engineService, versions), monotonicMillis())
    }

    /** Records that [version] was set as a target version [ageMillis] ago. */
    fun setTargetVersion(version: Long, ageMillis: Long) = onLoop {
        val now = systemClocks.now()
        val since = ClockReading(now.monotonicMillis - ageMillis, now.wallMillis - ageMillis)
        state.versions.onTargetVersion(model, version, since)
    }

    /** Sends a request for [model] and returns everything received until the connection closes. */
    fun callEngine(path: String = "/engine/"): String =
        call(path, extraHeaders = "Model: ${model.value}\r\n")

    /** Sends a request and returns everything received until the connection closes. */
    fun call(
        path: String,
        key: String = "k",
        extraHeaders: String = "",
        body: String = "hello"
    ): String = Socket("127.0.0.1", port).use { socket ->
        socket.soTimeout = CALL_SECONDS * 1000
        socket.send(
            "POST $path HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: $key\r\n$extraHeaders" +
                "Connection: close\r\nContent-Length: ${body.length}\r\n\r\n$body"
        )
        socket.getInputStream().readBytes().decodeToString()
    }
}

private fun event(id: Int) = "id: $id\ndata: token$id\n\n"

class GatewayTest :
    DescribeSpec({
        val openEndpoints = mutableListOf<ScriptedEndpoint>()
        afterTest {
            openEndpoints.forEach { it.close() }
            openEndpoints.clear()
        }
        fun endpoint(script: (ReceivedRequest, Socket) -> Unit) =
            ScriptedEndpoint(script).also { openEndpoints += it }

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
