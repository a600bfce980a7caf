/*
 * A faulty endpoint that sends incomplete events in many responses at the same time, at an entry
 * process with the heap of the deployment.
 */
package org.toucanspur.bench.platform

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds
import org.toucanspur.bench.soak.SoakProcess
import org.toucanspur.standin.platform.ObjectStoreService

// Together the incomplete events are larger than the heap; each of them is within its limit.
private const val STREAMS = 300
private const val EVENT_BYTES = 1_000_000
private const val CALLERS_PORT = 17_721
private val testTimeout = 60.seconds

/** An endpoint that answers each request by [respond], with the id of the request. */
private class RawEndpoint(private val respond: (id: String, Socket) -> Unit) : AutoCloseable {
    private val server = ServerSocket(0, STREAMS, InetAddress.getLoopbackAddress())
    private val executor = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    val address = "127.0.0.1:${server.localPort}"

    init {
        executor.execute {
            while (!server.isClosed) {
                val socket = try {
                    server.accept()
                } catch (_: IOException) {
                    return@execute
                }
                executor.execute { serve(socket) }
            }
        }
    }

    private fun serve(socket: Socket) = socket.use {
        val head = it.getInputStream().bufferedReader().lineSequence().takeWhile(String::isNotEmpty)
        val id = head.first { line -> line.startsWith("X-Attempt-Identifier: ", true) }
        try {
            respond(id.substringAfter(": "), it)
        } catch (_: IOException) {
            // The entry has closed the connection.
        }
    }

    override fun close() {
        server.close()
        executor.shutdownNow()
    }
}

private fun Socket.send(text: String) = getOutputStream().write(text.encodeToByteArray())

private fun head(id: String) =
    "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Attempt-Identifier: $id\r\n"

/** An entry process with one faulty and one sound service. */
private class EntryFixture : AutoCloseable {
    private val host = "127.20.0.${Math.floorMod(ProcessHandle.current().pid(), HOSTS) + 1}"
    private val store = ObjectStoreService()
    private val sound = RawEndpoint { id, socket ->
        socket.send("${head(id)}Content-Length: 4\r\n\r\ndone")
    }
    private val hasReceivedAll = CountDownLatch(STREAMS)
    private val faulty = RawEndpoint { id, socket ->
        socket.send("${head(id)}Content-Type: text/event-stream\r\n\r\ndata: ")
        repeat(EVENT_BYTES / PART_BYTES) { socket.send("~".repeat(PART_BYTES)) }
        hasReceivedAll.countDown()
        socket.getInputStream().read()
    }
    private val process = SoakProcess(
        "entry",
        Path.of("target", "endless-events"),
        "[node]\nrole = entry\nvm = entry\nhost = $host\nzone = z\nregion = r\n" +
            "zone-regions = z:r\n[addresses]\ncallers = $host:$CALLERS_PORT\n" +
            "readiness = $host:${CALLERS_PORT + 1}\npeer-port = ${CALLERS_PORT + 2}\n" +
            "[store]\naddress = ${store.address}\n[bounds]\ndrain-millis = 2000\n" +
            "grace-seconds = 8\nrevocation-millis = 60000\nevacuation-millis = 5000\n" +
            "version-millis = 8000\nretry-budget-ratio = 0.2\n" +
            "retry-budget-window-seconds = 10\nretry-budget-allowance = 40\n"
    )
    private val open = mutableListOf<Socket>()
    val exitFault: String? get() = process.exitFault()

    fun start() {
        store.put(
            "config",
            "main",
            """{"version":1,"routes":[${route("/sound/", "idempotent", "sound")},
            ${route("/faulty/", "streaming", "faulty")}],
            "services":[{"name":"sound","connection-limit":1000},
            {"name":"faulty","connection-limit":1000}],"tenants":[]}"""
        )
        listOf("sound" to sound, "faulty" to faulty).forEach { (service, endpoint) ->
            store.put(
                "servers",
                service,
                """{"service":"$service","address":"${endpoint.address}","zone":"z",
                "version":"v1","slots":1000,"state":"ready","cold-remaining-ms":0,
                "sequence":1,"born":1}"""
            )
        }
        process.start()
    }

    private fun route(path: String, kind: String, service: String) =
        """{"name":"$service","host":"h","path-prefix":"$path","kind":"$kind",
        "timeout-ms":60000,"target-latency-ms":60000,"gap-target-ms":60000,"priority":1,
        "service":"$service","attempts":1}"""

    private fun connect(path: String, id: String) = Socket().apply {
        soTimeout = testTimeout.inWholeMilliseconds.toInt()
        connect(InetSocketAddress(host, CALLERS_PORT))
        send(
            "GET $path HTTP/1.1\r\nHost: h\r\nX-Attempt-Identifier: $id\r\nConnection: close\r\n\r\n"
        )
    }

    fun callSound(): String =
        connect("/sound/x", "s").use { it.getInputStream().readBytes().decodeToString() }

    /** Begins all streams and waits until the endpoint has sent, or could not send, their events. */
    fun beginStreams() {
        repeat(STREAMS) { open += connect("/faulty/x", "f$it") }
        hasReceivedAll.await(FLOOD_SECONDS, TimeUnit.SECONDS)
    }

    override fun close() {
        process.signal("KILL")
        open.forEach { it.close() }
        listOf(sound, faulty, store).forEach { it.close() }
    }

    private companion object {
        const val HOSTS = 250
        const val PART_BYTES = 10_000
        const val FLOOD_SECONDS = 5L
    }
}

class EndlessEventsTest :
    DescribeSpec({
        // Guards against an entry that runs out of memory, with which the requests of all of its
        // callers end.
        describe("incomplete events that are together larger than the heap") {
            it("leave the entry running and serving other requests") {
                EntryFixture().use { fixture ->
                    fixture.start()
                    eventually(testTimeout) { fixture.callSound() shouldContain "done" }
                    fixture.beginStreams()
                    repeat(10) { fixture.callSound() shouldContain "done" }
                    fixture.exitFault shouldBe null
                }
            }
        }
    })
