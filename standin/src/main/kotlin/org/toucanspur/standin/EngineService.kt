/*
 * Stand-in for a model engine: loads releases on order, streams completions, resumes them at an
 * offset, bears a limited number of requests and falls over beyond it.
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

/** How an engine behaves. */
data class EngineBehaviour(
    val capacity: Int,
    val firstTokenMillis: Long = 5,
    val tokenMillis: Long = 1,
    val honoursFencing: Boolean = true,
    val loadMillis: Long = 50
)

/** A model engine on loopback. */
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
    private val life = AtomicLong(1)
    private var highestFencing = 0L

    /** Release that is loaded. */
    @Volatile
    var loaded: String? = null

    /** Releases that were loaded from chunks that do not match their digests. */
    val mixedLoads = AtomicInteger(0)

    /** Requests that were sent beyond what the engine bears. */
    val overLimit = AtomicInteger(0)

    /** Most requests at once. */
    val peak = AtomicInteger(0)

    /** Crashes so far. */
    val crashes = AtomicInteger(0)

    /** Answers begun. */
    val started = AtomicInteger(0)

    /** Completed answers. */
    val completed = AtomicInteger(0)

    /** Answers that were broken off by the agent. */
    val cancelled = AtomicInteger(0)

    /** Releases whose loading fails. */
    @Volatile
    var badRelease: String? = null

    /** Base URL. */
    val url: String get() = server.url

    /** Starts to listen. */
    suspend fun start() = server.start()

    /** Stops for good. */
    fun stop() {
        scope.cancel()
        server.stop()
        http.close()
    }

    /** Crashes and comes back without weights. */
    fun crash() {
        crashes.incrementAndGet()
        life.incrementAndGet()
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
            """{"life":${life.get()},"loaded":$digest}""",
            ContentType.Application.Json
        )
    }

    private suspend fun load(call: ApplicationCall) {
        val order = Json.parseToJsonElement(call.receiveText()).jsonObject
        val release = order.getValue("release").jsonPrimitive.content
        val fencing = order.getValue("fencing").jsonPrimitive.long
        val source = order.getValue("source").jsonPrimitive.content
        if (behaviour.honoursFencing && fencing < highestFencing) {
            call.respondText("old fencing number\n", status = HttpStatusCode.Conflict)
            return
        }
        highestFencing = maxOf(highestFencing, fencing)
        if (loaded == release) {
            call.respondText("already loaded\n")
            return
        }
        loaded = null
        delay(behaviour.loadMillis)
        if (release == badRelease) {
            call.respondText("release does not load\n", status = HttpStatusCode.UnprocessableEntity)
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
        if (!isConsistent) mixedLoads.incrementAndGet()
        return release.takeIf { isConsistent }
    }

    private suspend fun complete(call: ApplicationCall) {
        val request = ChatRequest(call.receiveText())
        if (request.isPoison) {
            crash()
            delay(RESTART_MILLIS)
        }
        if (loaded == null) {
            call.respondText("nothing loaded\n", status = HttpStatusCode.ServiceUnavailable)
            return
        }
        started.incrementAndGet()
        val now = running.incrementAndGet()
        peak.accumulateAndGet(now, ::maxOf)
        if (now > behaviour.capacity) overLimit.incrementAndGet()
        val place = Place()
        try {
            delay(behaviour.firstTokenMillis)
            if (request.isStreamed) stream(call, request, place) else whole(call, request, place)
            completed.incrementAndGet()
        } finally {
            if (!place.isLeft) cancelled.incrementAndGet()
            place.leave()
        }
    }

    // A request leaves the batch with its last token, before the caller has read it.
    private inner class Place {
        var isLeft = false
            private set

        fun leave() {
            if (!isLeft) running.decrementAndGet()
            isLeft = true
        }
    }

    private suspend fun whole(call: ApplicationCall, request: ChatRequest, place: Place) {
        delay(behaviour.tokenMillis * request.tokens)
        place.leave()
        call.respondText(request.whole(), ContentType.Application.Json)
    }

    private suspend fun stream(call: ApplicationCall, request: ChatRequest, place: Place) {
        var skip = call.request.headers[RESUME_OFFSET_HEADER]?.toLongOrNull() ?: 0
        call.respondBytesWriter(ContentType.Text.EventStream) {
            for (index in 0..request.tokens) {
                val event = request.event(index).encodeToByteArray()
                if (skip >= event.size) {
                    skip -= event.size
                    continue
                }
                if (index == request.tokens) place.leave()
                writeFully(event, skip.toInt(), event.size)
                skip = 0
                flush()
                if (behaviour.tokenMillis > 0) delay(behaviour.tokenMillis)
            }
        }
    }
}
