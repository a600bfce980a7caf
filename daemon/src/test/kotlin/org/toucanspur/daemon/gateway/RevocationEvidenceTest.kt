package org.toucanspur.daemon.gateway

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThan
import kotlin.random.Random
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.toucanspur.core.gateway.ClockPair
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.core.gateway.Freshness
import org.toucanspur.core.gateway.StoreFreshness
import org.toucanspur.core.platform.FeedFailure
import org.toucanspur.core.platform.ObjectChange
import org.toucanspur.core.platform.ObjectChanges
import org.toucanspur.core.platform.ObjectFeed
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.core.platform.ObjectListing
import org.toucanspur.core.platform.StoredObject
import org.toucanspur.core.platform.WatchCall

private const val REVOCATION_MILLIS = 5000L
private const val LIMIT_MILLIS = REVOCATION_MILLIS - Freshness.MARGIN_MILLIS
private const val CONFIGURATION_WAIT_MILLIS = 800L
private const val EVACUATION_WAIT_MILLIS = 10_000L
private const val OLD_REVISION = 5L
private const val REVOKED_REVISION = 6L
private const val TRANSFER_MILLIS = 100L
private const val STEP_MILLIS = 10L
private const val END_MILLIS = 50_000L

/** What happens to the responses of a store from which a key is taken away. */
private class Disturbance(
    val heldFromMillis: Long,
    val heldForMillis: Long,
    val cutMillis: Long,
    val revokedMillis: Long
) {
    /** When a response that the store gives at [millis] is handled. */
    fun arrivalMillis(millis: Long): Long {
        val isHeld = millis in heldFromMillis until heldFromMillis + heldForMillis
        return if (isHeld) heldFromMillis + heldForMillis else millis
    }
}

/**
 * A store that holds responses back, as a pause of the process does as well, and cuts off the watch
 * of the evacuations. Its calls have no time-out, so that each response arrives.
 */
private class DisturbedFeed(
    private val disturbance: Disturbance,
    private val nowMillis: () -> Long
) : ObjectFeed {
    override val transferMaxMillis = END_MILLIS

    private val revision
        get() = if (nowMillis() < disturbance.revokedMillis) OLD_REVISION else REVOKED_REVISION

    override suspend fun list(
        kind: ObjectKind,
        isStaleAllowed: Boolean
    ): Result<ObjectListing, FeedFailure> = Ok(ObjectListing(emptyList(), revision))

    override suspend fun watch(call: WatchCall): Result<ObjectChanges, FeedFailure> {
        val startMillis = nowMillis()
        while (!isEnded(call, startMillis)) delay(STEP_MILLIS / 2)
        val isChanged = hasChanged(call)
        val responseRevision = revision
        delay(disturbance.arrivalMillis(nowMillis()) - nowMillis())
        // The configuration is large.
        if (isChanged) delay(TRANSFER_MILLIS)
        val revoked = ObjectChange(StoredObject("main", REVOKED_REVISION, "{}"), isRemoved = false)
        return Ok(ObjectChanges(if (isChanged) listOf(revoked) else emptyList(), responseRevision))
    }

    private fun hasChanged(call: WatchCall) =
        call.kind == ObjectKind.CONFIGURATION && revision > call.afterRevision

    private fun isEnded(call: WatchCall, startMillis: Long): Boolean {
        val isCut = call.kind == ObjectKind.EVACUATIONS &&
            startMillis < disturbance.cutMillis &&
            nowMillis() >= disturbance.cutMillis
        return isCut || hasChanged(call) || nowMillis() >= startMillis + call.waitMillis
    }
}

private class KnownRevision : ObjectWatchListener {
    var isRevoked = false

    override fun onListing(objects: List<StoredObject>, unseenSince: ClockReading) = Unit

    override fun onChanges(changes: List<ObjectChange>, unseenSince: ClockReading) {
        isRevoked = true
    }
}

/** Returns the times at which the key was accepted though its bound had passed. */
private suspend fun TestScope.lateAcceptances(disturbance: Disturbance): List<Long> {
    val clocks = ClockPair { ClockReading(testScheduler.currentTime, testScheduler.currentTime) }
    val freshness = StoreFreshness(
        mapOf(ObjectKind.CONFIGURATION to LIMIT_MILLIS, ObjectKind.EVACUATIONS to LIMIT_MILLIS)
    )
    val health = WatchHealth(freshness, clocks)
    val feed = DisturbedFeed(disturbance) { testScheduler.currentTime }
    val known = KnownRevision()
    val waits = mapOf(
        ObjectKind.CONFIGURATION to CONFIGURATION_WAIT_MILLIS,
        ObjectKind.EVACUATIONS to EVACUATION_WAIT_MILLIS
    )
    val jobs = waits.map { (kind, waitMillis) ->
        val listener = if (kind == ObjectKind.CONFIGURATION) known else KnownRevision()
        val observed = health.observe(kind, listener)
        val watcher = ObjectWatcher(feed, kind, waitMillis, clocks, Random(1), observed)
        backgroundScope.launch { watcher.run() }
    }
    val late = mutableListOf<Long>()
    while (testScheduler.currentTime < END_MILLIS) {
        advanceTimeBy(STEP_MILLIS)
        val now = clocks.now()
        val isAccepted = freshness[ObjectKind.CONFIGURATION].isFresh(now) && !known.isRevoked
        val isLate = now.monotonicMillis > disturbance.revokedMillis + REVOCATION_MILLIS
        if (isAccepted && isLate) late += now.monotonicMillis
    }
    jobs.forEach { it.cancel() }
    return late
}

class RevocationEvidenceTest :
    DescribeSpec({
        describe("a key that was taken away") {
            // Guards against a configuration that counts as current by a watch of another kind that
            // was cut off while its response was held back: the key worked beyond its bound.
            it("is not accepted beyond its bound by a response that was held back") {
                runTest {
                    val disturbance = Disturbance(
                        heldFromMillis = 22_400,
                        heldForMillis = 7800,
                        cutMillis = 22_900,
                        revokedMillis = 23_700
                    )
                    lateAcceptances(disturbance).shouldBeEmpty()
                }
            }
            it("is not accepted beyond its bound at any time of the hold, cut and revocation") {
                repeat(40) { seed ->
                    runTest {
                        val random = Random(seed)
                        val heldFromMillis = random.nextLong(20_000, 30_000)
                        val cutMillis = heldFromMillis + random.nextLong(-500, 2000)
                        val disturbance = Disturbance(
                            heldFromMillis,
                            heldForMillis = random.nextLong(6000, 12_000),
                            cutMillis,
                            revokedMillis = cutMillis + random.nextLong(-500, 2000)
                        )
                        lateAcceptances(disturbance).shouldBeEmpty()
                    }
                }
            }
        }
        describe("the configuration at an undisturbed store") {
            it("is known to be current between two responses") {
                runTest {
                    val clocks =
                        ClockPair {
                            ClockReading(testScheduler.currentTime, testScheduler.currentTime)
                        }
                    val freshness =
                        StoreFreshness(mapOf(ObjectKind.CONFIGURATION to LIMIT_MILLIS))
                    val never = Disturbance(END_MILLIS, 0, END_MILLIS, END_MILLIS)
                    val watcher = ObjectWatcher(
                        DisturbedFeed(never) { testScheduler.currentTime },
                        ObjectKind.CONFIGURATION,
                        CONFIGURATION_WAIT_MILLIS,
                        clocks,
                        Random(1),
                        WatchHealth(freshness, clocks)
                            .observe(ObjectKind.CONFIGURATION, KnownRevision())
                    )
                    val job = backgroundScope.launch { watcher.run() }
                    advanceTimeBy(STEP_MILLIS)
                    repeat(1000) {
                        advanceTimeBy(STEP_MILLIS)
                        freshness[ObjectKind.CONFIGURATION].ageMillis(
                            clocks.now()
                        )!! shouldBeLessThan
                            2 * CONFIGURATION_WAIT_MILLIS + STEP_MILLIS
                    }
                    job.cancel()
                }
            }
        }
    })
