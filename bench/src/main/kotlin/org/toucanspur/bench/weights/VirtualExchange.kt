/*
 * Runs the exchange planners of many VMs under virtual time, with links that carry a fixed rate. Only
 * the links are modelled; every decision is the daemon's own.
 */
package org.toucanspur.bench.weights

import java.util.PriorityQueue
import kotlin.random.Random
import org.toucanspur.core.weights.ChunkSource
import org.toucanspur.core.weights.ExchangeEffect
import org.toucanspur.core.weights.ExchangeLimits
import org.toucanspur.core.weights.ExchangePlanner
import org.toucanspur.core.weights.TransferPacer
import org.toucanspur.core.weights.directShare
import org.toucanspur.core.weights.neighboursOf
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.VmId

private const val LATENCY_MILLIS = 1L
private const val TICK_MILLIS = 100L
private const val HORIZON_MILLIS = 24L * 3600 * 1000
private const val LIST_LAG_MILLIS = 3000L
private const val SILENCE_MILLIS = 1500L

/** Sizes, rates and faults of a run. Rates are those that transfers may use. */
data class ExchangeScenario(
    val vms: Int,
    val regions: Int,
    val chunks: Int,
    val chunkBytes: Int,
    val linkBytesPerSecond: Long,
    val originBytesPerSecond: Long,
    val interRegionBytesPerSecond: Long,
    val dyingShare: Double = 0.0,
    val corruptShare: Double = 0.0,
    val limits: ExchangeLimits = ExchangeLimits(),
    val seed: Int = 1
) {
    val releaseBytes: Long get() = chunks.toLong() * chunkBytes
}

/** What a run showed. */
data class ExchangeResult(
    val elapsedMillis: Long,
    val originBytes: Long,
    val maxInterRegionCopies: Double,
    val maxLinkInCopies: Double,
    val maxLinkOutCopies: Double,
    val maxLinkCopies: Double,
    val messagesPerVm: Double,
    val corruptAccepted: Int,
    val unfinished: Int
)

/** One run of [scenario]; fetches either by the planner or, for comparison, from the origin only. */
class VirtualExchange(
    private val scenario: ExchangeScenario,
    private val isPlainPull: Boolean = false
) {
    private val events = PriorityQueue<Scheduled>(compareBy({ it.atMillis }, { it.order }))
    private val random = Random(scenario.seed)
    private val release = ReleaseDigest("virtual")
    private val origin = TransferPacer(scenario.originBytesPerSecond)
    private val interRegion =
        List(scenario.regions) { TransferPacer(scenario.interRegionBytesPerSecond) }
    private val interRegionBytes = LongArray(scenario.regions)
    private val nodes = List(scenario.vms) { Node(it) }
    private val byId = nodes.associateBy { it.vm }
    private var order = 0L
    private var nowMillis = 0L
    private var originBytes = 0L
    private var messages = 0L
    private var corruptAccepted = 0
    private var lastDoneMillis = 0L
    private var open = scenario.vms

    /** Runs until every living VM has the release. */
    fun run(): ExchangeResult {
        nodes.forEach { it.start() }
        scheduleDeaths()
        while (true) {
            val next = events.poll() ?: break
            nowMillis = next.atMillis
            if (nowMillis > HORIZON_MILLIS) break
            next.action()
            if (open == 0) break
        }
        return result()
    }

    private fun result(): ExchangeResult {
        val size = scenario.releaseBytes.toDouble()
        return ExchangeResult(
            lastDoneMillis,
            originBytes,
            interRegionBytes.drop(1).maxOfOrNull { it / size } ?: 0.0,
            nodes.maxOf { it.inBytes } / size,
            nodes.maxOf { it.outBytes } / size,
            nodes.maxOf { it.inBytes + it.outBytes } / size,
            messages.toDouble() / scenario.vms,
            corruptAccepted,
            nodes.count { !it.isDead && !it.isDone }
        )
    }

    private fun scheduleDeaths() {
        val dying = nodes.shuffled(random).take((scenario.vms * scenario.dyingShare).toInt())
        val spanMillis = scenario.releaseBytes * MILLIS_PER_SECOND / scenario.linkBytesPerSecond
        dying.forEach { node -> at(random.nextLong(maxOf(1, spanMillis))) { node.die() } }
    }

    private fun at(delayMillis: Long, action: () -> Unit) {
        events += Scheduled(nowMillis + delayMillis, order++, action)
    }

    private class Scheduled(val atMillis: Long, val order: Long, val action: () -> Unit)

    private inner class Node(index: Int) {
        val vm = VmId("vm-$index")
        val region = index % scenario.regions
        val up = TransferPacer(scenario.linkBytesPerSecond)
        val down = TransferPacer(scenario.linkBytesPerSecond)
        private val planner = ExchangePlanner(release, vm, scenario.chunks, scenario.limits, 0)
        private var neighbours: Set<VmId> = emptySet()
        private val waiting = HashMap<Int, MutableList<Node>>()
        private val present = BooleanArray(scenario.chunks)
        var inBytes = 0L
        var outBytes = 0L
        var isDead = false
        var isDone = false

        fun start() {
            if (isPlainPull) {
                pullNext(0)
            } else {
                refreshMembers()
                tick()
            }
        }

        fun die() {
            if (!isDone) open--
            isDead = true
            neighbours.forEach { peer ->
                at(LATENCY_MILLIS) { byId.getValue(peer).planner.onPeerLost(vm) }
            }
            waiting.forEach { (index, requesters) -> requesters.forEach { it.lose(index) } }
            waiting.clear()
            at(LIST_LAG_MILLIS) { nodes.filterNot { it.isDead }.forEach { it.refreshMembers() } }
        }

        private fun refreshMembers() {
            val members = nodes.filter { it.region == region && !it.isDead }.map { it.vm }
            planner.setMembers(members)
            if (region != 0) {
                val home = nodes.filter { it.region == 0 && !it.isDead }.map { it.vm }
                planner.setHome(home, directShare(home.size, scenario.regions))
            }
            val chosen = neighboursOf(vm, members, scenario.limits.neighbours, "region-$region")
            (chosen - neighbours).forEach { peer ->
                at(LATENCY_MILLIS) {
                    receive {
                        planner.onPeerBitmap(peer, byId.getValue(peer).planner.bitmap(), nowMillis)
                    }
                }
            }
            (neighbours - chosen).forEach { planner.onPeerLost(it) }
            neighbours = chosen
        }

        private fun tick() {
            if (isDead || isDone) return
            plan()
            at(TICK_MILLIS) { tick() }
        }

        private fun pullNext(index: Int) {
            if (index == scenario.chunks) {
                finish()
            } else {
                fromOrigin(index) { pullNext(index + 1) }
            }
        }

        private fun receive(input: () -> Unit) {
            if (isDead || isDone) return
            messages++
            input()
            plan()
        }

        private fun plan() = planner.plan(nowMillis).forEach(::apply)

        private fun apply(effect: ExchangeEffect) {
            when (effect) {
                is ExchangeEffect.Fetch -> fetch(effect)
                is ExchangeEffect.Announce -> neighbours.map(byId::getValue).forEach { peer ->
                    at(LATENCY_MILLIS) {
                        peer.receive { peer.planner.onPeerChunk(vm, effect.index, nowMillis) }
                    }
                }
                is ExchangeEffect.Choke -> neighbours.map(byId::getValue).forEach { peer ->
                    at(LATENCY_MILLIS) {
                        peer.receive { peer.planner.onPeerChoked(vm, effect.isChoked) }
                    }
                }
                is ExchangeEffect.Complete -> finish()
            }
        }

        private fun finish() {
            isDone = true
            open--
            lastDoneMillis = maxOf(lastDoneMillis, nowMillis)
        }

        private fun fetch(effect: ExchangeEffect.Fetch) {
            when (val source = effect.source) {
                is ChunkSource.Store -> fromOrigin(effect.index) { arrive(effect.index) }
                is ChunkSource.Peer -> byId.getValue(source.vm).request(this, effect.index)
            }
        }

        private fun fromOrigin(index: Int, arrived: (Int) -> Unit) {
            val size = scenario.chunkBytes
            originBytes += size
            val waits =
                mutableListOf(origin.reserve(size, nowMillis), down.reserve(size, nowMillis))
            if (region != 0) {
                interRegionBytes[region] += size.toLong()
                waits += interRegion[region].reserve(size, nowMillis)
            }
            inBytes += size
            at(waits.max() + transferMillis(size) + LATENCY_MILLIS) { if (!isDead) arrived(index) }
        }

        // A peer that is about to get the chunk answers when it has it.
        private fun request(requester: Node, index: Int) {
            messages++
            when {
                isDead -> requester.lose(index)
                present[index] -> send(requester, index)
                else -> waiting.getOrPut(index) { mutableListOf() } += requester
            }
        }

        private fun lose(index: Int) {
            at(SILENCE_MILLIS) { receive { planner.onFailed(index, corrupt = false, nowMillis) } }
        }

        private fun send(requester: Node, index: Int) {
            val size = scenario.chunkBytes
            val waits =
                mutableListOf(up.reserve(size, nowMillis), requester.down.reserve(size, nowMillis))
            if (region != requester.region) {
                interRegionBytes[requester.region] += size.toLong()
                waits += interRegion[requester.region].reserve(size, nowMillis)
            }
            outBytes += size
            planner.onUploaded().forEach(::apply)
            requester.inBytes += size
            at(waits.max() + transferMillis(size) + 2 * LATENCY_MILLIS) {
                if (!requester.isDead && !isDead) requester.arrive(index) else requester.lose(index)
            }
        }

        private fun transferMillis(size: Int): Long =
            size * MILLIS_PER_SECOND / scenario.linkBytesPerSecond

        private fun arrive(index: Int) {
            if (isDone) return
            messages++
            val isCorrupt = random.nextDouble() < scenario.corruptShare
            if (isCorrupt) {
                planner.onFailed(index, corrupt = true, nowMillis)
            } else {
                present[index] = true
                waiting.remove(index)?.forEach { send(it, index) }
                planner.onVerified(index, nowMillis).forEach(::apply)
            }
            if (!isDone) plan()
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000L
    }
}

/** Least time in which any scheme could finish [scenario], in milliseconds. */
fun lowerBoundMillis(scenario: ExchangeScenario): Long {
    val size = scenario.releaseBytes.toDouble()
    val link = scenario.linkBytesPerSecond.toDouble()
    val origin = scenario.originBytesPerSecond.toDouble()
    val vms = scenario.vms.toDouble()
    val crossing = if (scenario.regions > 1) size / scenario.interRegionBytesPerSecond else 0.0
    val seconds = listOf(
        size / origin,
        size / link,
        vms * size / (origin + vms * link),
        crossing
    ).max()
    return (seconds * MILLIS).toLong()
}

private const val MILLIS = 1000.0
