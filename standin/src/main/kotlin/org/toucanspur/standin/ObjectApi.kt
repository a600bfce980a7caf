/*
 * Stand-in for the platform's object API: versions, conditional updates and watches over HTTP.
 * Outages, latency and lost responses can be simulated.
 */
package org.toucanspur.standin

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.toucanspur.schema.ObjectRecord

/** Simulated fault of the object API. */
enum class ObjectApiFault { NONE, DOWN, LOSE_WRITE_RESPONSES }

/** The object API on a loopback port. */
class ObjectApi {
    private val objects = ConcurrentHashMap<String, ObjectRecord>()
    private val versions = AtomicLong(0)
    private val changes = MutableStateFlow(0L)
    private val server = StandInServer {
        get("/objects") { list(call) }
        get("/objects/{key...}") { read(call) }
        put("/objects/{key...}") { write(call) }
    }

    /** Active fault. */
    @Volatile
    var fault = ObjectApiFault.NONE

    /** Delay before each response. */
    @Volatile
    var delayMillis = 0L

    /** Number of calls; a long-polling watch counts once. */
    val calls = AtomicLong(0)

    /** Number of successful writes. */
    val writes = AtomicLong(0)

    /** Base URL. */
    val url: String get() = server.url

    /** Starts listening. */
    suspend fun start() = server.start()

    /** Stops listening. */
    fun stop() = server.stop()

    private suspend fun refuseIfDown(call: ApplicationCall): Boolean {
        calls.incrementAndGet()
        if (delayMillis > 0) delay(delayMillis)
        if (fault != ObjectApiFault.DOWN) return false
        call.respondText("down\n", status = HttpStatusCode.ServiceUnavailable)
        return true
    }

    private suspend fun list(call: ApplicationCall) {
        if (refuseIfDown(call)) return
        val prefix = call.request.queryParameters["prefix"].orEmpty()
        val found = objects.values.filter { it.key.startsWith(prefix) }.sortedBy { it.key }
        val text = Json.encodeToString(ListSerializer(ObjectRecord.serializer()), found)
        call.respondText(text, ContentType.Application.Json)
    }

    private suspend fun read(call: ApplicationCall) {
        if (refuseIfDown(call)) return
        val key = keyOf(call)
        val above = call.request.queryParameters["aboveVersion"]?.toLongOrNull()
        val waitMillis = call.request.queryParameters["waitMillis"]?.toLongOrNull() ?: 0
        if (above != null) {
            withTimeoutOrNull(waitMillis) {
                changes.first {
                    (objects[key]?.version ?: 0) > above || fault == ObjectApiFault.DOWN
                }
            }
        }
        val record = objects[key]
        when {
            fault == ObjectApiFault.DOWN -> call.respondText(
                "down\n",
                status = HttpStatusCode.ServiceUnavailable
            )
            above != null && (record?.version ?: 0) <= above ->
                call.respondText("", status = HttpStatusCode.NotModified)
            record == null -> call.respondText("no such object\n", status = HttpStatusCode.NotFound)
            else -> respondRecord(call, record)
        }
    }

    private suspend fun respondRecord(call: ApplicationCall, record: ObjectRecord) {
        call.response.header(HttpHeaders.ETag, "\"${record.version}\"")
        call.respondText(record.value, ContentType.Application.Json)
    }

    private suspend fun write(call: ApplicationCall) {
        if (refuseIfDown(call)) return
        val expected = call.request.headers[HttpHeaders.IfMatch]?.trim('"')?.toLongOrNull() ?: 0
        val written = put(keyOf(call), call.receiveText(), expected)
        when {
            written == null -> call.respondText(
                "version does not match\n",
                status = HttpStatusCode.PreconditionFailed
            )
            fault == ObjectApiFault.LOSE_WRITE_RESPONSES ->
                call.respondText("response lost\n", status = HttpStatusCode.GatewayTimeout)
            else -> {
                call.response.header(HttpHeaders.ETag, "\"${written.version}\"")
                call.respondText("")
            }
        }
    }

    private fun put(key: String, value: String, expected: Long): ObjectRecord? {
        var written: ObjectRecord? = null
        objects.compute(key) { _, current ->
            if ((current?.version ?: 0) == expected) {
                written = ObjectRecord(key, versions.incrementAndGet(), value)
                written
            } else {
                current
            }
        }
        if (written != null) {
            writes.incrementAndGet()
            synchronized(changes) { changes.value++ }
        }
        return written
    }

    private fun keyOf(call: ApplicationCall): String =
        call.parameters.getAll("key").orEmpty().joinToString("/")
}
