/*
 * Signals beside changes of the configuration, at an entry process with scripted endpoints: each
 * request that the entry has read gets a complete response.
 */
package org.toucanspur.bench.platform

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.ConnectException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.file.Files
import java.nio.file.Path
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
import org.toucanspur.bench.soak.SoakProcess
import org.toucanspur.standin.platform.ObjectStoreService

private val testTimeout = 30.seconds
private const val CALLERS_PORT = 17_731
private const val GRACE_SECONDS = 8

// Does not fit into the buffers of a connection whose caller does not read.
private const val LARGE_BYTES = 4_200_000

// Fits into them.
private const val MEDIUM_BYTES = 1_000_000
private const val SMALL_RECEIVE_BUFFER_BYTES = 16 * 1024

private const val STOP_GAP_MILLIS = 1500L
private const val PAUSE_MILLIS = 1500L

/**
 * An endpoint that responds by the path of a request: /large/ at once with a long body, other paths
 * once [isReleased], streams with an event before and after that.
 */
private class ScriptedEndpoint : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val executor = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    val address = "127.0.0.1:${server.localPort}"
    val paths = CopyOnWriteArrayList<String>()

    @Volatile
    var isReleased = CountDownLatch(0)

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
        val lines = it.getInputStream().bufferedReader().lineSequence()
            .takeWhile(String::isNotEmpty).toList()
        val path = lines.first().split(' ')[1]
        val id = lines.first { line -> line.startsWith("X-Attempt-Identifier: ", true) }
            .substringAfter(": ")
        paths += path
        val head = "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Attempt-Identifier: $id\r\n"
        try {
            when {
                path.startsWith("/large/") -> it.sendBody(head, LARGE_BYTES)
                path.startsWith("/medium/") -> it.sendBody(head, MEDIUM_BYTES)
                path.startsWith("/stream/") -> {
                    it.send(
                        "${head}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n" +
                            "id: 1\ndata: a\n\n"
                    )
                    isReleased.await()
                    it.send("id: 2\ndata: done\n\n")
                }
                else -> {
                    isReleased.await()
                    it.send("${head}Content-Length: 4\r\n\r\ndone")
                }
            }
        } catch (_: IOException) {
            // The entry has closed the connection.
        } catch (_: InterruptedException) {
            // The test has ended.
        }
    }

    override fun close() {
        server.close()
        executor.shutdownNow()
    }

    private companion object {
        const val BACKLOG = 50
    }
}

private fun Socket.sendBody(head: String, size: Int) {
    send("${head}Content-Length: $size\r\n\r\n")
    getOutputStream().write(ByteArray(size) { 'x'.code.toByte() })
}

private fun Socket.send(text: String) = getOutputStream().write(text.encodeToByteArray())

private fun request(path: String, id: String = "r", deadlineMillis: Long = 60_000) =
    "GET $path HTTP/1.1\r\nHost: h\r\nX-Attempt-Identifier: $id\r\n" +
        "X-Deadline-Remaining: $deadlineMillis\r\n\r\n"

/** An entry process with an object store and one endpoint of [slots]. */
private class SignalledEntry(slots: Int = 10) : AutoCloseable {
    private val host = "127.21.0.${Math.floorMod(ProcessHandle.current().pid(), HOSTS) + 1}"
    private val directory =
        Files.createTempDirectory(Files.createDirectories(Path.of("target")), "planned-work")
    private val store = ObjectStoreService()
    private val version = AtomicInteger()
    private val sockets = mutableListOf<Socket>()
    val endpoint = ScriptedEndpoint()
    val process = SoakProcess(
        "entry",
        directory,
        "[node]\nrole = entry\nvm = entry\nhost = $host\nzone = z\nregion = r\n" +
            "zone-regions = z:r\n[addresses]\ncallers = $host:$CALLERS_PORT\n" +
            "readiness = $host:${CALLERS_PORT + 1}\npeer-port = ${CALLERS_PORT + 2}\n" +
            "[store]\naddress = ${store.address}\n[bounds]\ndrain-millis = 2000\n" +
            "grace-seconds = $GRACE_SECONDS\nrevocation-millis = 60000\n" +
            "evacuation-millis = 5000\nversion-millis = 8000\nretry-budget-ratio = 0.2\n" +
            "retry-budget-window-seconds = 10\nretry-budget-allowance = 40\n"
    )
    val settingsFile: Path = directory.resolve("entry.ini")
    val log: String get() = Files.readString(directory.resolve("entry.log"))

    init {
        store.put(
            "servers",
            "e1",
            """{"service":"s","address":"${endpoint.address}","zone":"z","version":"v1",
            "slots":$slots,"state":"ready","cold-remaining-ms":0,"sequence":1,"born":1}"""
        )
    }

    suspend fun start() {
        process.start()
        configure()
        eventually(testTimeout) {
            call("/first/x") shouldContain "done"
        }
    }

    /** Sets a configuration and waits until the entry has adopted it. */
    suspend fun configure(
        paths: List<String> = DEFAULT_PATHS,
        idleMillis: Long = 15_000,
        timeoutMillis: Long = 60_000,
        moreRoutes: Int = 0
    ) {
        val number = version.incrementAndGet()
        val routes = paths.map { route("h", it, timeoutMillis) } +
            List(moreRoutes) { route("h$it", "/more/", timeoutMillis) }
        store.put(
            "config",
            "main",
            """{"version":$number,"limits":{"idle-timeout-ms":$idleMillis},
            "routes":[${routes.joinToString()}],
            "services":[{"name":"s","connection-limit":100}],"tenants":[]}"""
        )
        eventually(testTimeout) {
            log shouldContain "\"traffic configuration adopted\",\"version\":$number,"
        }
    }

    private fun route(host: String, path: String, timeoutMillis: Long): String {
        val kind = if (path == "/stream/") "streaming" else "non_idempotent"
        return """{"name":"$path","host":"$host","path-prefix":"$path","kind":"$kind",
            "timeout-ms":$timeoutMillis,"target-latency-ms":60000,"gap-target-ms":60000,
            "priority":1,"service":"s","attempts":1}"""
    }

    fun open(receiveBytes: Int? = null): Socket = Socket().apply {
        receiveBytes?.let { receiveBufferSize = it }
        soTimeout = testTimeout.inWholeMilliseconds.toInt()
        connect(InetSocketAddress(host, CALLERS_PORT))
        sockets += this
    }

    fun call(path: String): String = open().use {
        it.send(request(path).replace("Host:", "Connection: close\r\nHost:"))
        it.readAll()
    }

    /** Sends a request and waits until the endpoint has it. */
    suspend fun begin(path: String, receiveBytes: Int? = null): Socket {
        val socket = open(receiveBytes)
        socket.send(request(path))
        eventually(testTimeout) { endpoint.paths.contains(path) shouldBe true }
        return socket
    }

    /** Waits until the entry has stopped to accept connections. */
    suspend fun awaitListenerClosed() = eventually(testTimeout) {
        val isRefused = try {
            open().close()
            false
        } catch (_: ConnectException) {
            true
        }
        isRefused shouldBe true
    }

    override fun close() {
        process.signal("CONT")
        process.signal("KILL")
        sockets.forEach { it.close() }
        endpoint.close()
        store.close()
    }

    companion object {
        const val HOSTS = 250
        val DEFAULT_PATHS = listOf("/first/", "/large/", "/medium/", "/stream/", "/plain/")
    }
}

/** Reads to the end of the connection; a reset ends the text as well. */
private fun Socket.readAll(): String {
    val bytes = ByteArrayOutputStream()
    try {
        getInputStream().copyTo(bytes)
    } catch (_: IOException) {
        // What has arrived until then counts.
    }
    return bytes.toByteArray().decodeToString()
}

private fun body(response: String) = response.substringAfter("\r\n\r\n")

/** Length of a large body, without the sizes of its chunks. */
private fun largeBodyLength(response: String) = body(response).count { it == 'x' }

class PlannedWorkTest :
    DescribeSpec({
        lateinit var fixture: SignalledEntry
        suspend fun with(slots: Int = 10, action: suspend SignalledEntry.() -> Unit) {
            fixture = SignalledEntry(slots)
            fixture.use {
                it.start()
                it.endpoint.isReleased = CountDownLatch(1)
                it.action()
            }
        }
        suspend fun <T> blocking(action: () -> T): T = withContext(Dispatchers.IO) { action() }

        describe("SIGTERM beside a shorter idle time-out") {
            listOf(true, false).forEach { isChangeFirst ->
                val order = if (isChangeFirst) "before" else "after"
                it("does not cut a large response whose caller reads later, changed $order it") {
                    with {
                        val socket = begin("/large/x", SMALL_RECEIVE_BUFFER_BYTES)
                        if (isChangeFirst) configure(idleMillis = 300)
                        process.signal("TERM")
                        if (!isChangeFirst) configure(idleMillis = 300)
                        awaitListenerClosed()
                        blocking { largeBodyLength(socket.readAll()) } shouldBe LARGE_BYTES
                    }
                }
            }
            it("does not reset a response because its caller has sent another request") {
                with {
                    process.signal("TERM")
                    eventually(testTimeout) { log shouldContain "graceful shutdown began" }
                    val socket = begin("/medium/x", SMALL_RECEIVE_BUFFER_BYTES)
                    eventually(testTimeout) {
                        log.lines().count { "request completed" in it && "/medium/" in it } shouldBe
                            1
                    }
                    socket.send(request("/plain/late"))
                    blocking { largeBodyLength(socket.readAll()) } shouldBe MEDIUM_BYTES
                }
            }
            it("lets a stream go on whose route is gone") {
                with {
                    val socket = begin("/stream/x")
                    configure(paths = listOf("/first/"), idleMillis = 300, timeoutMillis = 500)
                    process.signal("TERM")
                    awaitListenerClosed()
                    endpoint.isReleased.countDown()
                    blocking { socket.readAll() } shouldEndWith "done\n\n\r\n0\r\n\r\n"
                }
            }
        }
        describe("a configuration that arrives in the grace period") {
            it("adds and removes routes for new requests, and none for those that were read") {
                with {
                    val running = begin("/plain/x")
                    process.signal("TERM")
                    configure(paths = listOf("/first/", "/added/"), moreRoutes = 2000)
                    val added = open()
                    added.send(request("/added/x"))
                    blocking { call("/plain/later") } shouldContain "HTTP/1.1 404"
                    eventually(testTimeout) { endpoint.paths.contains("/added/x") shouldBe true }
                    endpoint.isReleased.countDown()
                    blocking { running.readAll() } shouldEndWith "done"
                    blocking { added.readAll() } shouldEndWith "done"
                }
            }
        }
        describe("a second SIGTERM") {
            it("promises no more time than the first one") {
                with {
                    process.signal("TERM")
                    delay(STOP_GAP_MILLIS)
                    process.signal("TERM")
                    val socket = begin("/plain/x")
                    blocking { socket.readAll() } shouldContain "HTTP/1.1 504"
                }
            }
        }
        describe("a stream that comes late in a grace period") {
            it("is refused and not cut off when it may last longer") {
                with {
                    val socket = begin("/plain/x")
                    socket.send(request("/stream/x"))
                    process.signal("TERM")
                    awaitListenerClosed()
                    endpoint.isReleased.countDown()
                    endpoint.isReleased = CountDownLatch(1)
                    blocking { socket.readAll() } shouldContain "HTTP/1.1 503"
                    endpoint.paths.toList() shouldNotContain "/stream/x"
                }
            }
        }
        describe("SIGHUP") {
            mapOf(
                "is broken" to { file: Path ->
                    Files.writeString(file, "[node\nrole = ?")
                    Unit
                },
                "is not text" to { file: Path ->
                    Files.write(file, ByteArray(9) { -1 })
                    Unit
                },
                "is missing" to { file: Path -> Files.delete(file) },
                "has other addresses" to { file: Path ->
                    val text = Files.readString(file).replace("$CALLERS_PORT", "1")
                    Files.writeString(file, text)
                    Unit
                }
            ).forEach { (name, change) ->
                it("beside a change ends no request when the settings file $name") {
                    with {
                        val running = begin("/plain/x")
                        val large = begin("/large/x", SMALL_RECEIVE_BUFFER_BYTES)
                        change(settingsFile)
                        process.signal("HUP")
                        configure(idleMillis = 300, moreRoutes = 2000)
                        process.signal("HUP")
                        endpoint.isReleased.countDown()
                        blocking { running.use { bodyOf(it) } } shouldBe "done"
                        blocking { call("/plain/later") } shouldEndWith "done"
                        process.exitFault().shouldBeNull()
                        process.signal("TERM")
                        blocking { largeBodyLength(large.readAll()) } shouldBe LARGE_BYTES
                    }
                }
            }
        }
        describe("a pause beside a shorter idle time-out") {
            it("ends no request that arrives meanwhile") {
                with {
                    endpoint.isReleased.countDown()
                    repeat(PAUSES) { pause ->
                        configure(idleMillis = 15_000)
                        val idle = List(IDLE_CONNECTIONS) { open() }
                        idle.forEach {
                            it.send(request("/plain/before"))
                            blocking { bodyOf(it) } shouldBe "done"
                        }
                        coroutineScope {
                            val change = async { configure(idleMillis = 1000) }
                            process.signal("STOP")
                            delay(PAUSE_MILLIS)
                            idle.forEach { it.send(request("/plain/$pause")) }
                            process.signal("CONT")
                            change.await()
                        }
                        idle.forEach { blocking { bodyOf(it) } shouldBe "done" }
                        idle.forEach { it.close() }
                    }
                }
            }
        }
    })

private const val PAUSES = 5
private const val IDLE_CONNECTIONS = 10

/** Reads one response with a body of four bytes. */
private fun bodyOf(socket: Socket): String {
    var text = ""
    while (!text.contains("\r\n\r\n") || body(text).length < BODY_CHARS) {
        val next = socket.getInputStream().read()
        if (next < 0) return "connection closed after: $text"
        text += next.toChar()
    }
    return body(text)
}

private const val BODY_CHARS = 4
