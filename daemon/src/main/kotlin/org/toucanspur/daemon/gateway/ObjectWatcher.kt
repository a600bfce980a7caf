/*
 * Watches one kind of object in the platform's store: lists the objects, then watches for changes
 * from the revision of the listing. If the store no longer has the history, the objects are listed
 * again; if the store is unavailable, the watch continues from the last revision after a backoff.
 *
 * The store may cut off a watch that waits, which is no outage. The first call after a failure
 * therefore does not wait, and shows whether the store responds.
 *
 * A watch returns each change with the whole object. While a large object changes more often than
 * its pacing allows, and when the changes are much larger than the objects, the objects are listed
 * instead, which returns only the newest version.
 */
package org.toucanspur.daemon.gateway

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlin.random.Random
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.toucanspur.core.gateway.ClockPair
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.core.gateway.StoreOutage
import org.toucanspur.core.gateway.WatchProgress
import org.toucanspur.core.platform.FeedFailure
import org.toucanspur.core.platform.KnownRevisions
import org.toucanspur.core.platform.ObjectChange
import org.toucanspur.core.platform.ObjectChanges
import org.toucanspur.core.platform.ObjectFeed
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.core.platform.StoredObject
import org.toucanspur.core.platform.WatchCall

/** Receives the results of an [ObjectWatcher]. */
interface ObjectWatchListener {
    /**
     * Called with all objects of the kind after each listing. Objects that were not known before
     * were changed after [unseenSince].
     */
    fun onListing(objects: List<StoredObject>, unseenSince: ClockReading)

    /** Called before each listing with the [era] of the store to which it belongs. */
    fun onEra(era: Long) = Unit

    /** Called with the changes since the previous listing or change, made after [unseenSince]. */
    fun onChanges(changes: List<ObjectChange>, unseenSince: ClockReading)

    /**
     * Called when all changes up to [revision] of the [era] have been delivered, among them all
     * that were acknowledged before [at], the start of the call that returned them.
     */
    fun onUpToDate(revision: Long, at: ClockReading, era: Long?) = Unit

    /** Called once per outage when the store becomes unavailable. */
    fun onStoreUnavailable(reason: String) = Unit

    /** Called when the store is available again after [outage]. */
    fun onStoreAvailable(outage: StoreOutage) = Unit
}

/**
 * Delays of a watch after changes: [batchDelayMillis] before the next call, so that a burst of
 * changes needs few calls. If there are new changes by then, the objects are listed every
 * [burstDelayMillis] until they stop changing, or never if that is null. After failures the delay
 * grows to [backoffMaxMillis] on average.
 */
open class WatchPacing(
    batchDelayMillis: Long = 0,
    val burstDelayMillis: Long? = null,
    val backoffMaxMillis: Long = 800
) {
    open val batchDelayMillis: Long = batchDelayMillis

    /** Wait of the next call in place of [longestMillis]; the last response is [ageMillis] old. */
    open fun waitMillis(longestMillis: Long, ageMillis: Long): Long = longestMillis
}

/**
 * Watches objects of [kind]; each watch call waits for up to [waitMillis], with [pacing] after
 * changes. A watch that replaces another one continues its [progress]. After a change of the
 * store's era the objects are listed again.
 */
class ObjectWatcher(
    private val feed: ObjectFeed,
    private val kind: ObjectKind,
    private val waitMillis: Long,
    private val clocks: ClockPair,
    private val random: Random,
    private val listener: ObjectWatchListener,
    private val pacing: WatchPacing = WatchPacing(),
    private val progress: WatchProgress = WatchProgress()
) {
    private var revision: Long? = null
    private var backoffMillis = BACKOFF_MIN_MILLIS
    private var outage: StoreOutage? = null
    private var era: Long? = null
    private var newestObjectRevision = 0L
    private val known = KnownRevisions()
    private val sizes = HashMap<String, Int>()
    private var changedMillis: Long? = null
    private var isBurst = false
    private var isJustListed = false
    private var pauseMillis = 0L
    private val checks = Channel<Unit>(Channel.CONFLATED)
    private var isCheckDue = false
    private var isArriving = false
    private var respondedAt: ClockReading? = null

    /**
     * Ends the wait of the current call; the next one, on a new connection, does not wait. A call
     * whose response arrives is not ended, and one that ends soon by itself only if it is silent
     * beyond its end.
     */
    fun check() {
        checks.trySend(Unit)
    }

    /** Lists and watches until cancelled. */
    suspend fun run() {
        while (true) {
            val afterRevision = revision
            val start = clocks.now()
            val callWaitMillis = callWaitMillis()
            pauseMillis = 0
            val failure = if (afterRevision == null || isBurst) {
                list()
            } else {
                watch(afterRevision, callWaitMillis)
            }
            if (failure == null) onSuccess() else onFailure(failure, start, callWaitMillis)
            delay(pauseMillis)
        }
    }

    private fun callWaitMillis(): Long = when {
        revision == null || isBurst -> 0
        outage == null && !isCheckDue -> {
            val ageMillis = respondedAt?.let { clocks.now().ageMillis(it) } ?: 0
            minOf(waitMillis, pacing.waitMillis(waitMillis, ageMillis))
        }
        else -> CHECK_WAIT_MILLIS
    }

    private suspend fun list(): FeedFailure? {
        val at = clocks.now()
        val listing = feed.list(kind).getOrElse { return it }
        if (listing.era != era) newestObjectRevision = 0
        era = listing.era
        listing.era?.let(listener::onEra)
        listener.onListing(listing.objects, progress.unlistedSince(at))
        revision = listing.storeRevision
        isJustListed = true
        known.replaceAll(listing.objects)
        sizes.clear()
        listing.objects.forEach(::recordSize)
        val isChanged = hasNewer(listing.objects)
        isBurst = isBurst && isChanged
        if (isBurst) pauseMillis = burstPauseMillis(at)
        onUpToDate(at)
        return null
    }

    // Whether one of [objects] is newer than all before.
    private fun hasNewer(objects: List<StoredObject>): Boolean {
        val newest = objects.maxOfOrNull { it.revision } ?: 0
        val isNewer = newest > newestObjectRevision
        newestObjectRevision = maxOf(newestObjectRevision, newest)
        return isNewer
    }

    private suspend fun watch(afterRevision: Long, waitMillis: Long): FeedFailure? {
        val at = clocks.now()
        // Limits the whole call by this VM's own clock too, which may have been paused.
        val endMillis = at.monotonicMillis + waitMillis
        val limitMillis = waitMillis + WATCH_TIMEOUT_MARGIN_MILLIS + feed.transferMaxMillis
        val result = withTimeoutOrNull(limitMillis) {
            untilCheck(endMillis) {
                val call = WatchCall(kind, afterRevision, waitMillis, changesMaxBytes()) {
                    isArriving = true
                }
                feed.watch(call)
            }
        } ?: return FeedFailure.Unavailable("watch timed out")
        val changes = result.getOrElse { return it } ?: return null
        if (changes.era != era) {
            // The store gives revisions out again, so the changes are not those since the listing.
            revision = null
            return null
        }
        revision = maxOf(afterRevision, changes.storeRevision)
        isJustListed = false
        val now = clocks.now()
        val unknown = known.takeUnknown(changes.changes)
        if (changes.changes.isEmpty()) progress.onUnchanged(at, now, waitMillis)
        if (unknown.isNotEmpty()) {
            unknown.forEach {
                if (it.isRemoved) sizes -= it.stored.name else recordSize(it.stored)
            }
            listener.onChanges(unknown, progress.unseenSince(at, now))
        }
        onUpToDate(at)
        if (unknown.isNotEmpty()) pace(unknown, changes.supersededCount, at, now.monotonicMillis)
        return null
    }

    // Returns no changes if a check is requested while [call] waits. Shortly before its end at
    // [endMillis] it may still respond in time.
    private suspend fun untilCheck(
        endMillis: Long,
        call: suspend () -> Result<ObjectChanges, FeedFailure>
    ): Result<ObjectChanges?, FeedFailure> = coroutineScope {
        isArriving = false
        val pending = async { call() }
        val wasCheck = isCheckDue
        isCheckDue = false
        if (wasCheck || outage != null) return@coroutineScope pending.await()
        checks.tryReceive()
        select<Result<ObjectChanges?, FeedFailure>> {
            pending.onAwait { it }
            checks.onReceive {
                val leftMillis = endMillis - clocks.now().monotonicMillis
                if (leftMillis <= CHECK_LEAD_MILLIS) {
                    withTimeoutOrNull(leftMillis + RESPONSE_MAX_MILLIS) { pending.join() }
                }
                if (isArriving || pending.isCompleted) return@onReceive pending.await()
                pending.cancel()
                isCheckDue = true
                Ok(null)
            }
        }
    }

    private fun recordSize(stored: StoredObject) {
        sizes[stored.name] = stored.text?.length ?: 0
    }

    private fun changesMaxBytes(): Int {
        val knownBytes = sizes.values.sumOf { it.toLong() }
        val maxBytes = knownBytes + knownBytes / 2 + CHANGES_MIN_BYTES
        return minOf(maxBytes, Int.MAX_VALUE.toLong()).toInt()
    }

    private fun pace(
        changes: List<ObjectChange>,
        supersededCount: Int,
        start: ClockReading,
        nowMillis: Long
    ) {
        hasNewer(changes.map { it.stored })
        val burstDelayMillis = pacing.burstDelayMillis
        if (burstDelayMillis != null) {
            val sinceChangeMillis = changedMillis?.let { nowMillis - it } ?: Long.MAX_VALUE
            isBurst = supersededCount > 0 || sinceChangeMillis < burstDelayMillis
        }
        changedMillis = nowMillis
        pauseMillis = if (isBurst) burstPauseMillis(start) else pacing.batchDelayMillis
    }

    // Calls follow each other at the burst delay, or at once if they take longer.
    private fun burstPauseMillis(start: ClockReading): Long {
        val elapsedMillis = clocks.now().monotonicMillis - start.monotonicMillis
        return maxOf(0, (pacing.burstDelayMillis ?: 0) - elapsedMillis)
    }

    // A response shows the store as it was at some time after the start of the call. It may have
    // been cut off early, held back on the way, or waited for this process to run again, so only
    // the start is proved, however long the call took.
    private fun onUpToDate(callStart: ClockReading) {
        respondedAt = clocks.now()
        progress.onUpToDate(callStart)
        listener.onUpToDate(checkNotNull(revision), callStart, era)
    }

    private fun onSuccess() {
        backoffMillis = BACKOFF_MIN_MILLIS
        val ended = outage?.copy(endMillis = clocks.now().monotonicMillis) ?: return
        outage = null
        listener.onStoreAvailable(ended)
    }

    private suspend fun onFailure(failure: FeedFailure, start: ClockReading, callWaitMillis: Long) {
        if (failure == FeedFailure.HistoryGone || failure == FeedFailure.TooManyChanges) {
            revision = null
            // The store discards its history faster than the pages of a listing are read.
            if (isJustListed) delay(backoffMillis)
            return
        }
        val now = clocks.now()
        progress.onFailure(start, now)
        // A call that ended late was not cut off: the store may have been silent all the time.
        val dueMillis = start.monotonicMillis + callWaitMillis + RESPONSE_MAX_MILLIS
        val isSilent = now.monotonicMillis > dueMillis
        val unavailableMillis = (if (isSilent) start else now).monotonicMillis
        val known = outage
        if (known == null) listener.onStoreUnavailable(failure.message)
        outage = StoreOutage(
            known?.startMillis ?: unavailableMillis,
            unavailableMillis,
            now.monotonicMillis
        )
        delay(backoffMillis / 2 + random.nextLong(backoffMillis))
        backoffMillis = minOf(backoffMillis * 2, pacing.backoffMaxMillis)
    }

    private companion object {
        const val BACKOFF_MIN_MILLIS = 100L
        const val WATCH_TIMEOUT_MARGIN_MILLIS = 1000L
        const val CHECK_WAIT_MILLIS = 1L

        // What a check takes on a slow link. It begins anew, so a call that ends earlier is faster.
        const val CHECK_LEAD_MILLIS = 1000L

        // Size that changes may have in any case. Beyond that they may be half as large again as
        // the known objects, which is less than two versions of a large one.
        const val CHANGES_MIN_BYTES = 64L * 1024

        // Time that a slow store takes to respond.
        const val RESPONSE_MAX_MILLIS = 300L
    }
}
