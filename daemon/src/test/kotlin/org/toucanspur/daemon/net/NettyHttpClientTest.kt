package org.toucanspur.daemon.net

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.sun.net.httpserver.HttpServer
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.SocketException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.yield
import org.toucanspur.core.platform.HttpCall
import org.toucanspur.core.platform.HttpFailure
import org.toucanspur.core.platform.HttpReply
import org.toucanspur.core.platform.TransferLimits

/** A server that records the ports from which it is called. */
private class RecordingServer : AutoCloseable {
    private val executor = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)
    val callerPorts: MutableSet<Int> = ConcurrentHashMap.newKeySet()
    val address: String get() = "127.0.0.1:${server.address.port}"

    init {
        server.executor = executor
        server.createContext("/") { exchange ->
            exchange.use {
                callerPorts += exchange.remoteAddress.port
                exchange.requestBody.readBytes()
                val body = ByteArray(BODY_BYTES)
                exchange.sendResponseHeaders(200, body.size.toLong())
                exchange.responseBody.write(body)
            }
        }
        server.start()
    }

    override fun close() {
        server.stop(0)
        executor.shutdownNow()
    }

    private companion object {
        const val BODY_BYTES = 24_576
    }
}

/** A server that sends a body in parts, with a pause of [pauseMillis] after each one. */
private class SlowServer(private val pauseMillis: Long) : AutoCloseable {
    private val executor = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)

    init {
        server.executor = executor
        server.createContext("/") { exchange ->
            exchange.use {
                exchange.sendResponseHeaders(200, BODY_BYTES.toLong())
                repeat(PARTS) {
                    exchange.responseBody.write(ByteArray(BODY_BYTES / PARTS))
                    exchange.responseBody.flush()
                    Thread.sleep(pauseMillis)
                }
            }
        }
        server.start()
    }

    fun call(timeoutMillis: Long, limits: TransferLimits?): Result<HttpReply, HttpFailure> {
        val loop = NettyEventLoop()
        val call = HttpCall(
            "127.0.0.1:${server.address.port}",
            "GET",
            "/a",
            timeoutMillis,
            transferLimits = limits
        )
        return runBlocking {
            withContext(loop.scope.coroutineContext) { NettyHttpClient(loop).call(call) }
        }
    }

    override fun close() {
        server.stop(0)
        executor.shutdownNow()
    }

    companion object {
        const val BODY_BYTES = 24_000
        private const val PARTS = 30
    }
}

private fun callOnLoop(call: HttpCall): Result<HttpReply, HttpFailure> {
    val loop = NettyEventLoop()
    return runBlocking {
        withContext(loop.scope.coroutineContext) { NettyHttpClient(loop).call(call) }
    }
}

class NettyHttpClientTest :
    DescribeSpec({
        // Guards against acting on an outdated check when the process stops while it connects.
        describe("a call that depends on an earlier check") {
            it("is not sent when the check became too old while connecting") {
                RecordingServer().use { server ->
                    val loop = NettyEventLoop()
                    var isOutdated = false
                    val call = HttpCall(
                        server.address,
                        "POST",
                        "/a",
                        timeoutMillis = 20_000,
                        isStillValid = { !isOutdated }
                    )
                    val result = runBlocking {
                        withContext(loop.scope.coroutineContext) {
                            val pending = async { NettyHttpClient(loop).call(call) }
                            yield()
                            isOutdated = true
                            pending.await()
                        }
                    }
                    result.getError() shouldBe HttpFailure.Outdated
                    server.callerPorts.shouldBeEmpty()
                }
            }
        }
        // Guards against calls that arrive when another VM holds the lease.
        describe("a call that must not arrive after its validity") {
            it("is not sent unless it stays valid for its time-out") {
                RecordingServer().use { server ->
                    val call = HttpCall(server.address, "POST", "/", 600, validMillis = { 500 })
                    val result = callOnLoop(call)
                    result.getError() shouldBe HttpFailure.Outdated
                    server.callerPorts.shouldBeEmpty()
                }
            }
            it("resets its connection when the validity ends while it is pending") {
                ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
                    val validity = ArrayDeque(listOf(600L, 500L, 0L))
                    val address = "127.0.0.1:${server.localPort}"
                    val call = HttpCall(
                        address,
                        "POST",
                        "/",
                        600,
                        headers = mapOf("X-Number" to "7"),
                        validMillis = { validity.removeFirstOrNull() ?: 0 }
                    )
                    val result = callOnLoop(call)
                    result.getError() shouldBe HttpFailure.NoResponse("no longer valid")
                    server.accept().use { connection ->
                        shouldThrow<SocketException> { connection.getInputStream().readBytes() }
                    }
                }
            }
        }
        // Guards against keeping a response without end in memory.
        describe("a response that is larger than its call allows") {
            it("is a failure, on a new connection and on a reused one") {
                RecordingServer().use { server ->
                    val loop = NettyEventLoop()
                    val client = NettyHttpClient(loop)
                    fun call(maxBytes: Int) = runBlocking {
                        withContext(loop.scope.coroutineContext) {
                            client.call(
                                HttpCall(
                                    server.address,
                                    "GET",
                                    "/a",
                                    timeoutMillis = 20_000,
                                    mayReuseConnection = true,
                                    responseMaxBytes = maxBytes
                                )
                            )
                        }
                    }
                    call(maxBytes = 1000).isErr shouldBe true
                    call(maxBytes = 100_000).isOk shouldBe true
                    call(maxBytes = 1000).isErr shouldBe true
                }
            }
        }
        // Guards against cutting off a transfer that is under way: a call that is made again begins
        // anew and takes just as long.
        describe("a response that takes longer than the time-out of its call") {
            val limits = TransferLimits(silenceMillis = 20_000, totalMillis = 60_000)
            it("is complete if its bytes keep arriving") {
                SlowServer(pauseMillis = 100).use { server ->
                    val result = server.call(timeoutMillis = 2000, limits)
                    result.get()?.body?.size shouldBe SlowServer.BODY_BYTES
                }
            }
            it("is a failure without limits of a transfer") {
                SlowServer(pauseMillis = 100).use { server ->
                    server.call(
                        timeoutMillis = 2000,
                        limits = null
                    ).getError().toString() shouldContain
                        "timed out after"
                }
            }
            it("is a failure if it falls silent") {
                SlowServer(pauseMillis = 60_000).use { server ->
                    val silence = TransferLimits(silenceMillis = 100, totalMillis = 60_000)
                    server.call(timeoutMillis = 500, silence).isErr shouldBe true
                }
            }
        }
        describe("calls that may reuse connections") {
            suspend fun callAll(server: RecordingServer, calls: Int, together: Int) {
                val loop = NettyEventLoop()
                val client = NettyHttpClient(loop)
                val call = HttpCall(
                    server.address,
                    "GET",
                    "/a",
                    timeoutMillis = 20_000,
                    mayReuseConnection = true
                )
                withContext(loop.scope.coroutineContext) {
                    coroutineScope {
                        repeat(calls) { List(together) { async { client.call(call) } }.awaitAll() }
                    }
                }
            }
            it("use one connection one after the other") {
                RecordingServer().use { server ->
                    runBlocking { callAll(server, calls = 20, together = 1) }
                    server.callerPorts shouldHaveSize 1
                }
            }
            it("use as many connections as there are calls at the same time") {
                RecordingServer().use { server ->
                    runBlocking { callAll(server, calls = 20, together = 2) }
                    server.callerPorts shouldHaveSize 2
                }
            }
        }
    })
