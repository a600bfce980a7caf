/*
 * Follows one kind of objects in the platform's store: lists it, then watches from there. When the
 * history is gone it lists again; when the store does not answer it goes on from the revision it
 * has, after a pause that grows.
 */
package org.toucanspur.daemon.gateway

import com.github.michaelbull.result.getOrElse
import kotlin.random.Random
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.toucanspur.core.gateway.ClockPair
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.core.platform.FeedFailure
import org.toucanspur.core.platform.ObjectChange
import org.toucanspur.core.platform.ObjectFeed
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.core.platform.StoredObject

/** Takes what a follower learns. */
interface KindSink {
    /** All objects of the kind. */
    fun onListing(objects: List<StoredObject>)

    /** Changes since the last call. */
    fun onChanges(changes: List<ObjectChange>)

    /** All changes acknowledged before [at] have been passed on. */
    fun onCurrent(at: ClockReading) = Unit

    /** The store does not answer; called once for each outage. */
    fun onLost(reason: String) = Unit

    /** The store answers again after [outageMillis]. */
    fun onRegained(outageMillis: Long) = Unit
}

/**
 * Follows [kind]; each watch waits for [waitMillis]. After changes the next watch starts
 * [gatherMillis] later, so that a burst of them costs few calls.
 */
class KindFollower(
    private val feed: ObjectFeed,
    private val kind: ObjectKind,
    private val waitMillis: Long,
    private val clocks: ClockPair,
    private val random: Random,
    private val sink: KindSink,
    private val gatherMillis: Long = 0
) {
    private var revision: Long? = null
    private var pauseMillis = PAUSE_MIN_MILLIS
    private var lostAtMillis: Long? = null

    /** Follows the kind until cancelled. */
    suspend fun run() {
        while (true) {
            val from = revision
            val failure = if (from == null) list() else watch(from)
            if (failure == null) onSuccess() else onFailure(failure)
        }
    }

    private suspend fun list(): FeedFailure? {
        val at = clocks.now()
        val listing = feed.list(kind).getOrElse { return it }
        sink.onListing(listing.objects)
        revision = listing.storeRevision
        sink.onCurrent(at)
        return null
    }

    private suspend fun watch(from: Long): FeedFailure? {
        val at = clocks.now()
        // Bounds the whole call by this VM's clock as well, which may have stood still.
        val answer = withTimeoutOrNull(waitMillis + WATCH_LIMIT_SLACK_MILLIS) {
            feed.watch(kind, from, waitMillis)
        } ?: return FeedFailure.Unavailable("watch timed out")
        val changes = answer.getOrElse { return it }
        if (changes.changes.isNotEmpty()) sink.onChanges(changes.changes)
        revision = maxOf(from, changes.storeRevision)
        sink.onCurrent(if (changes.changes.isEmpty()) endOfWait(at) else at)
        if (changes.changes.isNotEmpty()) delay(gatherMillis)
        return null
    }

    // A watch without changes ends when its wait is over, not earlier, unless the store cut it.
    private fun endOfWait(start: ClockReading): ClockReading {
        val end = ClockReading(start.monotonicMillis + waitMillis, start.wallMillis + waitMillis)
        return if (clocks.now().monotonicMillis >= end.monotonicMillis) end else start
    }

    private fun onSuccess() {
        pauseMillis = PAUSE_MIN_MILLIS
        val lostAt = lostAtMillis ?: return
        lostAtMillis = null
        sink.onRegained(clocks.now().monotonicMillis - lostAt)
    }

    private suspend fun onFailure(failure: FeedFailure) {
        if (failure == FeedFailure.HistoryGone) {
            revision = null
            return
        }
        if (lostAtMillis == null) {
            lostAtMillis = clocks.now().monotonicMillis
            sink.onLost(failure.message)
        }
        delay(pauseMillis / 2 + random.nextLong(pauseMillis))
        pauseMillis = minOf(pauseMillis * 2, PAUSE_MAX_MILLIS)
    }

    private companion object {
        const val PAUSE_MIN_MILLIS = 100L
        const val PAUSE_MAX_MILLIS = 800L
        const val WATCH_LIMIT_SLACK_MILLIS = 1000L
    }
}
