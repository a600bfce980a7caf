/*
 * Crowds of callers that send much and finish nothing, at an entry and an agent process with the
 * JVM options of the deployment and a smaller heap, so that a small crowd is larger than it.
 * The bounds come from the memory and the descriptors of the VM. The tests of this file run one
 * after the other.
 */
package org.toucanspur.bench.platform

import com.sun.net.httpserver.HttpServer
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetSocketAddress
import java.net.Socket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Executors
import kotlin.time.Duration.Companion.seconds
import org.toucanspur.bench.soak.SoakProcess
import org.toucanspur.standin.platform.ObjectStoreService

private const val CALLERS_PORT = 17_741
private const val READINESS_PORT = CALLERS_PORT + 1
private const val PEER_PORT = CALLERS_PORT + 2
private const val METRICS_PORT = CALLERS_PORT + 3
private const val DESCRIPTORS = 1000

// Memory of the VMs, and the heaps of the deployment and of these tests, in MiB.
private const val ENTRY_VM_MIB = 330
private const val ENTRY_HEAP_MIB = 160
private const val AGENT_VM_MIB = 298
private const val AGENT_HEAP_MIB = 120
private const val TEST_HEAP_MIB = 64

private const val BODY_MAX_BYTES = 1024 * 1024
private const val LARGE_RESPONSE_BYTES = 2 * 1024 * 1024
private const val ORDINARY_BODY_BYTES = 16 * 1024
private const val BODIES = 150
private const val PIECE_BYTES = 1024
private const val CHUNKED_BODIES = 40
private const val CHUNKS = 100_000
private const val HEADS = 150
private const val FIELDS = 3200
private const val PIPELINES = 150

// All callers of a crowd may have a request at the endpoint, which takes a connection for each.
private const val ENDPOINT_BACKLOG = 1024
private const val PIPELINED_REQUESTS = 2000
private const val SLOW_CALLERS = 90
private const val SLOW_HEAD_BYTES = 40

// More than the descriptors of the process.
private const val PROBE_CALLERS = 1100
private const val FRAMES = 60
private const val DATAGRAMS = 5000
private const val DATAGRAM_BYTES = 1200
private val startTimeout = 30.seconds
private val answerTimeout = 15.seconds

private fun post(path: String, framing: String) =
    "POST $path HTTP/1.1\r\nHost: h\r\nX-Attempt-Identifier: c\r\n$framing\r\n\r\n"

private fun get(path: String) = "GET $path HTTP/1.1\r\nHost: h\r\nX-Attempt-Identifier: c\r\n\r\n"

/** A body of the largest legal size that lacks its last byte. */
private fun unfinishedBody(path: String, bytes: Int = BODY_MAX_BYTES): ByteArray =
    post(path, "Content-Length: $bytes").encodeToByteArray() + ByteArray(bytes - 1)

private fun tinyChunks(path: String): ByteArray =
    (post(path, "Transfer-Encoding: chunked") + "1\r\nx\r\n".repeat(CHUNKS)).encodeToByteArray()

private fun endlessBody(path: String): ByteArray {
    val bytes = 4 * BODY_MAX_BYTES
    val head = post(path, "Transfer-Encoding: chunked") + "${bytes.toString(16)}\r\n"
    return head.encodeToByteArray() + ByteArray(bytes)
}

private fun manyFields(path: String): ByteArray =
    ("GET $path HTTP/1.1\r\nHost: h\r\n" + "a:b\r\n".repeat(FIELDS)).encodeToByteArray()

private fun pipelined(path: String): ByteArray =
    "GET $path HTTP/1.1\r\nHost: h\r\n\r\n".repeat(PIPELINED_REQUESTS).encodeToByteArray()

/** The JVM options of [role] in the deployment, with the heap of these tests. */
private fun deploymentOptions(role: String): List<String> {
    val lines = Files.readAllLines(Path.of("..", "deploy", "system.toml"))
    val run = lines.dropWhile { it != "[roles.$role]" }.first { it.startsWith("run = ") }
    val options = run.split(' ').filter { it.startsWith("-X") }
    return options.filterNot { it.startsWith("-Xmx") || it.contains("SharedArchiveFile") } +
        "-Xmx${TEST_HEAP_MIB}m"
}

/** Resident memory of the process [pid] in MiB. */
private fun residentMib(pid: Long): Long {
    val lines = Files.readAllLines(Path.of("/proc/$pid/status"))
    val line = lines.first { it.startsWith("VmRSS:") }
    return line.filter(Char::isDigit).toLong() / 1024
}

private fun descriptors(pid: Long): Int = Files.list(Path.of("/proc/$pid/fd")).use {
    it.count().toInt()
}

/** An endpoint with a small response, and a large one at `/large/`. */
private class SimpleEndpoint : AutoCloseable {
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), ENDPOINT_BACKLOG)
    private val executor = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    val address = "127.0.0.1:${server.address.port}"

    init {
        server.executor = executor
        server.createContext("/") { exchange ->
            exchange.use {
                it.requestBody.readAllBytes()
                val isLarge = it.requestURI.path.startsWith("/large/")
                val body =
                    if (isLarge) ByteArray(LARGE_RESPONSE_BYTES) else "done".encodeToByteArray()
                it.responseHeaders.add("X-Response-Seal", "s")
                it.sendResponseHeaders(200, body.size.toLong())
                it.responseBody.write(body)
            }
        }
        server.start()
    }

    override fun close() {
        server.stop(0)
        executor.shutdownNow()
    }
}

/** A process of [role] with the store and the endpoint that it needs. */
private class CrowdFixture(private val role: String) : AutoCloseable {
    val host = "127.21.0.${Math.floorMod(ProcessHandle.current().pid(), HOSTS) + 1}"
    private val store = ObjectStoreService()
    private val endpoint = SimpleEndpoint()
    private val crowds = mutableListOf<CallerCrowd>()
    private val boundMib =
        if (role == "entry") {
            ENTRY_VM_MIB - (ENTRY_HEAP_MIB - TEST_HEAP_MIB)
        } else {
            AGENT_VM_MIB - (AGENT_HEAP_MIB - TEST_HEAP_MIB)
        }
    private val process = SoakProcess(
        role,
        Path.of("target", "caller-crowd"),
        "[node]\nrole = $role\nvm = $role\nhost = $host\nzone = z\nregion = r\n" +
            "zone-regions = z:r\n[addresses]\ncallers = $host:$CALLERS_PORT\n" +
            "readiness = $host:$READINESS_PORT\npeer-port = $PEER_PORT\n" +
            "[store]\naddress = ${store.address}\n[engine]\naddress = 127.0.0.1:1\n" +
            "service = sound\n[limits]\ndescriptors = $DESCRIPTORS\n" +
            "[bounds]\ndrain-millis = 2000\n" +
            "grace-seconds = 8\nrevocation-millis = 60000\nevacuation-millis = 5000\n" +
            "version-millis = 8000\nretry-budget-ratio = 0.2\n" +
            "retry-budget-window-seconds = 10\nretry-budget-allowance = 40\n",
        deploymentOptions(role)
    )

    suspend fun start() {
        // Time-outs that are longer than a crowd takes, so that it holds what it has sent.
        store.put(
            "config",
            "main",
            """{"version":1,"limits":{"max-body-bytes":$BODY_MAX_BYTES,
            "header-timeout-ms":60000,"idle-timeout-ms":60000},
            "routes":[${route("/sound/")},${route("/large/")}],
            "services":[{"name":"sound","connection-limit":1000}],"tenants":[]}"""
        )
        store.put(
            "servers",
            "sound",
            """{"service":"sound","address":"${endpoint.address}","zone":"z",
            "version":"v1","slots":1000,"state":"ready","cold-remaining-ms":0,
            "sequence":1,"born":1}"""
        )
        process.start()
        eventually(startTimeout) { answer() }
    }

    private fun route(path: String) =
        """{"name":"$path","host":"h","path-prefix":"$path","kind":"idempotent",
        "timeout-ms":60000,"target-latency-ms":60000,"gap-target-ms":60000,"priority":1,
        "service":"sound","attempts":1}"""

    /** A crowd of [size] callers at [port] that stay connected until the end of the test. */
    fun crowd(size: Int, port: Int = CALLERS_PORT): CallerCrowd =
        CallerCrowd(InetSocketAddress(host, port), size).also { crowds += it }

    /** Sends datagrams that are no frames to the port of the peers. */
    fun sendDatagrams() = DatagramSocket().use { socket ->
        val target = InetSocketAddress(host, PEER_PORT)
        repeat(DATAGRAMS) {
            val size = 1 + it % DATAGRAM_BYTES
            socket.send(DatagramPacket(ByteArray(size) { 1 }, size, target))
        }
    }

    private fun answer() {
        if (role == "entry") {
            request(READINESS_PORT, "GET /readyz HTTP/1.1\r\nHost: h\r\n") shouldContain "HTTP/1.1"
            val head = "POST /sound/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Identifier: s\r\n" +
                "Content-Length: $ORDINARY_BODY_BYTES\r\n"
            request(CALLERS_PORT, head, ORDINARY_BODY_BYTES) shouldContain "done"
        }
        val metrics = request(METRICS_PORT, "GET /metrics HTTP/1.1\r\nHost: h\r\n")
        metrics shouldContain "toucanspur"
    }

    private fun request(port: Int, head: String, bodyBytes: Int = 0): String = Socket().use {
        it.soTimeout = SOCKET_MILLIS
        it.connect(InetSocketAddress(host, port), SOCKET_MILLIS)
        val request = "${head}Connection: close\r\n\r\n".encodeToByteArray() + ByteArray(bodyBytes)
        it.getOutputStream().write(request)
        it.getInputStream().readBytes().decodeToString()
    }

    /** Checks that the process is within its VM's limits and answers ordinary requests. */
    suspend fun check() {
        checkLimits()
        eventually(answerTimeout) { answer() }
        checkLimits()
    }

    private fun checkLimits() {
        process.exitFault() shouldBe null
        residentMib(process.pid) shouldBeLessThanOrEqual boundMib.toLong()
        descriptors(process.pid) shouldBeLessThanOrEqual DESCRIPTORS
    }

    override fun close() {
        process.signal("KILL")
        process.awaitExit(SOCKET_MILLIS.toLong())
        crowds.forEach { it.close() }
        listOf(endpoint, store).forEach { it.close() }
    }

    private companion object {
        const val HOSTS = 250
        const val SOCKET_MILLIS = 5000
    }
}

private suspend fun underCrowd(role: String, play: (CrowdFixture) -> Unit) =
    CrowdFixture(role).use { fixture ->
        fixture.start()
        play(fixture)
        fixture.check()
    }

class CallerCrowdTest :
    DescribeSpec({
        // Guards against a process that ends, hangs or exceeds the memory of its VM because of
        // callers outside the control of the operator.
        describe("an entry is alive, within its limits and answers, beside") {
            it("unfinished bodies of legal size in one piece") {
                underCrowd("entry") { it.crowd(BODIES).send(unfinishedBody("/sound/x")) }
            }
            it("unfinished bodies of legal size in small pieces") {
                underCrowd("entry") {
                    it.crowd(BODIES).send(unfinishedBody("/sound/x"), PIECE_BYTES)
                }
            }
            it("unfinished bodies in chunks of one byte") {
                underCrowd("entry") { it.crowd(CHUNKED_BODIES).send(tinyChunks("/sound/x")) }
            }
            it("bodies far over the limit") {
                underCrowd("entry") {
                    it.crowd(BODIES / 2).send(endlessBody("/sound/x"))
                    it.crowd(BODIES / 2).send(unfinishedBody("/sound/x", 4 * BODY_MAX_BYTES))
                }
            }
            it("unfinished heads of very many short fields") {
                underCrowd("entry") { it.crowd(HEADS).send(manyFields("/sound/x")) }
            }
            it("pipelined requests whose responses are not read") {
                underCrowd("entry") { it.crowd(PIPELINES).send(pipelined("/sound/x")) }
            }
            it("slow heads and slow readers") {
                underCrowd("entry") {
                    val head = get("/sound/x").encodeToByteArray().copyOf(SLOW_HEAD_BYTES)
                    it.crowd(SLOW_CALLERS).send(head, pieceBytes = 1)
                    it.crowd(SLOW_CALLERS).send(get("/large/x").encodeToByteArray())
                }
            }
            it("crowds at a path without a route") {
                underCrowd("entry") {
                    it.crowd(PIPELINES / 3).send(pipelined("/none/x"))
                    it.crowd(CHUNKED_BODIES).send(tinyChunks("/none/x"))
                    it.crowd(BODIES / 2).send(unfinishedBody("/none/x"))
                }
            }
            it("crowds at the readiness path and port") {
                underCrowd("entry") {
                    it.crowd(CHUNKED_BODIES, READINESS_PORT).send(tinyChunks("/readyz"))
                    it.crowd(HEADS, READINESS_PORT).send(manyFields("/readyz"))
                    it.crowd(PIPELINES, READINESS_PORT).send(pipelined("/readyz"))
                    it.crowd(CHUNKED_BODIES).send(unfinishedBody("/readyz"))
                    it.crowd(PROBE_CALLERS, READINESS_PORT).send("GET /r".encodeToByteArray())
                }
            }
        }
        describe("an agent is alive, within its limits and answers, beside") {
            it("crowds at its metrics port") {
                underCrowd("agent") {
                    it.crowd(CHUNKED_BODIES, METRICS_PORT).send(tinyChunks("/metrics"))
                    it.crowd(PIPELINES, METRICS_PORT).send(pipelined("/metrics"))
                    it.crowd(PROBE_CALLERS, METRICS_PORT).send("GET /m".encodeToByteArray())
                }
            }
            it("unfinished frames and datagrams at its peer port") {
                underCrowd("agent") {
                    it.sendDatagrams()
                    // The length of the largest frame, which is 8 MiB.
                    val length = byteArrayOf(0, 0x7F, -1, -1)
                    val frame = length + ByteArray(4 * BODY_MAX_BYTES)
                    it.crowd(FRAMES, PEER_PORT).send(frame)
                    it.crowd(PROBE_CALLERS, PEER_PORT).send(byteArrayOf(0))
                }
            }
        }
    })
