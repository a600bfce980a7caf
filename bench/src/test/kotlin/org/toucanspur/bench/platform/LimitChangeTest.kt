/*
 * Connections of callers at an entry process while a configuration shortens its time-outs and the
 * process is paused.
 */
package org.toucanspur.bench.platform

import com.sun.net.httpserver.HttpServer
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import java.net.InetSocketAddress
import java.net.Socket
import java.nio.file.Path
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds
import org.toucanspur.bench.soak.SoakProcess
import org.toucanspur.standin.platform.ObjectStoreService

private const val CALLERS_PORT = 17_731
private const val BODY_BYTES = 120_000

// Longer than the test takes.
private const val LONG_MILLIS = 60_000L
private const val SHORT_MILLIS = 200L

// Longer than the short time-outs and the interval at which they are checked.
private const val PAUSE_MILLIS = 2000L
private const val SLOW_READ_MILLIS = 20L
private val testTimeout = 30.seconds

/** An endpoint with large responses. */
private class LargeEndpoint : AutoCloseable {
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)
    private val executor = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    val completed = AtomicInteger()
    val address = "127.0.0.1:${server.address.port}"

    init {
        server.executor = executor
        server.createContext("/") { exchange ->
            exchange.use {
                it.requestBody.readAllBytes()
                it.responseHeaders.add("X-Response-Seal", "s")
                it.sendResponseHeaders(200, BODY_BYTES.toLong())
                it.responseBody.write(ByteArray(BODY_BYTES))
            }
            completed.incrementAndGet()
        }
        server.start()
    }

    override fun close() {
        server.stop(0)
        executor.shutdownNow()
    }
}

/** An entry process with one endpoint. */
private class LimitChangeFixture : AutoCloseable {
    private val host = "127.21.0.${Math.floorMod(ProcessHandle.current().pid(), HOSTS) + 1}"
    private val store = ObjectStoreService()
    private val endpoint = LargeEndpoint()
    private val process = SoakProcess(
        "entry",
        Path.of("target", "limit-change"),
        "[node]\nrole = entry\nvm = entry\nhost = $host\nzone = z\nregion = r\n" +
            "zone-regions = z:r\n[addresses]\ncallers = $host:$CALLERS_PORT\n" +
            "readiness = $host:${CALLERS_PORT + 1}\npeer-port = ${CALLERS_PORT + 2}\n" +
            "[store]\naddress = ${store.address}\n[bounds]\ndrain-millis = 2000\n" +
            "grace-seconds = 8\nrevocation-millis = 60000\nevacuation-millis = 5000\n" +
            "version-millis = 8000\nretry-budget-ratio = 0.2\n" +
            "retry-budget-window-seconds = 10\nretry-budget-allowance = 40\n"
    )

    fun start() {
        store.put(
            "servers",
            "e1",
            """{"service":"s","address":"${endpoint.address}","zone":"z","version":"v1",
            "slots":1000,"state":"ready","cold-remaining-ms":0,"sequence":1,"born":1}"""
        )
        process.start()
    }

    /** Sets the time-outs of callers to [millis]; the configuration has a route for its version. */
    fun setTimeouts(version: Int, millis: Long) = store.put(
        "config",
        "main",
        """{"version":$version,"routes":[${route("/a/")},${route("/v$version/")}],
        "services":[{"name":"s","connection-limit":1000}],"tenants":[],
        "limits":{"max-header-bytes":16384,"max-body-bytes":1000000,
        "header-timeout-ms":$millis,"idle-timeout-ms":$millis}}"""
    )

    private fun route(path: String) =
        """{"name":"$path","host":"h","path-prefix":"$path","kind":"idempotent",
        "timeout-ms":$LONG_MILLIS,"target-latency-ms":$LONG_MILLIS,"priority":1,
        "service":"s","attempts":1}"""

    fun connect() = Socket().apply {
        soTimeout = testTimeout.inWholeMilliseconds.toInt()
        connect(InetSocketAddress(host, CALLERS_PORT))
    }

    /** Waits until the configuration with [version] is in force. */
    suspend fun awaitVersion(version: Int) = eventually(testTimeout) {
        connect().use { it.exchange(head("/v$version/")) shouldBe "HTTP/1.1 200 OK" }
    }

    /** Sends requests until [caller] accepts no more of their responses; returns how many. */
    suspend fun fill(caller: Socket): Int {
        var requests = 0
        do {
            val before = endpoint.completed.get()
            caller.send(head("/a/"))
            requests++
            eventually(testTimeout) {
                endpoint.completed.get() shouldBe before + 1
                metric("toucanspur_requests_active") shouldBe 0.0
            }
        } while (metric("toucanspur_callers_unsent_bytes") == 0.0)
        return requests
    }

    fun metric(name: String): Double = Socket(host, CALLERS_PORT + 3).use { socket ->
        socket.send("GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        val text = socket.getInputStream().readBytes().decodeToString()
        text.lineSequence().first { it.startsWith("$name ") }.substringAfter(' ').toDouble()
    }

    fun signal(name: String) = process.signal(name)

    override fun close() {
        process.signal("KILL")
        endpoint.close()
        store.close()
    }

    private companion object {
        const val HOSTS = 250
    }
}

private fun head(path: String, bodyBytes: Int = 0) =
    "POST ${path}x HTTP/1.1\r\nHost: h\r\nX-Attempt-Identifier: r1\r\n" +
        "Content-Length: $bodyBytes\r\n\r\n"

private fun Socket.send(text: String) {
    getOutputStream().write(text.encodeToByteArray())
    getOutputStream().flush()
}

private fun Socket.exchange(text: String): String {
    send(text)
    return readResponse()
}

/** Reads a response, with [pauseMillis] between its parts, and returns its status line. */
private fun Socket.readResponse(pauseMillis: Long = 0): String {
    val input = getInputStream()
    val head = StringBuilder()
    while (!head.endsWith("\r\n\r\n")) {
        val byte = input.read()
        if (byte < 0) return head.toString()
        head.append(byte.toChar())
    }
    val length = head.toString().substringAfter("content-length: ", "0").substringBefore("\r\n")
    val part = 16_384
    (0 until length.toInt() step part).forEach { begin ->
        val bytes = minOf(part, length.toInt() - begin)
        input.readNBytes(bytes).size shouldBe bytes
        Thread.sleep(pauseMillis)
    }
    return head.toString().substringBefore("\r\n")
}

class LimitChangeTest :
    DescribeSpec({
        // Guards against ending connections because a configuration shortens the time-outs.
        describe("an entry that is paused while its time-outs become shorter") {
            it("answers each request on connections that began under the longer ones") {
                LimitChangeFixture().use { fixture ->
                    fixture.start()
                    fixture.setTimeouts(version = 1, LONG_MILLIS)
                    eventually(testTimeout) { fixture.connect().close() }
                    fixture.awaitVersion(1)
                    val callers = List(5) { fixture.connect() }
                    val (slow, idle, pausedIdle, partialHead, partialBody) = callers
                    listOf(idle, pausedIdle).forEach {
                        it.exchange(head("/a/")) shouldBe "HTTP/1.1 200 OK"
                    }
                    partialHead.send(head("/a/").dropLast(10))
                    partialBody.send(head("/a/", 5) + "he")
                    val requests = fixture.fill(slow)
                    fixture.setTimeouts(version = 2, SHORT_MILLIS)
                    fixture.awaitVersion(2)
                    Thread.sleep(PAUSE_MILLIS)
                    fixture.metric("toucanspur_callers_unsent_bytes") shouldBeGreaterThan 0.0
                    fixture.signal("STOP")
                    pausedIdle.send(head("/a/"))
                    partialHead.send(head("/a/").takeLast(10))
                    partialBody.send("llo")
                    Thread.sleep(PAUSE_MILLIS)
                    fixture.signal("CONT")
                    listOf(pausedIdle, partialHead, partialBody).forEach {
                        it.readResponse() shouldBe "HTTP/1.1 200 OK"
                    }
                    idle.exchange(head("/a/")) shouldBe "HTTP/1.1 200 OK"
                    repeat(requests) {
                        slow.readResponse(SLOW_READ_MILLIS) shouldBe "HTTP/1.1 200 OK"
                    }
                    callers.forEach { it.close() }
                }
            }
        }
    })
