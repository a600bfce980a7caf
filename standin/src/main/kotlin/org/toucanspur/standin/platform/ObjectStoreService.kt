/*
 * Stand-in for the users' platform store: objects by kind with one revision counter, listings in
 * pages and long-polling watches. Single objects can be read, and written under the condition of
 * their revision. Outages, compaction of the change history and a return from an older copy can be
 * simulated.
 */
package org.toucanspur.standin.platform

import com.sun.net.httpserver.HttpExchange
import java.util.TreeMap
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long

private const val GONE = 410
private const val CREATED = 201
private const val NOT_FOUND = 404
private const val CONFLICT = 409

private class Content(val text: String, val revision: Long)

private class Copy(val revision: Long, val objects: Map<String, Map<String, Content>>)

private class Change(val revision: Long, val kind: String, val name: String, val isRemoved: Boolean)

/** The object store on a loopback port; its listings have [pageItems] objects a page at most. */
class ObjectStoreService(private val pageItems: Int = Int.MAX_VALUE) : LoopbackService() {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val objects = HashMap<String, LinkedHashMap<String, Content>>()
    private val history = ArrayList<Change>()
    private var revision = 1L
    private var firstRevision = 1L
    private var era = 1L
    private var copy: Copy? = null
    private val callCounts = TreeMap<String, Int>()

    /** Whether all calls are refused with status 503. */
    @Volatile
    var isDown = false

    init {
        handle("/v1/objects/", ::handleCall)
        listen()
    }

    /** Numbers of calls so far, by kind of object and call; a check is a watch without a wait. */
    fun callCounts(): Map<String, Int> = lock.withLock { TreeMap(callCounts) }

    private fun count(method: String, kind: String, name: String?, query: Map<String, String>) {
        val call = when {
            method != "GET" -> method
            name != null -> "read"
            "watch" !in query -> "list"
            (query["wait-ms"]?.toLong() ?: 0) <= 1 -> "check"
            else -> "watch"
        }
        val suffix = if (query["serializable"] == "1") " stale" else ""
        lock.withLock { callCounts.merge("$kind $call$suffix", 1, Int::plus) }
    }

    /** Creates or replaces an object; [content] is JSON. */
    fun put(kind: String, name: String, content: String) = change(kind, name, isRemoved = false) {
        it[name] = Content(content, revision)
    }

    /** Removes an object. */
    fun remove(kind: String, name: String) = change(kind, name, isRemoved = true) {
        it.remove(name)
    }

    /** Content of an object as JSON; null if there is none. */
    fun content(kind: String, name: String): String? =
        lock.withLock { objects[kind]?.get(name)?.text }

    /** Keeps a copy of all objects for [restore]. */
    fun takeCopy() = lock.withLock {
        copy = Copy(revision, objects.mapValues { LinkedHashMap(it.value) })
    }

    /** Returns to the copy; revisions are assigned again, in the next era. */
    fun restore() = lock.withLock {
        val restored = copy ?: return@withLock
        objects.clear()
        restored.objects.forEach { (kind, items) -> objects[kind] = LinkedHashMap(items) }
        revision = restored.revision
        era++
        compact()
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
        update: (LinkedHashMap<String, Content>) -> Unit
    ) = lock.withLock {
        revision++
        update(objects.getOrPut(kind) { LinkedHashMap() })
        history += Change(revision, kind, name, isRemoved)
        changed.signalAll()
    }

    private fun handleCall(exchange: HttpExchange) {
        val parts = exchange.requestURI.path.removePrefix("/v1/objects/").split('/')
        val kind = parts.first()
        val name = parts.getOrNull(1)
        val query = exchange.requestURI.query.orEmpty().split('&')
            .filter { '=' in it }
            .associate { it.substringBefore('=') to it.substringAfter('=') }
        count(exchange.requestMethod, kind, name, query)
        val watch = query["watch"]?.toLong()
        when {
            isDown -> respond(exchange, UNAVAILABLE, "{}")
            exchange.requestMethod != "GET" -> write(exchange, kind, name)
            name != null -> read(exchange, kind, name)
            watch == null -> list(exchange, kind)
            else -> awaitChanges(exchange, kind, watch, query["wait-ms"]?.toLong() ?: 0)
        }
    }

    private fun list(exchange: HttpExchange, kind: String) {
        val after = exchange.queryValue("after")
        respond(exchange, OK, lock.withLock { pageJson(kind, after) })
    }

    private fun read(exchange: HttpExchange, kind: String, name: String) {
        val body = lock.withLock {
            objectJson(kind, name).takeIf { objects[kind]?.containsKey(name) == true }
        }
        respond(exchange, if (body == null) NOT_FOUND else OK, body ?: "{}")
    }

    // POST creates the object that its metadata name, PUT replaces [name], DELETE removes it.
    private fun write(exchange: HttpExchange, kind: String, name: String?) {
        val text = exchange.requestBody.readBytes().decodeToString()
        val item = if (text.isEmpty()) JsonObject(emptyMap()) else Json.parseToJsonElement(text)
        val metadata = item.jsonObject["metadata"]?.jsonObject
        val expected = metadata?.get("revision")?.jsonPrimitive?.long
        val target = name ?: metadata?.get("name")?.jsonPrimitive?.content.orEmpty()
        lock.withLock {
            val current = objects[kind]?.get(target)
            val method = exchange.requestMethod
            val isConflict = if (method == "POST") {
                current != null
            } else {
                expected != null && current != null && expected != current.revision
            }
            val status = when {
                isConflict -> CONFLICT
                method == "POST" -> CREATED
                current == null -> NOT_FOUND
                else -> OK
            }
            if (status == OK && method == "DELETE") {
                remove(kind, target)
            } else if (status == OK || status == CREATED) {
                put(kind, target, item.jsonObject["specification"].toString())
            }
            status to objectJson(kind, target)
        }.let { (status, body) -> respond(exchange, status, body) }
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

    // The page with the names that follow [after]; null for the first one.
    private fun pageJson(kind: String, after: String?): String {
        val names = objects[kind].orEmpty().keys.filter { after == null || it > after }.sorted()
        val items = names.take(pageItems).joinToString(",") { objectJson(kind, it) }
        val hasMore = names.size > pageItems
        return """{"items":[$items],"more":$hasMore,"store-revision":$revision}"""
    }

    private fun objectJson(kind: String, name: String): String {
        val content = objects[kind]?.get(name)
        val quoted = Json.encodeToString(name)
        return """{"metadata":{"name":$quoted,"revision":${content?.revision ?: revision}},""" +
            """"specification":${content?.text},"status":null}"""
    }

    private fun respond(exchange: HttpExchange, status: Int, body: String) = exchange.respond(
        status,
        body.encodeToByteArray(),
        "Content-Type" to "application/json",
        "Store-Era" to era.toString()
    )

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
