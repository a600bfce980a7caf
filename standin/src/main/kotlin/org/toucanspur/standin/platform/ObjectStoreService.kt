/*
 * Stand-in for the users' platform store: objects by kind with one revision counter, listings and
 * waiting watches, with switches for outages and a lost history.
 */
package org.toucanspur.standin.platform

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.net.InetSocketAddress
import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlinx.serialization.json.Json

private const val OK = 200
private const val GONE = 410
private const val UNAVAILABLE = 503

private class Change(val revision: Long, val kind: String, val name: String, val isRemoved: Boolean)

/** The store on a loopback port. */
class ObjectStoreService : AutoCloseable {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val objects = HashMap<String, LinkedHashMap<String, String>>()
    private val history = ArrayList<Change>()
    private var revision = 1L
    private var firstRevision = 1L
    private val workers: ExecutorService = Executors.newCachedThreadPool { task ->
        Thread(task).apply { isDaemon = true }
    }
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)

    /** Whether all calls are turned away. */
    @Volatile
    var isDown = false

    /** HOST:PORT of the store. */
    val address: String get() = "127.0.0.1:${server.address.port}"

    init {
        server.executor = workers
        server.createContext("/v1/objects/", ::serve)
        server.start()
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

    private fun serve(exchange: HttpExchange) = exchange.use {
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

    private fun answer(exchange: HttpExchange, status: Int, body: String) {
        val bytes = body.encodeToByteArray()
        exchange.responseHeaders.add("Content-Type", "application/json")
        exchange.sendResponseHeaders(status, bytes.size.toLong())
        exchange.responseBody.write(bytes)
    }

    override fun close() {
        server.stop(0)
        workers.shutdownNow()
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
