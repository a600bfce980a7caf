/*
 * Stand-in for the users' platform store: objects by kind with one revision counter, listings and
 * waiting watches, with switches for outages and a lost history.
 */
package org.toucanspur.standin.platform

import com.sun.net.httpserver.HttpExchange
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlinx.serialization.json.Json

private const val GONE = 410

private class Change(val revision: Long, val kind: String, val name: String, val isRemoved: Boolean)

/** The store on a loopback port. */
class ObjectStoreService : LoopbackService() {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val objects = HashMap<String, LinkedHashMap<String, String>>()
    private val history = ArrayList<Change>()
    private var revision = 1L
    private var firstRevision = 1L

    /** Whether all calls are turned away. */
    @Volatile
    var isDown = false

    init {
        handle("/v1/objects/", ::serve)
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

    /** Drops the history, so that watches have to list again. */
    fun compact() = lock.withLock {
        history.clear()
        firstRevision = revision + 1
        changed.signalAll()
    }

    private fun change(
        kind: String,
        name: String,
        isRemoved: Boolean,
        action: (LinkedHashMap<String, String>) -> Unit
    ) = lock.withLock {
        action(objects.getOrPut(kind) { LinkedHashMap() })
        revision++
        history += Change(revision, kind, name, isRemoved)
        changed.signalAll()
    }

    private fun serve(exchange: HttpExchange) {
        val kind = exchange.requestURI.path.substringAfterLast('/')
        val query = exchange.requestURI.query.orEmpty().split('&')
            .filter { '=' in it }
            .associate { it.substringBefore('=') to it.substringAfter('=') }
        val watch = query["watch"]?.toLong()
        when {
            isDown -> answer(exchange, UNAVAILABLE, "{}")
            watch == null -> answer(exchange, OK, lock.withLock { listing(kind) })
            else -> watch(exchange, kind, watch, query["wait-ms"]?.toLong() ?: 0)
        }
    }

    private fun watch(exchange: HttpExchange, kind: String, after: Long, waitMillis: Long) {
        val body = lock.withLock {
            var leftNanos = waitMillis * NANOS_PER_MILLI
            while (after + 1 >= firstRevision && changes(kind, after).isEmpty() && leftNanos > 0) {
                leftNanos = changed.awaitNanos(leftNanos)
            }
            if (after + 1 < firstRevision) null else events(kind, after)
        }
        if (body == null) answer(exchange, GONE, "{}") else answer(exchange, OK, body)
    }

    private fun changes(kind: String, after: Long) =
        history.filter { it.kind == kind && it.revision > after }

    private fun events(kind: String, after: Long): String {
        val events = changes(kind, after).joinToString(",") {
            """{"removed":${it.isRemoved},"object":${item(kind, it.name)}}"""
        }
        return """{"events":[$events],"store-revision":$revision}"""
    }

    private fun listing(kind: String): String {
        val items = objects[kind].orEmpty().keys.joinToString(",") { item(kind, it) }
        return """{"items":[$items],"more":false,"store-revision":$revision}"""
    }

    private fun item(kind: String, name: String): String {
        val content = objects[kind]?.get(name) ?: "null"
        val quoted = Json.encodeToString(name)
        return """{"metadata":{"name":$quoted,"revision":$revision},""" +
            """"specification":$content,"status":null}"""
    }

    private fun answer(exchange: HttpExchange, status: Int, body: String) =
        exchange.answer(status, body.encodeToByteArray(), "Content-Type" to "application/json")

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
