package org.toucanspur.daemon.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.toucanspur.core.gateway.ClockPair
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.core.gateway.PauseHistory
import org.toucanspur.core.gateway.StoreOutage
import org.toucanspur.core.gateway.WatchProgress
import org.toucanspur.core.platform.FeedFailure
import org.toucanspur.core.platform.ObjectChange
import org.toucanspur.core.platform.ObjectChanges
import org.toucanspur.core.platform.ObjectFeed
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.core.platform.ObjectListing
import org.toucanspur.core.platform.StoredObject
import org.toucanspur.core.platform.WatchCall

private const val WAIT_MILLIS = 1000L
private const val LONG_WAIT_MILLIS = 10_000L
private const val CHECKED_MILLIS = 600L

/** A store whose watches run the given steps in order; the last step repeats. */
private class ScriptedFeed(vararg steps: suspend () -> Result<ObjectChanges, FeedFailure>) :
    ObjectFeed {
    private val steps = ArrayDeque(steps.toList())
    val calls = mutableListOf<String>()

    /** Eras of the listings, in order; the last one repeats. */
    var eras = listOf<Long?>(null)
    val waitsMillis = mutableListOf<Long>()
    val maxBytes = mutableListOf<Int>()

    /** Whether the first bytes of a response arrive at once. */
    var arrivesAtOnce = false

    override suspend fun list(
        kind: ObjectKind,
        isStaleAllowed: Boolean
    ): Result<ObjectListing, FeedFailure> {
        calls += "list"
        val era = eras.first()
        if (eras.size > 1) eras = eras.drop(1)
        return Ok(ObjectListing(listOf(StoredObject("a", 1, "{}")), 5, era))
    }

    override suspend fun watch(call: WatchCall): Result<ObjectChanges, FeedFailure> {
        calls += "watch ${call.afterRevision}"
        waitsMillis += call.waitMillis
        maxBytes += call.maxBytes
        if (arrivesAtOnce) call.onBytes()
        return (if (steps.size > 1) steps.removeFirst() else steps.first())()
    }
}

/** A store with one object that has a new version every [periodMillis] until [untilMillis]. */
private class ChangingFeed(
    private val periodMillis: Long,
    private val untilMillis: Long,
    private val nowMillis: () -> Long
) : ObjectFeed {
    private val version get() = minOf(nowMillis(), untilMillis) / periodMillis

    /** Versions that all responses together contained. */
    var returnedVersions = 0L
        private set
    var watches = 0
        private set
    var lists = 0
        private set

    override suspend fun list(
        kind: ObjectKind,
        isStaleAllowed: Boolean
    ): Result<ObjectListing, FeedFailure> {
        lists++
        returnedVersions++
        return Ok(ObjectListing(listOf(StoredObject("main", version, "{}")), version))
    }

    override suspend fun watch(call: WatchCall): Result<ObjectChanges, FeedFailure> {
        watches++
        val endMillis = nowMillis() + call.waitMillis
        while (version <= call.afterRevision && nowMillis() < endMillis) delay(1)
        val newer = version - call.afterRevision
        returnedVersions += newer
        val newest = ObjectChange(StoredObject("main", version, "{}"), isRemoved = false)
        val changes = if (newer > 0) listOf(newest) else emptyList()
        return Ok(ObjectChanges(changes, version, maxOf(0, newer - 1).toInt()))
    }
}

/** Ages of the versions of a [ChangingFeed] when the next one arrives. */
private class AgeListener(private val periodMillis: Long, private val nowMillis: () -> Long) :
    ObjectWatchListener {
    var newestVersion = -1L
        private set
    var maxAgeMillis = 0L
        private set

    override fun onListing(objects: List<StoredObject>, unseenSince: ClockReading) =
        objects.forEach(::onVersion)

    override fun onChanges(changes: List<ObjectChange>, unseenSince: ClockReading) =
        changes.forEach { onVersion(it.stored) }

    private fun onVersion(stored: StoredObject) {
        if (stored.revision == newestVersion) return
        // The version that replaced the known one was set then.
        val replacedMillis = (newestVersion + 1) * periodMillis
        maxAgeMillis = maxOf(maxAgeMillis, nowMillis() - replacedMillis)
        newestVersion = stored.revision
    }
}

private class RecordingListener : ObjectWatchListener {
    val callbacks = mutableListOf<String>()
    var upToDateAtMillis = -1L
    var changedSinceMillis = -1L

    override fun onListing(objects: List<StoredObject>, unseenSince: ClockReading) {
        callbacks += "listing ${objects.size}"
    }

    override fun onChanges(changes: List<ObjectChange>, unseenSince: ClockReading) {
        callbacks += "changes ${changes.size}"
        changedSinceMillis = unseenSince.monotonicMillis
    }

    override fun onUpToDate(revision: Long, at: ClockReading, era: Long?) {
        upToDateAtMillis = at.monotonicMillis
    }

    override fun onStoreUnavailable(reason: String) {
        callbacks += "lost $reason"
    }

    val outages = mutableListOf<StoreOutage>()

    override fun onStoreAvailable(outage: StoreOutage) {
        outages += outage
        callbacks += "regained"
    }
}

private val unchanged: suspend () -> Result<ObjectChanges, FeedFailure> = {
    delay(WAIT_MILLIS)
    Ok(ObjectChanges(emptyList(), 5))
}

private val changed: suspend () -> Result<ObjectChanges, FeedFailure> = {
    Ok(ObjectChanges(listOf(ObjectChange(StoredObject("b", 6, "{}"), isRemoved = false)), 6))
}

private suspend fun TestScope.runWatcher(
    feed: ObjectFeed,
    millis: Long,
    pauses: PauseHistory = PauseHistory { null }
): RecordingListener {
    val listener = RecordingListener()
    val clocks = ClockPair { ClockReading(testScheduler.currentTime, testScheduler.currentTime) }
    val watcher = ObjectWatcher(
        feed,
        ObjectKind.ENDPOINTS,
        WAIT_MILLIS,
        clocks,
        Random(1),
        listener,
        progress = WatchProgress(pauses)
    )
    val job = backgroundScope.launch { watcher.run() }
    advanceTimeBy(millis)
    job.cancel()
    return listener
}

/** Runs a watcher that is checked at [checkMillis], until 600 ms later. */
private suspend fun TestScope.runChecked(
    feed: ObjectFeed,
    waitMillis: Long,
    checkMillis: Long
): RecordingListener {
    val listener = RecordingListener()
    val watcher = ObjectWatcher(
        feed,
        ObjectKind.ENDPOINTS,
        waitMillis,
        { ClockReading(testScheduler.currentTime, testScheduler.currentTime) },
        Random(1),
        listener
    )
    val job = backgroundScope.launch { watcher.run() }
    advanceTimeBy(checkMillis)
    watcher.check()
    advanceTimeBy(CHECKED_MILLIS)
    job.cancel()
    return listener
}

class ObjectWatcherTest :
    DescribeSpec({
        describe("a watcher") {
            // Guards against taking a response for newer than its call: a key worked after it had
            // been taken away, because a watch was cut off in a pause of the entry.
            it(
                "is up to date as of the start of a watch that has lasted for its whole wait"
            ) {
                runTest {
                    val listener = runWatcher(ScriptedFeed(unchanged), millis = 2500)
                    listener.callbacks shouldBe listOf("listing 1")
                    listener.upToDateAtMillis shouldBe 1000
                }
            }
            it("is up to date as of the start of a watch whose response was held back") {
                runTest {
                    val heldBack: suspend () -> Result<ObjectChanges, FeedFailure> = {
                        delay(WAIT_MILLIS + 700)
                        Ok(ObjectChanges(emptyList(), 5))
                    }
                    runWatcher(ScriptedFeed(unchanged, heldBack, unchanged), millis = 2800)
                        .upToDateAtMillis shouldBe 1000
                }
            }
            it("is up to date only as of the start of a watch that ended early") {
                runTest {
                    val endedEarly: suspend () -> Result<ObjectChanges, FeedFailure> = {
                        delay(100)
                        Ok(ObjectChanges(emptyList(), 5))
                    }
                    runWatcher(ScriptedFeed(endedEarly, { awaitCancellation() }), millis = 500)
                        .upToDateAtMillis shouldBe 0
                }
            }
            it("lists again when the store no longer has the history") {
                runTest {
                    val feed = ScriptedFeed({ Err(FeedFailure.HistoryGone) }, unchanged)
                    runWatcher(feed, millis = 500)
                    feed.calls shouldBe listOf("list", "watch 5", "list", "watch 5")
                }
            }
            // Guards against missing what a store that returned from an older copy has at revisions
            // that it gave out before: no error shows that, once its counter has passed them.
            it("lists again when a response is of another era, and drops its changes") {
                runTest {
                    val restored: suspend () -> Result<ObjectChanges, FeedFailure> = {
                        val change = ObjectChange(StoredObject("b", 9, "{}"), isRemoved = false)
                        Ok(ObjectChanges(listOf(change), 9, era = 2))
                    }
                    val settled: suspend () -> Result<ObjectChanges, FeedFailure> = {
                        delay(WAIT_MILLIS)
                        Ok(ObjectChanges(emptyList(), 5, era = 2))
                    }
                    val feed = ScriptedFeed(restored, settled).apply { eras = listOf(1, 2) }
                    val listener = runWatcher(feed, millis = 500)
                    feed.calls shouldBe listOf("list", "watch 5", "list", "watch 5")
                    listener.callbacks shouldBe listOf("listing 1", "listing 1")
                }
            }
            it("continues from its revision after an outage, which it reports once") {
                runTest {
                    val change = ObjectChange(StoredObject("b", 6, "{}"), isRemoved = false)
                    val feed = ScriptedFeed(
                        { Err(FeedFailure.Unavailable("status 503")) },
                        { Err(FeedFailure.Unavailable("status 503")) },
                        { Ok(ObjectChanges(listOf(change), 6)) },
                        unchanged
                    )
                    val listener = runWatcher(feed, millis = 2000)
                    listener.callbacks shouldBe
                        listOf("listing 1", "lost status 503", "changes 1", "regained")
                    feed.calls.take(4) shouldBe listOf("list", "watch 5", "watch 5", "watch 5")
                    feed.calls.last() shouldBe "watch 6"
                }
            }
            // Guards against counting the wait of the next call as an outage: endpoints that are
            // removed meanwhile were kept in use as if their records had expired.
            it(
                "ends the outage of a watch that was cut off with the next call, which does not wait"
            ) {
                runTest {
                    val cutOff: suspend () -> Result<ObjectChanges, FeedFailure> = {
                        delay(300)
                        Err(FeedFailure.Unavailable("connection closed"))
                    }
                    val prompt: suspend () -> Result<ObjectChanges, FeedFailure> =
                        { Ok(ObjectChanges(emptyList(), 5)) }
                    val feed = ScriptedFeed(cutOff, prompt, unchanged)
                    val listener = runWatcher(feed, millis = 3000)
                    feed.waitsMillis.take(3) shouldBe listOf(WAIT_MILLIS, 1, WAIT_MILLIS)
                    listener.outages.single().lengthMillis shouldBeLessThan 200
                }
            }
            it("counts the silence of the store as part of an outage") {
                runTest {
                    val silent: suspend () -> Result<ObjectChanges, FeedFailure> =
                        { awaitCancellation() }
                    val prompt: suspend () -> Result<ObjectChanges, FeedFailure> =
                        { Ok(ObjectChanges(emptyList(), 5)) }
                    val listener =
                        runWatcher(ScriptedFeed(silent, prompt, unchanged), millis = 3000)
                    listener.outages.single().lengthMillis shouldBeGreaterThan 2000
                }
            }
            it("dates a change on a working connection to its arrival") {
                runTest {
                    val later: suspend () -> Result<ObjectChanges, FeedFailure> = {
                        delay(700)
                        changed()
                    }
                    runWatcher(ScriptedFeed(unchanged, later, unchanged), millis = 1800)
                        .changedSinceMillis shouldBe 1700
                }
            }
            it("dates a change behind a silent connection to the last confirmation") {
                runTest {
                    val silent: suspend () -> Result<ObjectChanges, FeedFailure> =
                        { awaitCancellation() }
                    val feed = ScriptedFeed(unchanged, silent, changed, unchanged)
                    runWatcher(feed, millis = 3500).changedSinceMillis shouldBe 1000
                }
            }
            it("dates a change that arrives after a pause of the process to its start") {
                runTest {
                    val late: suspend () -> Result<ObjectChanges, FeedFailure> = {
                        delay(900)
                        changed()
                    }
                    val pauses = PauseHistory { ClockReading(1600, 1600) }
                    runWatcher(ScriptedFeed(unchanged, late, unchanged), millis = 2000, pauses)
                        .changedSinceMillis shouldBe 1600
                }
            }
            // Guards against fetching each version in full: the versions filled the link of a
            // region, and the entries there were seconds behind.
            it("lists an object that changes quickly, and watches again when it has settled") {
                runTest {
                    val nowMillis = { testScheduler.currentTime }
                    val feed = ChangingFeed(periodMillis = 90, untilMillis = 20_000, nowMillis)
                    val listener = AgeListener(90, nowMillis)
                    val watcher = ObjectWatcher(
                        feed,
                        ObjectKind.CONFIGURATION,
                        WAIT_MILLIS,
                        { ClockReading(nowMillis(), nowMillis()) },
                        Random(1),
                        listener,
                        WatchPacing(batchDelayMillis = 250, burstDelayMillis = 500)
                    )
                    val job = backgroundScope.launch { watcher.run() }
                    advanceTimeBy(20_000)
                    feed.returnedVersions shouldBeLessThan 20_000L / 500 + 5
                    listener.maxAgeMillis shouldBeLessThan 600
                    advanceTimeBy(1000)
                    listener.newestVersion shouldBe 20_000 / 90
                    val lists = feed.lists
                    advanceTimeBy(5000)
                    feed.lists shouldBe lists
                    job.cancel()
                }
            }
            it("watches an object that changes now and then") {
                runTest {
                    val nowMillis = { testScheduler.currentTime }
                    val feed = ChangingFeed(periodMillis = 3000, untilMillis = 20_000, nowMillis)
                    val listener = AgeListener(3000, nowMillis)
                    val watcher = ObjectWatcher(
                        feed,
                        ObjectKind.CONFIGURATION,
                        WAIT_MILLIS,
                        { ClockReading(nowMillis(), nowMillis()) },
                        Random(1),
                        listener,
                        WatchPacing(batchDelayMillis = 250, burstDelayMillis = 500)
                    )
                    val job = backgroundScope.launch { watcher.run() }
                    advanceTimeBy(20_000)
                    feed.lists shouldBe 1
                    listener.maxAgeMillis shouldBeLessThan 5
                    job.cancel()
                }
            }
            it("allows changes by the size of the objects that it knows") {
                runTest {
                    fun change(bytes: Int, isRemoved: Boolean): ObjectChanges {
                        val stored = StoredObject("b", 6, "x".repeat(bytes))
                        return ObjectChanges(listOf(ObjectChange(stored, isRemoved)), 6)
                    }
                    val feed = ScriptedFeed(
                        { Ok(change(100_000, isRemoved = false)) },
                        { Ok(change(0, isRemoved = true)) },
                        unchanged
                    )
                    runWatcher(feed, millis = 500)
                    val (listed, changed, removed) = feed.maxBytes
                    changed - listed shouldBe 150_000
                    removed shouldBe listed
                }
            }
            it("lists the objects when their changes are larger than allowed") {
                runTest {
                    val feed = ScriptedFeed({ Err(FeedFailure.TooManyChanges) }, unchanged)
                    val listener = runWatcher(feed, millis = 500)
                    feed.calls shouldBe listOf("list", "watch 5", "list", "watch 5")
                    listener.callbacks shouldBe listOf("listing 1", "listing 1")
                }
            }
            // Guards against acting on an old list while a watch waits for a response that is lost.
            it("ends its wait for a check, which returns what has changed") {
                runTest {
                    val silent: suspend () -> Result<ObjectChanges, FeedFailure> =
                        { awaitCancellation() }
                    val feed = ScriptedFeed(unchanged, silent, changed, unchanged)
                    val listener = runChecked(feed, LONG_WAIT_MILLIS, checkMillis = 1300)
                    listener.callbacks shouldBe listOf("listing 1", "changes 1")
                    feed.waitsMillis shouldBe
                        listOf(LONG_WAIT_MILLIS, LONG_WAIT_MILLIS, 1, LONG_WAIT_MILLIS)
                }
            }
            // Guards against beginning transfers anew on a slow link, where none of them ended.
            it("does not end a call for a check while its response arrives") {
                runTest {
                    val arriving: suspend () -> Result<ObjectChanges, FeedFailure> = {
                        delay(500)
                        changed()
                    }
                    val feed = ScriptedFeed(unchanged, arriving, unchanged)
                    feed.arrivesAtOnce = true
                    val listener = runChecked(feed, LONG_WAIT_MILLIS, checkMillis = 1300)
                    listener.callbacks shouldBe listOf("listing 1", "changes 1")
                    feed.waitsMillis shouldBe List(3) { LONG_WAIT_MILLIS }
                }
            }
            it("does not end a call for a check that ends soon by itself") {
                runTest {
                    val feed = ScriptedFeed(unchanged)
                    runChecked(feed, WAIT_MILLIS, checkMillis = 1300)
                    feed.waitsMillis shouldBe listOf(WAIT_MILLIS, WAIT_MILLIS)
                }
            }
            // Guards against a connection that has gone silent in the last second of a wait.
            it("ends a silent call for a check 300 ms after it should have ended by itself") {
                runTest {
                    val silent: suspend () -> Result<ObjectChanges, FeedFailure> =
                        { awaitCancellation() }
                    val feed = ScriptedFeed(unchanged, silent, changed, unchanged)
                    runChecked(feed, WAIT_MILLIS, checkMillis = 1300)
                    feed.waitsMillis shouldBe listOf(WAIT_MILLIS, WAIT_MILLIS)
                    val later = ScriptedFeed(unchanged, silent, changed, unchanged)
                    runChecked(later, WAIT_MILLIS, checkMillis = 1900)
                        .callbacks shouldBe listOf("listing 1", "changes 1")
                    later.waitsMillis.take(3) shouldBe listOf(WAIT_MILLIS, WAIT_MILLIS, 1)
                }
            }
            it("waits as long as its pacing says, by the age of what is known") {
                runTest {
                    val feed = ScriptedFeed(changed, unchanged)
                    val pacing = object : WatchPacing(batchDelayMillis = 700) {
                        override fun waitMillis(longestMillis: Long, ageMillis: Long) =
                            900 - ageMillis
                    }
                    val watcher = ObjectWatcher(
                        feed,
                        ObjectKind.ENDPOINTS,
                        LONG_WAIT_MILLIS,
                        { ClockReading(testScheduler.currentTime, testScheduler.currentTime) },
                        Random(1),
                        RecordingListener(),
                        pacing
                    )
                    val job = backgroundScope.launch { watcher.run() }
                    advanceTimeBy(750)
                    feed.waitsMillis shouldBe listOf(900L, 200L)
                    job.cancel()
                }
            }
            it("times out when the store does not respond") {
                runTest {
                    val unresponsive: suspend () -> Result<ObjectChanges, FeedFailure> =
                        { awaitCancellation() }
                    runWatcher(ScriptedFeed(unresponsive), millis = 2500).callbacks shouldBe
                        listOf("listing 1", "lost watch timed out")
                }
            }
        }
    })
