package org.toucanspur.bench.platform

import com.sun.net.httpserver.HttpServer
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
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
import kotlinx.coroutines.withContext
import org.toucanspur.daemon.gateway.GatewayEntry
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.net.NettyEventLoop
import org.toucanspur.schema.AddressesSection
import org.toucanspur.schema.BoundsSection
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

private val patience = 30.seconds

// Below the ports that the system gives to outgoing connections, which would take a port between
// its choice and the entry's start.
private const val FIRST_PORT = 20_000
private const val LAST_PORT = 32_000
private const val PORTS_EACH = 4
private val nextPort = AtomicInteger(FIRST_PORT)

/** The first of [PORTS_EACH] ports that are free. */
private fun freePorts(): Int {
    while (true) {
        val first = nextPort.getAndAdd(PORTS_EACH)
        check(first + PORTS_EACH <= LAST_PORT) { "no free ports; end other runs of the tests" }
        if ((first until first + PORTS_EACH).all(::isFree)) return first
    }
}

private fun isFree(port: Int): Boolean = try {
    ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
    DatagramSocket(port, InetAddress.getLoopbackAddress()).close()
    true
} catch (_: IOException) {
    false
}

/** A plain endpoint that can hold its answers back. */
private class HoldingEndpoint : AutoCloseable {
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)
    val seen = CopyOnWriteArrayList<String>()

    @Volatile
    var gate = CountDownLatch(0)
    val port: Int get() = server.address.port

    init {
        server.executor = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
        server.createContext("/") { exchange ->
            exchange.use {
                seen += exchange.requestURI.path
                gate.await()
                exchange.responseHeaders.add("X-Response-Seal", "s")
                exchange.sendResponseHeaders(200, 4)
                exchange.responseBody.write("done".encodeToByteArray())
            }
        }
        server.start()
    }

    override fun close() = server.stop(0)
}

/** An entry before a store and two endpoints. */
private class PlatformFixture : AutoCloseable {
    val store = ObjectStoreService()
    val one = HoldingEndpoint()
    val two = HoldingEndpoint()
    private val callersPort = freePorts()
    private val readinessPort = callersPort + 1

    // Datagrams and, one above, metrics.
    private val peerPort = callersPort + 2
    val entry = GatewayEntry(
        settings(),
        NettyEventLoop(),
        DecisionLog(VmId("vm"), PrintStream(ByteArrayOutputStream()))
    )

    private fun settings() = NodeConfiguration(
        NodeSection(NodeRole.ENTRY, VmId("vm"), "127.0.0.1", ZoneId("z"), RegionId("r"), "z:r"),
        AddressesSection("127.0.0.1:$callersPort", "127.0.0.1:$readinessPort", peerPort),
        StoreSection(store.address),
        EngineSection("none", ServiceId("none")),
        LimitsSection(430, 4200, 1000.0),
        BoundsSection(2000, 60, 60_000, 5000, 8000, 0.2, 10, 100, 5, 120)
    )

    fun configure(version: Int, service: String, keys: String = "\"k\"") = store.put(
        "config",
        "main",
        """{"version":$version,"routes":[{"name":"r1","host":"h","path-prefix":"/a/",
        "kind":"idempotent","timeout-ms":60000,"target-latency-ms":60000,"priority":1,
        "service":"$service","attempts":2}],
        "services":[{"name":"s1","connection-limit":10},{"name":"s2","connection-limit":10}],
        "tenants":[{"name":"t","api-keys":[$keys]}]}"""
    )

    fun list(name: String, service: String, port: Int, state: String = "ready") = store.put(
        "servers",
        name,
        """{"service":"$service","address":"127.0.0.1:$port","zone":"z","version":"v1",
        "slots":4,"state":"$state","cold-remaining-ms":0,"sequence":1,"born":1}"""
    )

    fun call(path: String = "/a/x", key: String = "k"): String =
        Socket("127.0.0.1", callersPort).use { socket ->
            socket.soTimeout = patience.inWholeMilliseconds.toInt()
            socket.getOutputStream().write(
                (
                    "GET $path HTTP/1.1\r\nHost: h\r\nX-Attempt-Identifier: r1\r\n" +
                        "Authorization: Bearer $key\r\nConnection: close\r\n\r\n"
                    ).encodeToByteArray()
            )
            socket.getInputStream().readBytes().decodeToString()
        }

    fun readiness(): String = Socket("127.0.0.1", readinessPort).use { socket ->
        socket.getOutputStream().write(
            "GET /v1/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".encodeToByteArray()
        )
        socket.getInputStream().readBytes().decodeToString().lineSequence().first()
    }

    override fun close() {
        store.close()
        one.close()
        two.close()
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
            it("is ready and serves once it has a configuration, and follows changes of it") {
                fixture.call() shouldContain "503"
                fixture.readiness() shouldContain "503"
                fixture.configure(3, "s1")
                fixture.list("e1", "s1", fixture.one.port)
                fixture.list("e2", "s2", fixture.two.port)
                eventually(patience) { fixture.readiness() shouldContain "200" }
                eventually(patience) { fixture.call() shouldContain "done" }
                fixture.configure(4, "s2")
                eventually(patience) {
                    fixture.call("/a/moved")
                    fixture.two.seen shouldContain "/a/moved"
                }
            }
            it("keeps the newer configuration when an older one comes after it") {
                fixture.configure(7, "s1")
                fixture.list("e1", "s1", fixture.one.port)
                eventually(patience) { fixture.call() shouldContain "done" }
                fixture.configure(6, "s2", keys = "\"other\"")
                fixture.configure(8, "s1", keys = "\"k\",\"k2\"")
                eventually(patience) { fixture.call(key = "k2") shouldContain "done" }
                fixture.call(key = "other") shouldContain "401"
            }
            it("sends nothing to an endpoint that is draining") {
                fixture.configure(1, "s1")
                fixture.list("e1", "s1", fixture.one.port)
                eventually(patience) { fixture.call() shouldContain "done" }
                fixture.list("e1", "s1", fixture.one.port, state = "draining")
                fixture.list("e2", "s1", fixture.two.port)
                eventually(patience) {
                    fixture.call("/a/after")
                    fixture.two.seen shouldContain "/a/after"
                }
                val before = fixture.one.seen.size
                repeat(5) { fixture.call("/a/late") }
                fixture.one.seen.size shouldBe before
            }
            it("learns what changed while the store was down and its history was lost") {
                fixture.configure(1, "s1")
                fixture.list("e1", "s1", fixture.one.port)
                eventually(patience) { fixture.call() shouldContain "done" }
                fixture.store.isDown = true
                fixture.configure(2, "s1", keys = "\"new\"")
                fixture.store.compact()
                fixture.store.isDown = false
                eventually(patience) { fixture.call(key = "new") shouldContain "done" }
                fixture.call(key = "k") shouldContain "401"
            }
        }
        describe("a graceful shutdown") {
            it("ends the request that runs, and takes the entry out of rotation at once") {
                fixture.configure(1, "s1")
                fixture.list("e1", "s1", fixture.one.port)
                eventually(patience) { fixture.call() shouldContain "done" }
                fixture.one.gate = CountDownLatch(1)
                coroutineScope {
                    val running = async(Dispatchers.IO) { fixture.call("/a/running") }
                    eventually(patience) { fixture.one.seen shouldContain "/a/running" }
                    val stop = async { fixture.entry.shutdown() }
                    eventually(patience) { fixture.readiness() shouldContain "503" }
                    withContext(Dispatchers.IO) { fixture.one.gate.countDown() }
                    running.await() shouldContain "done"
                    stop.await()
                }
            }
        }
    })
