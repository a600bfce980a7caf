package org.toucanspur.daemon.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.kotest.core.spec.style.DescribeSpec
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
import org.toucanspur.core.platform.FeedFailure
import org.toucanspur.core.platform.ObjectChange
import org.toucanspur.core.platform.ObjectChanges
import org.toucanspur.core.platform.ObjectFeed
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.core.platform.ObjectListing
import org.toucanspur.core.platform.StoredObject

private const val WAIT_MILLIS = 1000L

/** A store that follows a script of what watches do; the last step repeats. */
private class ScriptedFeed(vararg steps: suspend () -> Result<ObjectChanges, FeedFailure>) :
    ObjectFeed {
    private val steps = ArrayDeque(steps.toList())
    val calls = mutableListOf<String>()

    override suspend fun list(
        kind: ObjectKind,
        isStaleAllowed: Boolean
    ): Result<ObjectListing, FeedFailure> {
        calls += "list"
        return Ok(ObjectListing(listOf(StoredObject("a", 1, "{}")), 5))
    }

    override suspend fun watch(
        kind: ObjectKind,
        afterRevision: Long,
        waitMillis: Long
    ): Result<ObjectChanges, FeedFailure> {
        calls += "watch $afterRevision"
        return (if (steps.size > 1) steps.removeFirst() else steps.first())()
    }
}

private class RecordingSink : KindSink {
    val notes = mutableListOf<String>()
    var currentAtMillis = -1L

    override fun onListing(objects: List<StoredObject>) {
        notes += "listing ${objects.size}"
    }

    override fun onChanges(changes: List<ObjectChange>) {
        notes += "changes ${changes.size}"
    }

    override fun onCurrent(at: ClockReading) {
        currentAtMillis = at.monotonicMillis
    }

    override fun onLost(reason: String) {
        notes += "lost $reason"
    }

    override fun onRegained(outageMillis: Long) {
        notes += "regained"
    }
}

private val quiet: suspend () -> Result<ObjectChanges, FeedFailure> = {
    delay(WAIT_MILLIS)
    Ok(ObjectChanges(emptyList(), 5))
}

private suspend fun TestScope.follow(feed: ObjectFeed, millis: Long): RecordingSink {
    val sink = RecordingSink()
    val clocks = ClockPair { ClockReading(testScheduler.currentTime, testScheduler.currentTime) }
    val follower =
        KindFollower(feed, ObjectKind.ENDPOINTS, WAIT_MILLIS, clocks, Random(1), sink)
    val job = backgroundScope.launch { follower.run() }
    advanceTimeBy(millis)
    job.cancel()
    return sink
}

class KindFollowerTest :
    DescribeSpec({
        describe("a follower") {
            it("proves its state as of the end of a quiet wait") {
                runTest {
                    val sink = follow(ScriptedFeed(quiet), millis = 2500)
                    sink.notes shouldBe listOf("listing 1")
                    sink.currentAtMillis shouldBe 2000
                }
            }
            it("proves it only as of the start of a watch that was cut short") {
                runTest {
                    val cut: suspend () -> Result<ObjectChanges, FeedFailure> = {
                        delay(100)
                        Ok(ObjectChanges(emptyList(), 5))
                    }
                    follow(ScriptedFeed(cut, { awaitCancellation() }), millis = 500)
                        .currentAtMillis shouldBe 0
                }
            }
            it("lists again when the history is gone") {
                runTest {
                    val feed = ScriptedFeed({ Err(FeedFailure.HistoryGone) }, quiet)
                    follow(feed, millis = 500)
                    feed.calls shouldBe listOf("list", "watch 5", "list", "watch 5")
                }
            }
            it("goes on from its revision after an outage, and tells of it once") {
                runTest {
                    val change = ObjectChange(StoredObject("b", 6, "{}"), isRemoved = false)
                    val feed = ScriptedFeed(
                        { Err(FeedFailure.Unavailable("status 503")) },
                        { Err(FeedFailure.Unavailable("status 503")) },
                        { Ok(ObjectChanges(listOf(change), 6)) },
                        quiet
                    )
                    val sink = follow(feed, millis = 2000)
                    sink.notes shouldBe
                        listOf("listing 1", "lost status 503", "changes 1", "regained")
                    feed.calls.take(4) shouldBe listOf("list", "watch 5", "watch 5", "watch 5")
                    feed.calls.last() shouldBe "watch 6"
                }
            }
            it("does not wait for a store that has gone silent") {
                runTest {
                    val silent: suspend () -> Result<ObjectChanges, FeedFailure> =
                        { awaitCancellation() }
                    follow(ScriptedFeed(silent), millis = 2500).notes shouldBe
                        listOf("listing 1", "lost watch timed out")
                }
            }
        }
    })
