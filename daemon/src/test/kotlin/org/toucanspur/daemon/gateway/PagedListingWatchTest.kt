package org.toucanspur.daemon.gateway

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.util.TreeMap
import kotlin.random.Random
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.core.platform.HttpCall
import org.toucanspur.core.platform.HttpCaller
import org.toucanspur.core.platform.HttpFailure
import org.toucanspur.core.platform.HttpReply
import org.toucanspur.core.platform.ObjectChange
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.core.platform.StoredObject
import org.toucanspur.platform.PlatformStore

private const val PAGE_ITEMS = 2
private const val WAIT_MILLIS = 1000L

/** A store that lists two objects a page and calls [afterPage] after each page has been read. */
private class PagedStore(private val afterPage: PagedStore.(page: Int) -> Unit) : HttpCaller {
    private class Event(val revision: Long, val name: String, val text: String?)

    private val objects = TreeMap<String, Event>()
    private val history = mutableListOf<Event>()
    private var revision = 0L
    private var pages = 0

    /** Whether no watch finds the history that it needs. */
    var isHistoryGone = false
    var calls = 0
        private set

    fun put(name: String, state: String) {
        val event = Event(++revision, name, """{"state":"$state"}""")
        objects[name] = event
        history += event
    }

    fun remove(name: String) {
        objects -= name
        history += Event(++revision, name, null)
    }

    override suspend fun call(call: HttpCall): Result<HttpReply, HttpFailure> {
        calls++
        val query = call.target.substringAfter('?', "").split('&').filter { it.isNotEmpty() }
            .associate { it.substringBefore('=') to it.substringAfter('=') }
        val watched = query["watch"]?.toLong()
        if (watched != null && isHistoryGone) return Ok(HttpReply(410, ByteArray(0), emptyMap()))
        val body = if (watched == null) list(query["after"]) else watch(watched, query)
        return Ok(HttpReply(200, body.encodeToByteArray(), emptyMap()))
    }

    private fun list(after: String?): String {
        val rest = if (after == null) objects else objects.tailMap(after, false)
        val items = rest.values.take(PAGE_ITEMS).joinToString(",", transform = ::json)
        val hasMore = rest.size > PAGE_ITEMS
        val body = """{"items":[$items],"more":$hasMore,"store-revision":$revision}"""
        afterPage(++pages)
        return body
    }

    private suspend fun watch(after: Long, query: Map<String, String>): String {
        var events = history.filter { it.revision > after }
        if (events.isEmpty()) {
            delay(query.getValue("wait-ms").toLong())
            events = history.filter { it.revision > after }
        }
        val changes = events.joinToString(",") {
            """{"object":${json(it)},"removed":${it.text == null}}"""
        }
        return """{"events":[$changes],"store-revision":$revision}"""
    }

    private fun json(event: Event) =
        """{"metadata":{"name":"${event.name}","revision":${event.revision}},""" +
            """"specification":${event.text}}"""
}

/** Keeps the objects as an entry does, and counts how often each was changed. */
private class KnownObjects : ObjectWatchListener {
    val states = TreeMap<String, String>()
    val changes = mutableListOf<String>()

    override fun onListing(objects: List<StoredObject>, unseenSince: ClockReading) {
        states.clear()
        objects.forEach { states[it.name] = it.text.orEmpty() }
    }

    override fun onChanges(changes: List<ObjectChange>, unseenSince: ClockReading) =
        changes.forEach {
            this.changes += it.stored.name
            if (it.isRemoved) {
                states -= it.stored.name
            } else {
                states[it.stored.name] = it.stored.text.orEmpty()
            }
        }
}

private suspend fun TestScope.watch(store: PagedStore, millis: Long = 500): KnownObjects {
    val known = KnownObjects()
    val watcher = ObjectWatcher(
        PlatformStore(store, "h:1"),
        ObjectKind.ENDPOINTS,
        WAIT_MILLIS,
        { ClockReading(testScheduler.currentTime, testScheduler.currentTime) },
        Random(1),
        known
    )
    val job = backgroundScope.launch { watcher.run() }
    advanceTimeBy(millis)
    job.cancel()
    return known
}

private fun storeOfFour(betweenPages: PagedStore.() -> Unit) =
    PagedStore { page -> if (page == 1) betweenPages() }.apply {
        listOf("a", "b", "c", "d").forEach { put(it, "ready") }
    }

class PagedListingWatchTest :
    DescribeSpec({
        describe("a change between two pages of a listing") {
            // Guards against endpoints that leave while an entry lists them in pages: it never
            // learned of it, and sent them requests until their records were removed.
            it("is delivered if it is on a page that was read before") {
                runTest {
                    val known = watch(
                        storeOfFour {
                            put("a", "draining")
                            remove("b")
                            put("aa", "ready")
                        }
                    )
                    known.states.mapValues { it.value.contains("ready") } shouldBe
                        mapOf("a" to false, "aa" to true, "c" to true, "d" to true)
                }
            }
            it("is not delivered again if it is on a page that was read after it") {
                runTest {
                    val known = watch(
                        storeOfFour {
                            put("c", "draining")
                            remove("d")
                            put("d", "ready")
                            put("a", "draining")
                        }
                    )
                    known.changes shouldContainExactly listOf("a")
                    known.states.filterValues { it.contains("ready") }.keys shouldBe
                        setOf("b", "d")
                }
            }
        }
        // Guards against calls without a pause to a store that discards its history at once.
        it("pauses between listings whose history is gone when their pages have been read") {
            runTest {
                val store = storeOfFour {}
                store.isHistoryGone = true
                watch(store, millis = 1000)
                store.calls shouldBeLessThan 40
            }
        }
    })
