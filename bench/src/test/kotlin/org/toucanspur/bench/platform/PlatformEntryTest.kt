package org.toucanspur.bench.platform

import com.sun.net.httpserver.HttpServer
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.PrintStream
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.toucanspur.daemon.gateway.GatewayEntry
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.net.NettyEventLoop
import org.toucanspur.schema.AddressesSection
import org.toucanspur.schema.BoundsSection
import org.toucanspur.schema.DutiesSection
import org.toucanspur.schema.EngineSection
import org.toucanspur.schema.LimitsSection
import org.toucanspur.schema.NodeConfiguration
import org.toucanspur.schema.NodeRole
import org.toucanspur.schema.NodeSection
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.StoreSection
import org.toucanspur.schema.VmId
import org.toucanspur.schema.ZoneId
import org.toucanspur.standin.platform.ObjectStoreService

private val testTimeout = 30.seconds

// The range lies below the ephemeral ports: an outgoing connection could take a port there after it
// is chosen and before the entry binds it.
private const val FIRST_PORT = 20_000
private const val LAST_PORT = 32_000
private const val PORTS_PER_FIXTURE = 4

private const val GRACE_SECONDS = 5

// Later than the last moment at which a request that takes half a second can be served.
private const val LATE_MILLIS = 4000L

// Levels of nesting of an odd object.
private const val NESTED = 20_000
private val nextPortCandidate = AtomicInteger(FIRST_PORT)

/** Returns the first of [PORTS_PER_FIXTURE] consecutive free ports. */
private fun nextFreePorts(): Int {
    while (true) {
        val first = nextPortCandidate.getAndAdd(PORTS_PER_FIXTURE)
        check(first + PORTS_PER_FIXTURE <= LAST_PORT) {
            "no free ports; stop other runs of the tests"
        }
        if ((first until first + PORTS_PER_FIXTURE).all(::isFree)) return first
    }
}

private fun isFree(port: Int): Boolean = try {
    ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
    DatagramSocket(port, InetAddress.getLoopbackAddress()).close()
    true
} catch (_: IOException) {
    false
}

/** An HTTP endpoint that delays its responses until [responseLatch] is released. */
private class BlockingEndpoint : AutoCloseable {
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)
    val receivedPaths = CopyOnWriteArrayList<String>()
    val receivedDeadlines = CopyOnWriteArrayList<Long>()

    @Volatile
    var responseLatch = CountDownLatch(0)
    val port: Int get() = server.address.port

    init {
        server.executor = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
        server.createContext("/") { exchange ->
            exchange.use {
                receivedPaths += exchange.requestURI.path
                exchange.requestHeaders.getFirst("X-Deadline-Remaining")?.let {
                    receivedDeadlines += it.toLong()
                }
                responseLatch.await()
                exchange.responseHeaders.add("X-Response-Seal", "s")
                exchange.sendResponseHeaders(200, 4)
                exchange.responseBody.write("done".encodeToByteArray())
            }
        }
        server.start()
    }

    override fun close() = server.stop(0)
}

/** An entry with an object store and two endpoints. */
private class PlatformFixture(private val graceSeconds: Int = 60) : AutoCloseable {
    val store = ObjectStoreService()
    val endpointOne = BlockingEndpoint()
    val endpointTwo = BlockingEndpoint()
    private val callersPort = nextFreePorts()
    private val readinessPort = callersPort + 1

    // Peer datagrams use this port; metrics use the next one.
    private val peerPort = callersPort + 2
    val entry = GatewayEntry(
        settings(),
        NettyEventLoop(),
        DecisionLog(VmId("vm"), PrintStream(ByteArrayOutputStream()))
    )

    private fun settings() = NodeConfiguration(
        NodeSection(NodeRole.ENTRY, VmId("vm"), "127.0.0.1", ZoneId("z"), RegionId("r"), "z:r"),
        AddressesSection("127.0.0.1:$callersPort", "127.0.0.1:$readinessPort", peerPort),
        StoreSection(store.address, 1200),
        EngineSection("none", ServiceId("none")),
        LimitsSection(430, 4200, 1000.0),
        BoundsSection(2000, graceSeconds, 60_000, 5000, 2000, 3000, 8000, 0.2, 10, 100, 5, 120),
        DutiesSection("none", "none", 10, 3000, 300, 5, 0.05, 10)
    )

    fun putConfiguration(version: Int, service: String, keys: String = "\"k\"") = store.put(
        "config",
        "main",
        """{"version":$version,"routes":[{"name":"r1","host":"h","path-prefix":"/a/",
        "kind":"idempotent","timeout-ms":60000,"target-latency-ms":60000,"priority":1,
        "service":"$service","attempts":2},
        {"name":"r2","host":"h","path-prefix":"/once/","kind":"non_idempotent",
        "timeout-ms":60000,"target-latency-ms":60000,"priority":1,"service":"$service",
        "attempts":1}],
        "services":[{"name":"s1","connection-limit":10},{"name":"s2","connection-limit":10}],
        "tenants":[{"name":"t","api-keys":[$keys]}]}"""
    )

    fun putServer(name: String, service: String, port: Int, state: String = "ready") = store.put(
        "servers",
        name,
        """{"service":"$service","address":"127.0.0.1:$port","zone":"z","version":"v1",
        "slots":4,"state":"$state","cold-remaining-ms":0,"sequence":1,"born":1}"""
    )

    fun call(path: String = "/a/x", key: String = "k"): String =
        Socket("127.0.0.1", callersPort).use { socket ->
            socket.soTimeout = testTimeout.inWholeMilliseconds.toInt()
            socket.getOutputStream().write(
                (
                    "GET $path HTTP/1.1\r\nHost: h\r\nX-Attempt-Identifier: r1\r\n" +
                        "Authorization: Bearer $key\r\nConnection: close\r\n\r\n"
                    ).encodeToByteArray()
            )
            socket.getInputStream().readBytes().decodeToString()
        }

    fun open(): Socket = Socket("127.0.0.1", callersPort).apply {
        soTimeout = testTimeout.inWholeMilliseconds.toInt()
    }

    fun readiness(): String = Socket("127.0.0.1", readinessPort).use { socket ->
        socket.getOutputStream().write(
            "GET /v1/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".encodeToByteArray()
        )
        socket.getInputStream().readBytes().decodeToString().lineSequence().first()
    }

    override fun close() {
        store.close()
        endpointOne.close()
        endpointTwo.close()
    }
}

class PlatformEntryTest :
    DescribeSpec({
        lateinit var fixture: PlatformFixture
        beforeTest {
            fixture = PlatformFixture()
            fixture.entry.start()
        }
        afterTest { fixture.close() }
        describe("an entry") {
            it("becomes ready when it has a configuration and applies changes to it") {
                fixture.call() shouldContain "503"
                fixture.readiness() shouldContain "503"
                fixture.putConfiguration(3, "s1")
                fixture.putServer("e1", "s1", fixture.endpointOne.port)
                fixture.putServer("e2", "s2", fixture.endpointTwo.port)
                eventually(testTimeout) { fixture.readiness() shouldContain "200" }
                eventually(testTimeout) { fixture.call() shouldContain "done" }
                fixture.putConfiguration(4, "s2")
                eventually(testTimeout) {
                    fixture.call("/a/moved")
                    fixture.endpointTwo.receivedPaths shouldContain "/a/moved"
                }
            }
            it("ignores a configuration that is older than its current one") {
                fixture.putConfiguration(7, "s1")
                fixture.putServer("e1", "s1", fixture.endpointOne.port)
                eventually(testTimeout) { fixture.call() shouldContain "done" }
                fixture.putConfiguration(6, "s2", keys = "\"other\"")
                fixture.putConfiguration(8, "s1", keys = "\"k\",\"k2\"")
                eventually(testTimeout) { fixture.call(key = "k2") shouldContain "done" }
                fixture.call(key = "other") shouldContain "401"
            }
            it("sends no requests to a draining endpoint") {
                fixture.putConfiguration(1, "s1")
                fixture.putServer("e1", "s1", fixture.endpointOne.port)
                eventually(testTimeout) { fixture.call() shouldContain "done" }
                fixture.putServer("e1", "s1", fixture.endpointOne.port, state = "draining")
                fixture.putServer("e2", "s1", fixture.endpointTwo.port)
                eventually(testTimeout) {
                    fixture.call("/a/after")
                    fixture.endpointTwo.receivedPaths shouldContain "/a/after"
                }
                val receivedBefore = fixture.endpointOne.receivedPaths.size
                repeat(5) { fixture.call("/a/late") }
                fixture.endpointOne.receivedPaths.size shouldBe receivedBefore
            }
            it(
                "applies a change made while the store was down even when its history is compacted"
            ) {
                fixture.putConfiguration(1, "s1")
                fixture.putServer("e1", "s1", fixture.endpointOne.port)
                eventually(testTimeout) { fixture.call() shouldContain "done" }
                fixture.store.isDown = true
                fixture.putConfiguration(2, "s1", keys = "\"new\"")
                fixture.store.compact()
                fixture.store.isDown = false
                eventually(testTimeout) { fixture.call(key = "new") shouldContain "done" }
                fixture.call(key = "k") shouldContain "401"
            }
        }
        describe("an odd object among the endpoints") {
            val endpoint = """"service":"s1","address":"127.0.0.1:9","zone":"z","slots":4,""" +
                "\"state\":\"ready\""
            val deepArrays = "[".repeat(NESTED) + "]".repeat(NESTED)
            val deepObjects = "{\"a\":".repeat(NESTED) + "1" + "}".repeat(NESTED)
            mapOf(
                "has deeply nested arrays" to "{$endpoint,\"x\":$deepArrays}",
                "has deeply nested objects" to "{$endpoint,\"x\":$deepObjects}",
                "is nothing but nested arrays" to deepArrays,
                "has a number that is too large" to "{$endpoint,\"born\":${"9".repeat(400)}}",
                "has a port that is out of range" to "{${endpoint.replace(":9\"", ":99999\"")}}",
                "has no fields" to "{}",
                "is no object" to "\"ready\""
            ).forEach { (name, content) ->
                listOf(true, false).forEach { isListed ->
                    val moment = if (isListed) "before the entry lists them" else "later"
                    it("does not hide the others when it $name, stored $moment") {
                        if (isListed) fixture.store.put("servers", "e0", content)
                        fixture.putConfiguration(1, "s1")
                        if (!isListed) {
                            eventually(testTimeout) { fixture.readiness() shouldContain "200" }
                            fixture.store.put("servers", "e0", content)
                        }
                        fixture.putServer("e1", "s1", fixture.endpointOne.port)
                        eventually(testTimeout) { fixture.call() shouldContain "done" }
                        fixture.readiness() shouldContain "200"
                    }
                }
            }
        }
        describe("a graceful shutdown") {
            it("completes the running request and reports not ready at once") {
                fixture.putConfiguration(1, "s1")
                fixture.putServer("e1", "s1", fixture.endpointOne.port)
                eventually(testTimeout) { fixture.call() shouldContain "done" }
                fixture.endpointOne.responseLatch = CountDownLatch(1)
                coroutineScope {
                    val response = async(Dispatchers.IO) { fixture.call("/a/running") }
                    eventually(testTimeout) {
                        fixture.endpointOne.receivedPaths shouldContain
                            "/a/running"
                    }
                    val shutdown = async { fixture.entry.shutdown() }
                    eventually(testTimeout) { fixture.readiness() shouldContain "503" }
                    withContext(Dispatchers.IO) { fixture.endpointOne.responseLatch.countDown() }
                    response.await() shouldContain "done"
                    shutdown.await()
                }
            }
        }
        describe("a planned stop whose grace period is shorter than the requests") {
            val request = "GET /once/late HTTP/1.1\r\nHost: h\r\nX-Attempt-Identifier: r1\r\n" +
                "Authorization: Bearer k\r\n\r\n"

            suspend fun stopping(action: suspend PlatformFixture.() -> Unit) =
                PlatformFixture(GRACE_SECONDS).use { stopped ->
                    stopped.entry.start()
                    stopped.putConfiguration(1, "s1")
                    stopped.putServer("e1", "s1", stopped.endpointOne.port)
                    eventually(testTimeout) { stopped.call("/once/first") shouldContain "done" }
                    stopped.endpointOne.responseLatch = CountDownLatch(1)
                    stopped.action()
                    stopped.endpointOne.responseLatch.countDown()
                }

            fun Socket.send(text: String) = getOutputStream().write(text.encodeToByteArray())

            it("answers a once-only request that its endpoint still works on") {
                stopping {
                    coroutineScope {
                        val response = async(Dispatchers.IO) { call("/once/running") }
                        eventually(testTimeout) {
                            endpointOne.receivedPaths shouldContain "/once/running"
                        }
                        entry.shutdown()
                        response.await() shouldContain "HTTP/1.1 504"
                    }
                }
            }
            it("gives a request that comes meanwhile only the time that is left") {
                stopping {
                    coroutineScope {
                        val shutdown = async { entry.shutdown() }
                        eventually(testTimeout) { readiness() shouldContain "503" }
                        val response = async(Dispatchers.IO) { call("/once/meanwhile") }
                        shutdown.await()
                        response.await() shouldContain "HTTP/1.1 504"
                    }
                    endpointOne.receivedDeadlines.last() shouldBeLessThan GRACE_SECONDS * 1000L
                }
            }
            it("refuses a request that it reads too late, without running it") {
                stopping {
                    open().use { socket ->
                        socket.send(request + request.replace("/late", "/later"))
                        eventually(testTimeout) {
                            endpointOne.receivedPaths shouldContain "/once/late"
                        }
                        coroutineScope {
                            val shutdown = async { entry.shutdown() }
                            delay(LATE_MILLIS)
                            endpointOne.responseLatch.countDown()
                            val responses = withContext(Dispatchers.IO) {
                                socket.getInputStream().readBytes().decodeToString()
                            }
                            responses shouldContain "HTTP/1.1 200"
                            responses shouldContain "HTTP/1.1 503"
                            responses shouldContain "Retry-After"
                            shutdown.await()
                        }
                    }
                    endpointOne.receivedPaths.toList() shouldNotContain "/once/later"
                }
            }
            it("answers pipelined requests that it has read") {
                stopping {
                    open().use { socket ->
                        socket.send(request + request + request)
                        eventually(testTimeout) {
                            endpointOne.receivedPaths shouldContain "/once/late"
                        }
                        coroutineScope {
                            val shutdown = async { entry.shutdown() }
                            eventually(testTimeout) { readiness() shouldContain "503" }
                            endpointOne.responseLatch.countDown()
                            val responses = withContext(Dispatchers.IO) {
                                socket.getInputStream().readBytes().decodeToString()
                            }
                            responses.split("HTTP/1.1 200").size - 1 shouldBe 3
                            shutdown.await()
                        }
                    }
                }
            }
        }
    })
