/*
 * Stand-in for a model engine of the platform: a staged copy, loads by order, and streams that may
 * resume after an event.
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

/** Events of each stream. */
const val STREAM_EVENTS = 15

/** Notes what an engine loads. */
fun interface LoadObserver {
    /** The engine begins to load [version] from a copy in which the pieces [wrong] are wrong. */
    fun onLoad(version: Long, wrong: List<String>)
}

/** The engine [name], which serves [loaded] at its start; 0 for no weights. */
class ModelEngineService(
    private val name: String,
    private val model: String,
    loaded: Long,
    private val runs: RunObserver,
    private val loads: LoadObserver
) : LoopbackService() {
    private val bornMillis = System.currentTimeMillis()
    private val staged = ConcurrentHashMap<Int, ByteArray>()
    private val running = AtomicInteger()
    private val lock = Any()

    /** Version that requests run on, 0 for none. */
    @Volatile
    var loadedVersion = loaded
        private set

    @Volatile
    private var loadingVersion = 0L

    @Volatile
    private var orders = 0L

    init {
        if (loaded > 0) repeat(PIECES) { staged[it] = weightPiece(loaded, it) }
        handle("/v1/report", ::report)
        handle("/v1/stage-put/") { stage(it) }
        handle("/v1/stage-get/", ::readStaged)
        handle("/v1/order", ::order)
        handle("/stream/", ::stream)
        listen()
    }

    /** What the platform's list says of the weights. */
    val modelsJson: String
        get() = if (loadedVersion ==
            0L
        ) {
            "[]"
        } else {
            """[{"name":"$model","version":$loadedVersion}]"""
        }

    /** Start of this life in Unix milliseconds. */
    val startedAtMillis: Long get() = bornMillis

    /** Turns a staged piece bad. */
    fun spoilStaged() {
        staged.computeIfPresent(staged.keys.firstOrNull() ?: return) { _, bytes ->
            bytes.copyOf().also { it[0] = (it[0] + 1).toByte() }
        }
    }

    private fun report(exchange: HttpExchange) {
        val text = """{"models":$modelsJson,"busy":${loadingVersion > 0},"sequence":$orders,""" +
            """"waiting":0,"running":${running.get()},"born":$bornMillis}"""
        exchange.answer(OK, text.encodeToByteArray(), "Content-Type" to "application/json")
    }

    private fun stage(exchange: HttpExchange) {
        val index = exchange.queryValue("number")?.toInt() ?: 0
        staged[index] = exchange.requestBody.readBytes()
        exchange.answer(OK, ByteArray(0))
    }

    private fun readStaged(exchange: HttpExchange) {
        val index = exchange.queryValue("number")?.toInt()
        if (index == null) {
            exchange.answer(OK, """{"held":${staged.keys.sorted()}}""".encodeToByteArray())
            return
        }
        val bytes = staged[index]
        if (bytes == null) {
            exchange.answer(NOT_FOUND, ByteArray(0))
        } else {
            exchange.answer(OK, bytes)
        }
    }

    private fun order(exchange: HttpExchange) {
        val order = Json.parseToJsonElement(exchange.requestBody.readBytes().decodeToString())
            .jsonObject
        val version = order.getValue("version").jsonPrimitive.long
        val expected = order["precondition"]?.jsonPrimitive?.long
        val status = synchronized(lock) { begin(version, expected) }
        exchange.answer(status, ByteArray(0))
    }

    private fun begin(version: Long, expected: Long?): Int {
        if (version == loadedVersion || version == loadingVersion) return OK
        if (loadingVersion > 0 || (expected != null && expected != orders)) return CONFLICT
        orders++
        loadingVersion = version
        loadedVersion = 0
        loads.onLoad(version, (0 until PIECES).mapNotNull { faultOf(version, it) })
        thread(isDaemon = true) {
            Thread.sleep(LOAD_MILLIS)
            synchronized(lock) {
                loadedVersion = version
                loadingVersion = 0
            }
        }
        return ACCEPTED
    }

    private fun faultOf(version: Long, index: Int): String? {
        val bytes = staged[index] ?: return "$index is missing"
        if (bytes.contentEquals(weightPiece(version, index))) return null
        val other = (1..version).firstOrNull { bytes.contentEquals(weightPiece(it, index)) }
        return other?.let { "$index is of version $it" } ?: "$index is spoilt"
    }

    private fun stream(exchange: HttpExchange) {
        val version = loadedVersion
        val isBehind = version < (exchange.header("X-Expected-Version")?.toLong() ?: 0)
        if (!exchange.isFor(name) || version == 0L || isBehind) {
            exchange.answerNotRun(if (version == 0L) UNAVAILABLE else MISDIRECTED)
            return
        }
        val arrival = exchange.arrival()
        runs.onRun(arrival, version)
        running.incrementAndGet()
        try {
            write(exchange, arrival.id, version)
        } finally {
            running.decrementAndGet()
        }
    }

    private fun write(exchange: HttpExchange, id: String, version: Long) {
        exchange.responseHeaders.add("Content-Type", "text/event-stream")
        exchange.responseHeaders.add(SEAL_HEADER, "$name.${System.nanoTime()}")
        exchange.responseHeaders.add(REQUEST_ID_HEADER, id)
        exchange.sendResponseHeaders(OK, 0)
        val first = (exchange.header("Last-Event-Id")?.toInt() ?: 0) + 1
        for (number in first..STREAM_EVENTS) {
            // A load cuts the streams that run, without an end of the answer.
            if (loadedVersion != version) throw IOException("cut by a load")
            Thread.sleep(EVENT_MILLIS)
            val event = "id: $number\ndata: $id $number\n\n"
            exchange.responseBody.write(event.encodeToByteArray())
            exchange.responseBody.flush()
        }
    }
}
