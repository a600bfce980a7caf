package org.toucanspur.core.weights

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.util.PriorityQueue
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.VmId

private const val PIECES = 96
private const val STEP_MILLIS = 15L
private const val PIECE_TRANSFER_MILLIS = 60L
private const val FAILED_FETCH_MILLIS = 300L
private const val PEER_WAIT_MILLIS = 2000L
private const val ANNOUNCE_MILLIS = 100L
private const val SIMULATION_END_MILLIS = 60_000L

// Time to transfer a piece over the origin's link, which all agents share.
private const val ORIGIN_TRANSFER_MILLIS = 38L

// Maximum ratio of the transfer time to its lower bound.
private const val TARGET_RATIO = 1.25

/**
 * Simulates the exchange of one version between the agents of several regions, with an origin
 * outage, failed agents and agents that cannot reach the origin.
 */
private class SimulatedExchange(
    regionSizes: List<Int>,
    private val outage: LongRange,
    private val failed: Set<Int> = emptySet(),
    private val withoutOrigin: Set<Int> = emptySet()
) {
    private val regions = regionSizes.mapIndexed { region, size ->
        List(size) { VmId("10.$region.0.$it") }
    }
    private val all = regions.flatten()
    private val planners = all.associateWith { vm ->
        ExchangePlanner(ReleaseDigest("m/2"), vm, PIECES, pieceExchangeLimits(2), 0).apply {
            setMembers(regions.first { vm in it })
            setStoreImporters(all, directShare = 0.0)
        }
    }
    private val events = PriorityQueue<Pair<Long, () -> Unit>>(compareBy { it.first })
    private val failedVms = failed.map { all[it] }.toSet()
    private var originFreeMillis = 0L
    var originPieces = 0
        private set

    /** Number of pieces that no agent held when the origin recovered. */
    var missingAtRecovery = 0
        private set

    private fun regionOf(vm: VmId) = regions.first { vm in it }

    /** Returns the time at which all live agents hold all pieces. */
    fun run(): Long {
        var now = 0L
        while (now < SIMULATION_END_MILLIS) {
            while (events.isNotEmpty() && events.peek().first <= now) events.poll().second()
            val liveAgents = planners.filterKeys { it !in failedVms }
            if (liveAgents.values.all { it.isComplete }) return now
            if (now % ANNOUNCE_MILLIS < STEP_MILLIS) announceAll(liveAgents, now)
            if (now <= outage.last) missingAtRecovery = countMissing()
            liveAgents.forEach { (vm, planner) ->
                planner.plan(now).filterIsInstance<ExchangeEffect.Fetch>().forEach {
                    fetch(vm, it, now)
                }
            }
            now += STEP_MILLIS
        }
        return now
    }

    private fun announceAll(liveAgents: Map<VmId, ExchangePlanner>, now: Long) =
        liveAgents.forEach { (vm, planner) ->
            regionOf(vm).filter { it != vm }.forEach {
                planners.getValue(it).onPeerBitmap(vm, planner.bitmap(), now)
            }
        }

    private fun countMissing(): Int =
        (0 until PIECES).count { index -> all.none { holds(it, index) } }

    private fun scheduleTransfer(now: Long): Long {
        originFreeMillis = maxOf(now, originFreeMillis) + ORIGIN_TRANSFER_MILLIS
        return maxOf(originFreeMillis, now + PIECE_TRANSFER_MILLIS)
    }

    private fun fetch(vm: VmId, fetch: ExchangeEffect.Fetch, now: Long) {
        when (val source = fetch.source) {
            is ChunkSource.Store -> {
                val canReachOrigin = now !in outage && all.indexOf(vm) !in withoutOrigin
                if (canReachOrigin) originPieces++
                val end = if (canReachOrigin) scheduleTransfer(now) else now + FAILED_FETCH_MILLIS
                finish(vm, fetch, FetchFailure.UNREACHABLE.takeUnless { canReachOrigin }, end)
            }
            is ChunkSource.Peer -> if (source.vm in failedVms) {
                finish(vm, fetch, FetchFailure.UNREACHABLE, now + FAILED_FETCH_MILLIS)
            } else {
                poll(vm, fetch, source.vm, now, now + PEER_WAIT_MILLIS)
            }
        }
    }

    // A peer responds as soon as it holds the piece, or reports after a timeout that it does not.
    private fun poll(vm: VmId, fetch: ExchangeEffect.Fetch, from: VmId, now: Long, until: Long) {
        when {
            holds(from, fetch.index) -> finish(vm, fetch, null, now + PIECE_TRANSFER_MILLIS)
            planners.getValue(from).isStoreDown ->
                finish(vm, fetch, FetchFailure.UPSTREAM_UNAVAILABLE, now + STEP_MILLIS)
            now >= until -> finish(vm, fetch, FetchFailure.NOT_YET, now)
            else -> events += Pair(now + STEP_MILLIS) {
                poll(vm, fetch, from, now + STEP_MILLIS, until)
            }
        }
    }

    private fun finish(vm: VmId, fetch: ExchangeEffect.Fetch, failure: FetchFailure?, end: Long) {
        val planner = planners.getValue(vm)
        events += Pair(end) {
            if (failure == null) {
                planner.onVerified(fetch.index, end)
                regionOf(vm).filter { it != vm }.forEach {
                    planners.getValue(it).onPeerChunk(vm, fetch.index, end)
                }
            } else {
                planner.onFailed(fetch.index, failure, end)
            }
        }
    }

    private fun holds(vm: VmId, index: Int): Boolean {
        val bitmap = planners.getValue(vm).bitmap()
        return index / 8 < bitmap.size && (bitmap[index / 8].toInt() shr (index % 8)) and 1 == 1
    }
}

class OriginOutageTest :
    DescribeSpec({
        describe("a version whose origin fails during the transfer") {
            it("is complete on all agents within seconds after the origin recovers") {
                val exchange = SimulatedExchange(listOf(3, 4, 3), outage = 1000L..7000L)
                val afterRecovery = exchange.run() - 7000
                val lowerBoundMillis = exchange.missingAtRecovery * ORIGIN_TRANSFER_MILLIS
                afterRecovery shouldBeLessThan
                    (lowerBoundMillis * TARGET_RATIO).toLong() + FAILED_FETCH_MILLIS
            }
            it("is transferred from the origin little more than once") {
                val exchange = SimulatedExchange(listOf(3, 4, 3), outage = 1000L..7000L)
                exchange.run()
                exchange.originPieces shouldBeLessThan (PIECES * 1.1).toInt()
            }
            it("is transferred from the origin exactly once without failures") {
                val exchange = SimulatedExchange(listOf(3, 4, 3), outage = 0L..-1L)
                exchange.run()
                exchange.originPieces shouldBe PIECES
            }
            it("is not delayed at the origin by imports that wait for other regions") {
                val lowerBoundMillis = PIECES * ORIGIN_TRANSFER_MILLIS
                SimulatedExchange(listOf(3, 4, 3), outage = 0L..-1L).run() shouldBeLessThan
                    (lowerBoundMillis * TARGET_RATIO).toLong()
            }
            it("takes at most a second longer when one agent of each region has failed") {
                val lowerBoundMillis = PIECES * ORIGIN_TRANSFER_MILLIS
                SimulatedExchange(listOf(3, 4, 3), outage = 0L..-1L, failed = setOf(0, 4, 8))
                    .run() shouldBeLessThan (lowerBoundMillis * TARGET_RATIO).toLong() + 1000
            }
            it("takes at most a second longer when an agent cannot reach the origin") {
                val lowerBoundMillis = PIECES * ORIGIN_TRANSFER_MILLIS
                SimulatedExchange(listOf(3, 4, 3), outage = 0L..-1L, withoutOrigin = setOf(1))
                    .run() shouldBeLessThan (lowerBoundMillis * TARGET_RATIO).toLong() + 1000
            }
        }
    })
