package org.toucanspur.daemon.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
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
import org.toucanspur.core.platform.HttpFailure.TooLarge
import org.toucanspur.core.platform.HttpReply
import org.toucanspur.core.platform.ObjectChange
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.core.platform.ResponseTimeout
import org.toucanspur.core.platform.StoredObject
import org.toucanspur.platform.PlatformStore

private const val ENTRIES = 4
private const val VERSION_BYTES = 260_000
private const val VERSION_PERIOD_MILLIS = 1100L
private const val BOUND_MILLIS = 3000L
private const val TICK_MILLIS = 10L

/** A store with a large object, behind a link of [bytesPerMilli] that all calls share. */
private class StoreBehindLink(private val bytesPerMilli: Int, private val nowMillis: () -> Long) :
    HttpCaller {
    private var transfers = 0

    /** Time in which no call is answered. */
    var silence = LongRange.EMPTY

    /** Number of the newest version at [atMillis]. */
    fun versionAt(atMillis: Long) = 1 + atMillis / VERSION_PERIOD_MILLIS

    override suspend fun call(call: HttpCall): Result<HttpReply, HttpFailure> {
        val timeout = ResponseTimeout(nowMillis(), call.timeoutMillis, call.transferLimits)
        val query = call.target.substringAfter('?', "").split('&').associate {
            it.substringBefore('=') to it.substringAfter('=', "")
        }
        val after = query["watch"]?.toLong()
        val waitEndMillis = nowMillis() + (query["wait-ms"]?.toLong() ?: 0)
        while (nowMillis() < waitEndMillis && versionAt(nowMillis()) == after) delay(TICK_MILLIS)
        val newest = versionAt(nowMillis())
        val versions = ((after ?: (newest - 1)) + 1..newest).toList()
        val body = body(versions, newest, isListing = after == null)
        var leftBytes = body.size
        if (leftBytes > call.responseMaxBytes) return Err(TooLarge(call.responseMaxBytes))
        transfers++
        while (leftBytes > 0) {
            delay(TICK_MILLIS)
            if (nowMillis() !in silence) {
                leftBytes -= bytesPerMilli * TICK_MILLIS.toInt() / transfers
                timeout.onBytes(nowMillis())
                call.onBytes()
            }
            if (nowMillis() > timeout.dueMillis) {
                transfers--
                return Err(HttpFailure.NoResponse("timed out"))
            }
        }
        transfers--
        return Ok(HttpReply(OK, body))
    }

    private fun body(versions: List<Long>, newest: Long, isListing: Boolean): ByteArray {
        val items = versions.map {
            val content = """{"version":$it,"routes":"${"x".repeat(VERSION_BYTES)}"}"""
            """{"metadata":{"name":"main","revision":$it},"specification":$content}"""
        }
        val content = if (isListing) {
            """"items":$items,"more":false"""
        } else {
            """"events":${items.map { """{"object":$it,"removed":false}""" }}"""
        }
        return """{$content,"store-revision":$newest}""".encodeToByteArray()
    }

    private companion object {
        const val OK = 200
    }
}

/** The version that an entry has adopted. */
private class AdoptedVersion : ObjectWatchListener {
    var version = 0L
        private set

    override fun onListing(objects: List<StoredObject>, unseenSince: ClockReading) =
        objects.forEach { version = it.revision }

    override fun onChanges(changes: List<ObjectChange>, unseenSince: ClockReading) =
        changes.forEach { version = it.stored.revision }
}

/** Returns for how long an entry acted on a version after a newer one, from [fromMillis] on. */
private suspend fun TestScope.maxAgeMillis(
    store: StoreBehindLink,
    fromMillis: Long,
    untilMillis: Long
): Long {
    val nowMillis = { testScheduler.currentTime }
    val adopted = List(ENTRIES) { AdoptedVersion() }
    val watches = adopted.mapIndexed { entry, listener ->
        val watcher = ObjectWatcher(
            PlatformStore(store, "store:1"),
            ObjectKind.CONFIGURATION,
            waitMillis = 1000,
            { ClockReading(nowMillis(), nowMillis()) },
            Random(entry),
            listener,
            WatchPacing(batchDelayMillis = 250, burstDelayMillis = 750, backoffMaxMillis = 400)
        )
        backgroundScope.launch { watcher.run() }
    }
    var maxAgeMillis = 0L
    while (nowMillis() < untilMillis) {
        advanceTimeBy(TICK_MILLIS)
        // Version n + 1 replaces version n at n periods.
        val oldest = adopted.minOf { it.version }
        val ageMillis = nowMillis() - oldest * VERSION_PERIOD_MILLIS
        if (nowMillis() >= fromMillis) maxAgeMillis = maxOf(maxAgeMillis, ageMillis)
    }
    watches.forEach { it.cancel() }
    return maxAgeMillis
}

class LargeConfigurationTest :
    DescribeSpec({
        describe("versions of a large configuration behind a link that entries share") {
            // Guards against cutting off transfers that are under way: no version arrived, and the
            // transfers that began anew filled the link.
            it("are adopted in time when a transfer takes longer than a response otherwise may") {
                runTest {
                    val store = StoreBehindLink(bytesPerMilli = 1000) { testScheduler.currentTime }
                    maxAgeMillis(store, fromMillis = 5000, untilMillis = 40_000) shouldBeLessThan
                        BOUND_MILLIS
                }
            }
            // Guards against fetching each version that was set during an outage.
            it("are adopted in time after an outage in which there were many") {
                runTest {
                    val store = StoreBehindLink(bytesPerMilli = 1500) { testScheduler.currentTime }
                    store.silence = 5000L..15_000L
                    maxAgeMillis(store, fromMillis = 19_000, untilMillis = 40_000) shouldBeLessThan
                        BOUND_MILLIS
                }
            }
        }
    })
