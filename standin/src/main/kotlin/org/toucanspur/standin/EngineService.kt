/*
 * Stand-in for a model engine: loads releases on request, streams completions, resumes them at a
 * byte offset, counts requests beyond its capacity and crashes on a poison request.
 */
package org.toucanspur.standin

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.client.statement.readRawBytes
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.utils.io.writeFully
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.toucanspur.core.weights.Manifest
import org.toucanspur.core.weights.hasDigest
import org.toucanspur.core.weights.splitManifest

private const val RESTART_MILLIS = 300L
private const val RESUME_OFFSET_HEADER = "Toucanspur-Resume-Offset"

/** Capacity, latencies and fencing behaviour of an engine. */
data class EngineBehaviour(
    val capacity: Int,
    val firstTokenMillis: Long = 5,
    val tokenMillis: Long = 1,
    val honoursFencing: Boolean = true,
    val loadMillis: Long = 50
)

/** A model engine on a loopback port. */
class EngineService(private val behaviour: EngineBehaviour) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val http = HttpClient(CIO)
    private val server = StandInServer {
        get("/health") { call.respondText("ok\n") }
        get("/admin/status") { status(call) }
        post("/admin/load") { load(call) }
        post("/v1/chat/completions") { complete(call) }
    }
    private val running = AtomicInteger(0)
    private val incarnation = AtomicLong(1)
    private var highestFencingNumber = 0L

    /** Digest of the loaded release, or null when none is loaded. */
    @Volatile
    var loaded: String? = null

    /** Load attempts in which the manifest or a chunk did not match its digest. */
    val inconsistentLoads = AtomicInteger(0)

    /** Requests that arrived while the engine was at its capacity. */
    val overLimit = AtomicInteger(0)

    /** Highest number of concurrent requests. */
    val peak = AtomicInteger(0)

    /** Crashes so far. */
    val crashes = AtomicInteger(0)

    /** Requests that the engine began to process. */
    val started = AtomicInteger(0)

    /** Responses that were written completely. */
    val completed = AtomicInteger(0)

    /** Requests that ended before their last token was generated. */
    val cancelled = AtomicInteger(0)

    /** Digest of the release that fails to load, or null for none. */
    @Volatile
    var badRelease: String? = null

    /** Base URL. */
    val url: String get() = server.url

    /** Starts listening. */
    suspend fun start() = server.start()

    /** Stops the server and releases all resources. */
    fun stop() {
        scope.cancel()
        server.stop()
        http.close()
    }

    /** Simulates a crash: restarts after a delay, without loaded weights. */
    fun crash() {
        crashes.incrementAndGet()
        incarnation.incrementAndGet()
        loaded = null
        scope.launch {
            server.stop()
            delay(RESTART_MILLIS)
            running.set(0)
            server.start()
        }
    }

    private suspend fun status(call: ApplicationCall) {
        val digest = loaded?.let { "\"$it\"" } ?: "null"
        call.respondText(
            """{"life":${incarnation.get()},"loaded":$digest}""",
            ContentType.Application.Json
        )
    }

    private suspend fun load(call: ApplicationCall) {
        val loadRequest = Json.parseToJsonElement(call.receiveText()).jsonObject
        val release = loadRequest.getValue("release").jsonPrimitive.content
        val fencing = loadRequest.getValue("fencing").jsonPrimitive.long
        val source = loadRequest.getValue("source").jsonPrimitive.content
        if (behaviour.honoursFencing && fencing < highestFencingNumber) {
            call.respondText("fencing number is outdated\n", status = HttpStatusCode.Conflict)
            return
        }
        highestFencingNumber = maxOf(highestFencingNumber, fencing)
        if (loaded == release) {
            call.respondText("already loaded\n")
            return
        }
        loaded = null
        delay(behaviour.loadMillis)
        if (release == badRelease) {
            call.respondText("release is unloadable\n", status = HttpStatusCode.UnprocessableEntity)
            return
        }
        loaded = fetchAndVerify(release, source)
        call.respondText("loaded\n")
    }

    private suspend fun fetchAndVerify(release: String, source: String): String? {
        val manifest = Json.decodeFromString<Manifest>(
            http.get("$source/releases/$release").bodyAsText()
        )
        val isConsistent = splitManifest(manifest).root.value == release &&
            manifest.distinctChunks().all { chunk ->
                hasDigest(http.get("$source/chunks/${chunk.digest}").readRawBytes(), chunk.digest)
            }
        if (!isConsistent) inconsistentLoads.incrementAndGet()
        return release.takeIf { isConsistent }
    }

    private suspend fun complete(call: ApplicationCall) {
        val request = ChatRequest(call.receiveText())
        if (request.isPoison) {
            crash()
            delay(RESTART_MILLIS)
        }
        if (loaded == null) {
            call.respondText("no release loaded\n", status = HttpStatusCode.ServiceUnavailable)
            return
        }
        started.incrementAndGet()
        val concurrent = running.incrementAndGet()
        peak.accumulateAndGet(concurrent, ::maxOf)
        if (concurrent > behaviour.capacity) overLimit.incrementAndGet()
        val slot = BatchSlot()
        try {
            delay(behaviour.firstTokenMillis)
            if (request.isStreamed) stream(call, request, slot) else respond(call, request, slot)
            completed.incrementAndGet()
        } finally {
            if (!slot.isFreed) cancelled.incrementAndGet()
            slot.free()
        }
    }

    // A request frees its slot in the batch at its last token, before the caller has read it.
    private inner class BatchSlot {
        var isFreed = false
            private set

        fun free() {
            if (!isFreed) running.decrementAndGet()
            isFreed = true
        }
    }

    private suspend fun respond(call: ApplicationCall, request: ChatRequest, slot: BatchSlot) {
        delay(behaviour.tokenMillis * request.tokens)
        slot.free()
        call.respondText(request.completionJson(), ContentType.Application.Json)
    }

    private suspend fun stream(call: ApplicationCall, request: ChatRequest, slot: BatchSlot) {
        var skip = call.request.headers[RESUME_OFFSET_HEADER]?.toLongOrNull() ?: 0
        call.respondBytesWriter(ContentType.Text.EventStream) {
            for (index in 0..request.tokens) {
                val event = request.streamEvent(index).encodeToByteArray()
                if (skip >= event.size) {
                    skip -= event.size
                    continue
                }
                if (index == request.tokens) slot.free()
                writeFully(event, skip.toInt(), event.size)
                skip = 0
                flush()
                if (behaviour.tokenMillis > 0) delay(behaviour.tokenMillis)
            }
        }
    }
}
