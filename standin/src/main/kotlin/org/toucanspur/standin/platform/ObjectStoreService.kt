/*
 * Stand-in for the users' platform store: objects by kind with one revision counter, listings and
 * long-polling watches. Outages and compaction of the change history can be simulated.
 */
package org.toucanspur.standin.platform

import com.sun.net.httpserver.HttpExchange
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlinx.serialization.json.Json

private const val GONE = 410

private class Change(val revision: Long, val kind: String, val name: String, val isRemoved: Boolean)

/** The object store on a loopback port. */
class ObjectStoreService : LoopbackService() {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val objects = HashMap<String, LinkedHashMap<String, String>>()
    private val history = ArrayList<Change>()
    private var revision = 1L
    private var firstRevision = 1L

    /** Whether all calls are refused with status 503. */
    @Volatile
    var isDown = false

    init {
        handle("/v1/objects/", ::handleCall)
        listen()
    }

    /** Creates or replaces an object; [content] is JSON. */
    fun put(kind: String, name: String, content: String) = change(kind, name, isRemoved = false) {
        it[name] = content
    }

    /** Removes an object. */
    fun remove(kind: String, name: String) = change(kind, name, isRemoved = true) {
        it.remove(name)
    }

    /** Discards the change history, so that watches from older revisions fail and must relist. */
    fun compact() = lock.withLock {
        history.clear()
        firstRevision = revision + 1
        changed.signalAll()
    }

    private fun change(
        kind: String,
        name: String,
        isRemoved: Boolean,
        update: (LinkedHashMap<String, String>) -> Unit
    ) = lock.withLock {
        update(objects.getOrPut(kind) { LinkedHashMap() })
        revision++
        history += Change(revision, kind, name, isRemoved)
        changed.signalAll()
    }

    private fun handleCall(exchange: HttpExchange) {
        val kind = exchange.requestURI.path.substringAfterLast('/')
        val query = exchange.requestURI.query.orEmpty().split('&')
            .filter { '=' in it }
            .associate { it.substringBefore('=') to it.substringAfter('=') }
        val watch = query["watch"]?.toLong()
        when {
            isDown -> respond(exchange, UNAVAILABLE, "{}")
            watch == null -> respond(exchange, OK, lock.withLock { listingJson(kind) })
            else -> awaitChanges(exchange, kind, watch, query["wait-ms"]?.toLong() ?: 0)
        }
    }

    private fun awaitChanges(exchange: HttpExchange, kind: String, after: Long, waitMillis: Long) {
        val body = lock.withLock {
            var leftNanos = waitMillis * NANOS_PER_MILLI
            while (after + 1 >= firstRevision && changes(kind, after).isEmpty() && leftNanos > 0) {
                leftNanos = changed.awaitNanos(leftNanos)
            }
            if (after + 1 < firstRevision) null else eventsJson(kind, after)
        }
        if (body == null) respond(exchange, GONE, "{}") else respond(exchange, OK, body)
    }

    private fun changes(kind: String, after: Long) =
        history.filter { it.kind == kind && it.revision > after }

    private fun eventsJson(kind: String, after: Long): String {
        val events = changes(kind, after).joinToString(",") {
            """{"removed":${it.isRemoved},"object":${objectJson(kind, it.name)}}"""
        }
        return """{"events":[$events],"store-revision":$revision}"""
    }

    private fun listingJson(kind: String): String {
        val items = objects[kind].orEmpty().keys.joinToString(",") { objectJson(kind, it) }
        return """{"items":[$items],"more":false,"store-revision":$revision}"""
    }

    private fun objectJson(kind: String, name: String): String {
        val content = objects[kind]?.get(name) ?: "null"
        val quoted = Json.encodeToString(name)
        return """{"metadata":{"name":$quoted,"revision":$revision},""" +
            """"specification":$content,"status":null}"""
    }

    private fun respond(exchange: HttpExchange, status: Int, body: String) =
        exchange.respond(status, body.encodeToByteArray(), "Content-Type" to "application/json")

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
