/*
 * Stand-in for a model engine of the platform: stages weight pieces, loads versions on request
 * and serves streams that can resume after an event.
 */
package org.toucanspur.standin.platform

import com.sun.net.httpserver.HttpExchange
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long

private const val ACCEPTED = 202
private const val NOT_FOUND = 404
private const val CONFLICT = 409
private const val LOAD_MILLIS = 200L
private const val EVENT_MILLIS = 20L

/** Number of events in each stream. */
const val STREAM_EVENTS = 15

/** Observes the loads of an engine. */
fun interface LoadObserver {
    /** The engine starts to load [version]; [faultyPieces] lists missing and incorrect pieces. */
    fun onLoad(version: Long, faultyPieces: List<String>)
}

/** The engine [name], which starts with [initialVersion] loaded, 0 for no weights. */
class ModelEngineService(
    private val name: String,
    private val model: String,
    initialVersion: Long,
    private val runObserver: RunObserver,
    private val loadObserver: LoadObserver
) : LoopbackService() {
    private val startMillis = System.currentTimeMillis()
    private val staged = ConcurrentHashMap<Int, ByteArray>()
    private val running = AtomicInteger()
    private val lock = Any()

    /** Version on which requests run, 0 for none. */
    @Volatile
    var loadedVersion = initialVersion
        private set

    @Volatile
    private var loadingVersion = 0L

    @Volatile
    private var orderSequence = 0L

    init {
        if (initialVersion > 0) repeat(PIECES) { staged[it] = weightPiece(initialVersion, it) }
        handle("/v1/report", ::report)
        handle("/v1/stage-put/") { stage(it) }
        handle("/v1/stage-get/", ::readStaged)
        handle("/v1/order", ::order)
        handle("/stream/", ::stream)
        listen()
    }

    /** Loaded models as the platform's server list states them. */
    val modelsJson: String
        get() = if (loadedVersion == 0L) {
            "[]"
        } else {
            """[{"name":"$model","version":$loadedVersion}]"""
        }

    /** Start of this instance in Unix milliseconds. */
    val startedAtMillis: Long get() = startMillis

    /** Corrupts one staged piece. */
    fun corruptStagedPiece() {
        staged.computeIfPresent(staged.keys.firstOrNull() ?: return) { _, bytes ->
            bytes.copyOf().also { it[0] = (it[0] + 1).toByte() }
        }
    }

    private fun report(exchange: HttpExchange) {
        val text = """{"models":$modelsJson,"busy":${loadingVersion > 0},""" +
            """"sequence":$orderSequence,"waiting":0,"running":${running.get()},""" +
            """"born":$startMillis}"""
        exchange.respond(OK, text.encodeToByteArray(), "Content-Type" to "application/json")
    }

    private fun stage(exchange: HttpExchange) {
        val index = exchange.queryValue("number")?.toInt() ?: 0
        staged[index] = exchange.requestBody.readBytes()
        exchange.respond(OK, ByteArray(0))
    }

    private fun readStaged(exchange: HttpExchange) {
        val index = exchange.queryValue("number")?.toInt()
        if (index == null) {
            exchange.respond(OK, """{"held":${staged.keys.sorted()}}""".encodeToByteArray())
            return
        }
        val bytes = staged[index]
        if (bytes == null) {
            exchange.respond(NOT_FOUND, ByteArray(0))
        } else {
            exchange.respond(OK, bytes)
        }
    }

    private fun order(exchange: HttpExchange) {
        val order = Json.parseToJsonElement(exchange.requestBody.readBytes().decodeToString())
            .jsonObject
        val version = order.getValue("version").jsonPrimitive.long
        val expected = order["precondition"]?.jsonPrimitive?.long
        val status = synchronized(lock) { startLoad(version, expected) }
        exchange.respond(status, ByteArray(0))
    }

    private fun startLoad(version: Long, expected: Long?): Int {
        if (version == loadedVersion || version == loadingVersion) return OK
        if (loadingVersion > 0 || (expected != null && expected != orderSequence)) return CONFLICT
        orderSequence++
        loadingVersion = version
        loadedVersion = 0
        loadObserver.onLoad(version, (0 until PIECES).mapNotNull { pieceFault(version, it) })
        thread(isDaemon = true) {
            Thread.sleep(LOAD_MILLIS)
            synchronized(lock) {
                loadedVersion = version
                loadingVersion = 0
            }
        }
        return ACCEPTED
    }

    private fun pieceFault(version: Long, index: Int): String? {
        val bytes = staged[index] ?: return "$index is missing"
        if (bytes.contentEquals(weightPiece(version, index))) return null
        val other = (1..version).firstOrNull { bytes.contentEquals(weightPiece(it, index)) }
        return other?.let { "$index is of version $it" } ?: "$index is corrupt"
    }

    private fun stream(exchange: HttpExchange) {
        val version = loadedVersion
        val isOtherVersion = version != (exchange.header("X-Expected-Version")?.toLong() ?: version)
        if (!exchange.targetsInstance(name) || version == 0L || isOtherVersion) {
            exchange.respondNotExecuted(if (version == 0L) UNAVAILABLE else MISDIRECTED)
            return
        }
        val request = exchange.receivedRequest()
        runObserver.onRun(request, version)
        running.incrementAndGet()
        try {
            writeEvents(exchange, request.id, version)
        } finally {
            running.decrementAndGet()
        }
    }

    private fun writeEvents(exchange: HttpExchange, id: String, version: Long) {
        exchange.responseHeaders.add("Content-Type", "text/event-stream")
        exchange.responseHeaders.add(SIGNATURE_HEADER, "$name.${System.nanoTime()}")
        exchange.responseHeaders.add(REQUEST_ID_HEADER, id)
        exchange.responseHeaders.add(WEIGHT_VERSION_HEADER, version.toString())
        exchange.sendResponseHeaders(OK, 0)
        val first = (exchange.header("Last-Event-Id")?.toInt() ?: 0) + 1
        for (number in first..STREAM_EVENTS) {
            // A load aborts running streams without terminating the response.
            if (loadedVersion != version) throw IOException("stream aborted by a weight load")
            Thread.sleep(EVENT_MILLIS)
            val event = "id: $number\ndata: $id $number\n\n"
            exchange.responseBody.write(event.encodeToByteArray())
            exchange.responseBody.flush()
        }
    }
}
