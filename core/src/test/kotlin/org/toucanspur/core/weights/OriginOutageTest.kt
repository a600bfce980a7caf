package org.toucanspur.core.weights

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.util.PriorityQueue
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.VmId

private const val PIECES = 96
private const val STEP_MILLIS = 15L
private const val PIECE_MILLIS = 60L
private const val FAIL_MILLIS = 300L
private const val WAIT_MILLIS = 2000L
private const val END_MILLIS = 60_000L

/** Agents in regions that exchange one version; the origin is down for a while. */
private class Exchange(regionSizes: List<Int>, private val outage: LongRange) {
    private val regions = regionSizes.mapIndexed { region, size ->
        List(size) { VmId("10.$region.0.$it") }
    }
    private val all = regions.flatten()
    private val planners = all.associateWith { vm ->
        ExchangePlanner(ReleaseDigest("m/2"), vm, PIECES, limits, 0).apply {
            setMembers(regions.first { vm in it })
            setHome(all, directShare = 0.0)
        }
    }
    private val events = PriorityQueue<Pair<Long, () -> Unit>>(compareBy { it.first })
    var originPieces = 0
        private set

    private fun regionOf(vm: VmId) = regions.first { vm in it }

    /** Time at which all agents have all pieces. */
    fun run(): Long {
        var now = 0L
        while (now < END_MILLIS) {
            while (events.isNotEmpty() && events.peek().first <= now) events.poll().second()
            if (planners.values.all { it.isComplete }) return now
            planners.forEach { (vm, planner) ->
                planner.plan(now).filterIsInstance<ExchangeEffect.Fetch>().forEach {
                    fetch(vm, it, now)
                }
            }
            now += STEP_MILLIS
        }
        return now
    }

    private fun fetch(vm: VmId, fetch: ExchangeEffect.Fetch, now: Long) {
        when (val source = fetch.source) {
            is ChunkSource.Store -> {
                val isThere = now !in outage
                if (isThere) originPieces++
                finish(vm, fetch, isThere, now + if (isThere) PIECE_MILLIS else FAIL_MILLIS)
            }
            is ChunkSource.Peer -> await(vm, fetch, source.vm, now, now + WAIT_MILLIS)
        }
    }

    // A peer answers as soon as it has the piece, or that it has none after a while.
    private fun await(vm: VmId, fetch: ExchangeEffect.Fetch, from: VmId, now: Long, until: Long) {
        when {
            held(from, fetch.index) -> finish(vm, fetch, isThere = true, now + PIECE_MILLIS)
            now >= until -> finish(vm, fetch, isThere = false, now)
            else -> events += Pair(now + STEP_MILLIS) {
                await(vm, fetch, from, now + STEP_MILLIS, until)
            }
        }
    }

    private fun finish(vm: VmId, fetch: ExchangeEffect.Fetch, isThere: Boolean, end: Long) {
        val planner = planners.getValue(vm)
        events += Pair(end) {
            if (isThere) {
                planner.onVerified(fetch.index, end)
                regionOf(vm).filter { it != vm }.forEach {
                    planners.getValue(it).onPeerChunk(vm, fetch.index, end)
                }
            } else {
                planner.onFailed(fetch.index, corrupt = false, end)
            }
        }
    }

    private fun held(vm: VmId, index: Int): Boolean {
        val bitmap = planners.getValue(vm).bitmap()
        return index / 8 < bitmap.size && (bitmap[index / 8].toInt() shr (index % 8)) and 1 == 1
    }

    private companion object {
        val limits = ExchangeLimits(
            neighbours = 12,
            fetchesMax = 2,
            fetchesPerPeerMax = 1,
            importsMax = 10,
            storeFetchesMax = 3,
            importTimeoutMillis = 1000,
            importRetryMillis = 500,
            fetchTimeoutMillis = 3000,
            importFetchTimeoutMillis = 3000,
            chokeMillis = 500
        )
    }
}

class OriginOutageTest :
    DescribeSpec({
        describe("a version whose origin is down in the middle of the transfer") {
            it("is everywhere within seconds of its return") {
                val undisturbed = Exchange(listOf(3, 4, 3), outage = 0L..-1L).run()
                val disturbed = Exchange(listOf(3, 4, 3), outage = 1000L..7000L)
                disturbed.run() shouldBeLessThan 7000 + undisturbed + 2000
            }
            it("leaves the origin once when nothing fails") {
                val exchange = Exchange(listOf(3, 4, 3), outage = 0L..-1L)
                exchange.run()
                exchange.originPieces shouldBe PIECES
            }
            it("is not held up at the origin by imports that wait for other regions") {
                // Ten agents with one fetch of 60 ms each at the origin take 576 ms.
                Exchange(listOf(3, 4, 3), outage = 0L..-1L).run() shouldBeLessThan 2500
            }
        }
    })
