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
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import org.toucanspur.core.gateway.CallKind
import org.toucanspur.core.gateway.CallerLimits
import org.toucanspur.core.gateway.EndpointRecord
import org.toucanspur.core.gateway.Organisation
import org.toucanspur.core.gateway.RouteTarget
import org.toucanspur.core.gateway.TrafficConfiguration
import org.toucanspur.core.gateway.TrafficRoute
import org.toucanspur.core.gateway.TrafficService
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.net.NetLoop
import org.toucanspur.schema.AddressesSection
import org.toucanspur.schema.BoundsSection
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.EngineSection
import org.toucanspur.schema.LimitsSection
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
private val service = ServiceId("s")

private fun settings() = NodeConfiguration(
    NodeSection(NodeRole.ENTRY, VmId("vm"), "127.0.0.1", ZoneId("z"), RegionId("r"), "z:r"),
    AddressesSection("127.0.0.1:0", "127.0.0.1:0", 1),
    StoreSection("127.0.0.1:1"),
    EngineSection("none", ServiceId("none")),
    LimitsSection(430, 4200, 1000.0),
    BoundsSection(2000, 8, 60_000, 5000, 8000, 0.2, 10, 100, 5, 120)
)

private fun route(path: String, kind: CallKind, isResumable: Boolean = false) = TrafficRoute(
    name = path,
    host = "h",
    pathPrefix = path,
    kind = kind,
    targets = listOf(RouteTarget(service, 1)),
    timeoutMillis = CALL_SECONDS * 1000L,
    targetMillis = CALL_SECONDS * 1000L,
    eventGapTargetMillis = CALL_SECONDS * 1000L,
    priority = 0,
    endpointsMax = 2,
    isAnonymousAllowed = false,
    isResumable = isResumable,
    homeRegions = emptySet()
)

/** A gateway before scripted endpoints; the ports of [endpoints] are its fleet. */
private class Gateway(endpoints: List<Int>, isFresh: Boolean = true, isListed: Boolean = true) {
    private val loop = NetLoop()
    private val log = DecisionLog(VmId("vm"), PrintStream(ByteArrayOutputStream()))
    private val state = GatewayState(settings(), Random(1))
    val port: Int

    init {
        val ready = CountDownLatch(1)
        loop.executor.execute {
            state.configuration = configuration()
            if (isListed) state.listedKinds += ObjectKind.entries
            if (isFresh) state.proof.renew(systemClocks.now())
            endpoints.forEachIndexed { index, port -> state.fleet.put(record(index, port), 0) }
            ready.countDown()
        }
        ready.await()
        val metrics = GatewayMetrics(SimpleMeterRegistry())
        val dispatcher = CallDispatcher(loop, state, PlainCodec, log, metrics)
        val server = GatewayServer(loop, state, dispatcher, connectionsMax = 100)
        port = server.start(InetSocketAddress("127.0.0.1", 0)).port
    }

    private fun configuration() = TrafficConfiguration(
        1,
        listOf(
            route("/idempotent/", CallKind.IDEMPOTENT),
            route("/once/", CallKind.AT_MOST_ONCE),
            route("/stream/", CallKind.STREAM, isResumable = true)
        ),
        mapOf(service to TrafficService(service, "/health", 100, 0.0, null, emptyList(), null)),
        CallerLimits(16_384, 1000, 3000, 15_000),
        listOf(Organisation(OrganisationId("acme"), setOf("k"), null, emptySet()))
    )

    private fun record(index: Int, port: Int) = EndpointRecord(
        EndpointId("e$index"),
        service,
        "127.0.0.1",
        port,
        ZoneId("z"),
        RegionId("r"),
        slots = 8,
        isReady = true,
        coldRemainingMillis = 0,
        loadedVersions = emptyMap(),
        startedAtMillis = 0
    )

    /** Sends a request and returns all that comes back until the connection closes. */
    fun call(path: String, key: String = "k", extra: String = "", body: String = "hello"): String =
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = CALL_SECONDS * 1000
            socket.send(
                "POST $path HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: $key\r\n$extra" +
                    "Connection: close\r\nContent-Length: ${body.length}\r\n\r\n$body"
            )
            socket.getInputStream().readBytes().decodeToString()
        }
}

private fun event(id: Int) = "id: $id\ndata: token$id\n\n"

class GatewayTest :
    DescribeSpec({
        val open = mutableListOf<ScriptedEndpoint>()
        afterTest {
            open.forEach { it.close() }
            open.clear()
        }
        fun endpoint(script: (SeenRequest, Socket) -> Unit) =
            ScriptedEndpoint(script).also { open += it }

        fun closedPort() = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use {
            it.localPort
        }
        describe("a request") {
            it("reaches an endpoint unchanged, with the organisation in place of the key") {
                val one = endpoint { request, socket -> socket.answer(request, "fine") }
                val answer = Gateway(listOf(one.port)).call("/once/a?b=%20c", extra = "X-Y: z\r\n")
                answer shouldContain "HTTP/1.1 200 OK"
                answer shouldContain "Seal: s"
                answer shouldContain "fine"
                val seen = one.seen.single()
                seen.line shouldBe "POST /once/a?b=%20c HTTP/1.1"
                seen.body shouldBe "hello"
                seen.headers["organisation"] shouldBe "acme"
                seen.headers["x-y"] shouldBe "z"
                seen.headers["key"] shouldBe null
            }
            it("is refused with its reason when it has no route or no known key") {
                val gateway = Gateway(emptyList())
                gateway.call("/nowhere/") shouldContain "404"
                gateway.call("/once/", key = "x") shouldContain "401"
            }
            it("is refused unrun while keys cannot be checked") {
                val one = endpoint { request, socket -> socket.answer(request, "fine") }
                val answer = Gateway(listOf(one.port), isFresh = false).call("/once/")
                answer shouldContain "503"
                answer shouldContain "Retry-After"
                one.seen.shouldBeEmpty()
            }
            it("is refused unrun while named versions and evacuations are not known") {
                val one = endpoint { request, socket -> socket.answer(request, "fine") }
                Gateway(listOf(one.port), isListed = false).call("/once/") shouldContain "503"
                one.seen.shouldBeEmpty()
            }
            it("is rejected when its body is beyond the limit or its framing is ambiguous") {
                val gateway = Gateway(emptyList())
                gateway.call("/once/", body = "x".repeat(1001)) shouldContain "413"
                gateway.call("/once/", extra = "Transfer-Encoding: chunked\r\n") shouldContain "400"
            }
        }
        describe("a request that may run once") {
            it("is not sent again when its answer is lost, and is not said to be unrun") {
                val one = endpoint { _, _ -> }
                val two = endpoint { _, _ -> }
                val answer = Gateway(listOf(one.port, two.port)).call("/once/")
                answer shouldContain "502"
                one.seen.size + two.seen.size shouldBe 1
            }
            it("goes to another endpoint when the first takes no connection") {
                val two = endpoint { request, socket -> socket.answer(request, "fine") }
                repeat(4) {
                    Gateway(listOf(closedPort(), two.port)).call("/once/") shouldContain "fine"
                }
            }
            it("goes to another endpoint when the first says that it did not run it") {
                val full: (SeenRequest, Socket) -> Unit = { request, socket ->
                    socket.answer(request, "", "503 Full", "Not-Run: 1\r\n")
                }
                val one = endpoint(full)
                val two = endpoint(full)
                val answer = Gateway(listOf(one.port, two.port)).call("/once/")
                answer shouldContain "503"
                answer shouldContain "Retry-After"
                one.seen.size shouldBe 1
                two.seen.size shouldBe 1
            }
        }
        describe("a request that may be repeated") {
            it("gets a whole answer from another endpoint when the first one breaks off") {
                val one = endpoint { _, socket ->
                    socket.send("HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Le")
                }
                val two = endpoint { request, socket -> socket.answer(request, "whole") }
                repeat(4) {
                    Gateway(listOf(one.port, two.port)).call("/idempotent/") shouldContain "whole"
                }
            }
            it("does not get an answer without a seal, or one to another request") {
                val one = endpoint { request, socket ->
                    socket.answer(request, "forged", headers = "")
                }
                val two = endpoint { _, socket ->
                    socket.answer(SeenRequest("", mapOf("id" to "r2"), ""), "crossed")
                }
                val answer = Gateway(listOf(one.port, two.port)).call("/idempotent/")
                answer shouldContain "502"
                answer shouldNotContain "forged"
                answer shouldNotContain "crossed"
            }
            it("is sent to as many endpoints as its route allows") {
                val endpoints = List(4) { endpoint { _, _ -> } }
                Gateway(endpoints.map { it.port }).call("/idempotent/")
                endpoints.sumOf { it.seen.size } shouldBeLessThanOrEqual 2
            }
        }
        describe("a stream") {
            it("goes on after the last whole event at another endpoint, inside the same answer") {
                val events = (1..6).map(::event)
                val script: (SeenRequest, Socket) -> Unit = { request, socket ->
                    val last = request.headers["last"]?.toInt() ?: 0
                    if (last == 0) {
                        val cut = events.take(3) + events[3].take(7)
                        socket.stream(request, cut, isWhole = false)
                    } else {
                        socket.stream(request, events.drop(last), isWhole = true)
                    }
                }
                val answer = Gateway(List(2) { endpoint(script).port }).call("/stream/")
                (1..6).forEach { answer.split("data: token$it").size shouldBe 2 }
                answer.endsWith("0\r\n\r\n") shouldBe true
                answer.split("Seal:").size shouldBe 2
            }
            it("does not look complete when nobody can go on") {
                val script: (SeenRequest, Socket) -> Unit = { request, socket ->
                    socket.stream(request, listOf(event(1)), isWhole = false)
                }
                val answer = Gateway(listOf(endpoint(script).port)).call("/stream/")
                answer shouldContain "token1"
                answer.endsWith("0\r\n\r\n") shouldBe false
            }
            it("is broken off at the endpoint when its caller leaves") {
                val closed = CountDownLatch(1)
                val started = CountDownLatch(1)
                val one = endpoint { request, socket ->
                    socket.stream(request, listOf(event(1)), isWhole = false)
                    started.countDown()
                    while (socket.getInputStream().read() >= 0) continue
                    closed.countDown()
                }
                val gateway = Gateway(listOf(one.port))
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
        describe("a connection") {
            it("carries several requests, also when they come before the answers") {
                val one = endpoint { request, socket -> socket.answer(request, "fine") }
                val gateway = Gateway(listOf(one.port))
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
