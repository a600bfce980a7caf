/*
 * Runs the exchange planners of many VMs under virtual time, with links that carry a fixed rate.
 * Only the links are modelled; every decision is the daemon's own.
 */
package org.toucanspur.bench.weights

import java.util.PriorityQueue
import kotlin.random.Random
import org.toucanspur.core.weights.ChunkSource
import org.toucanspur.core.weights.ExchangeEffect
import org.toucanspur.core.weights.ExchangeLimits
import org.toucanspur.core.weights.ExchangePlanner
import org.toucanspur.core.weights.FetchFailure
import org.toucanspur.core.weights.TransferPacer
import org.toucanspur.core.weights.directShare
import org.toucanspur.core.weights.neighboursOf
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.VmId

private const val LATENCY_MILLIS = 1L
private const val TICK_MILLIS = 100L
private const val DAY_MILLIS = 24L * 3600 * 1000
private const val LIST_LAG_MILLIS = 3000L
private const val SILENCE_MILLIS = 1500L
private const val RESTART_MILLIS = 2000L
private const val FAULT_MILLIS = 10_000L

/** A fault of a run. */
enum class ExchangeFault(val title: String) {
    VM_DIES("VM dies"),
    VM_RESTARTS("VM restarts empty"),
    VM_JOINS("VM joins late"),
    LINK_STALLS("link stalls"),
    CONNECTIONS_SILENT("connections silent"),
    CHUNKS_CORRUPT("chunks corrupt"),
    STORE_DOWN("weight store down"),
    REGION_CUT("region cut off"),
    MEMBERS_DIFFER("VM list lags"),
    IMPORTS_HANG("imports hang")
}

/** [fault] strikes VM number [victim] when [share] of all chunks have arrived. */
data class FaultAt(val share: Double, val fault: ExchangeFault, val victim: Int)

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
    val faults: List<FaultAt> = emptyList(),
    val horizonMillis: Long = DAY_MILLIS,
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
    val unfinished: Int
)

/**
 * One run of [scenario]; fetches either by the planner or, for comparison, from the origin only.
 */
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
    private var arrivals = 0L
    private val pendingFaults = scenario.faults.toMutableList()
    private var storeDownUntil = 0L
    private val cutUntil = LongArray(scenario.regions)
    private var lastDoneMillis = 0L
    private var open = scenario.vms

    /** Runs until every living VM has the release. */
    fun run(): ExchangeResult {
        nodes.forEach { it.start() }
        scheduleDeaths()
        at(0, ::strikeDue)
        while (true) {
            val next = events.poll() ?: break
            nowMillis = next.atMillis
            if (nowMillis > scenario.horizonMillis) break
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
            nodes.count { !it.isDead && !it.isDone }
        )
    }

    private fun scheduleDeaths() {
        val dying = nodes.shuffled(random).take((scenario.vms * scenario.dyingShare).toInt())
        val spanMillis = scenario.releaseBytes * MILLIS_PER_SECOND / scenario.linkBytesPerSecond
        dying.forEach { node -> at(random.nextLong(maxOf(1, spanMillis))) { node.die() } }
    }

    private fun strikeDue() {
        val share = arrivals.toDouble() / (scenario.vms.toLong() * scenario.chunks)
        val due = pendingFaults.filter { it.share <= share }
        pendingFaults -= due.toSet()
        due.forEach { strike(it.fault, nodes[it.victim % nodes.size]) }
    }

    private fun strike(fault: ExchangeFault, victim: Node) {
        when (fault) {
            ExchangeFault.VM_DIES -> victim.die()
            ExchangeFault.VM_RESTARTS -> {
                victim.die()
                at(RESTART_MILLIS) { victim.revive() }
            }
            ExchangeFault.VM_JOINS -> victim.revive()
            ExchangeFault.LINK_STALLS -> victim.stall()
            ExchangeFault.CONNECTIONS_SILENT -> victim.silence()
            ExchangeFault.CHUNKS_CORRUPT -> victim.corruptUntil = nowMillis + FAULT_MILLIS
            ExchangeFault.STORE_DOWN -> storeDownUntil = nowMillis + FAULT_MILLIS
            ExchangeFault.REGION_CUT -> cutUntil[victim.region] = nowMillis + FAULT_MILLIS
            ExchangeFault.MEMBERS_DIFFER -> victim.forgetMembers()
            ExchangeFault.IMPORTS_HANG -> victim.importsHang = true
        }
    }

    private fun isCut(left: Int, right: Int): Boolean =
        left != right && maxOf(cutUntil[left], cutUntil[right]) > nowMillis

    private fun at(delayMillis: Long, action: () -> Unit) {
        events += Scheduled(nowMillis + delayMillis, order++, action)
    }

    private class Scheduled(val atMillis: Long, val order: Long, val action: () -> Unit)

    private inner class Node(index: Int) {
        val vm = VmId("vm-$index")
        val region = index % scenario.regions
        val up = TransferPacer(scenario.linkBytesPerSecond)
        val down = TransferPacer(scenario.linkBytesPerSecond)
        private var planner = newPlanner()
        private val links = LinkedHashSet<Node>()
        private val waiting = HashMap<Int, MutableList<Node>>()
        private var present = BooleanArray(scenario.chunks)
        private var silentUntil = 0L
        var corruptUntil = 0L
        var importsHang = false
        var inBytes = 0L
        var outBytes = 0L
        var isDead = false
        var isDone = false

        private fun newPlanner() =
            ExchangePlanner(release, vm, scenario.chunks, scenario.limits, nowMillis)

        fun start() {
            val joinsLate = scenario.faults.any {
                it.fault == ExchangeFault.VM_JOINS && nodes[it.victim % nodes.size] === this
            }
            if (joinsLate) {
                isDead = true
                open--
            } else if (isPlainPull) {
                pullNext(0)
            } else {
                refreshMembers()
                tick()
            }
        }

        fun die() {
            if (isDead) return
            if (!isDone) open--
            isDead = true
            links.toList().forEach(::disconnect)
            waiting.forEach { (index, requesters) -> requesters.forEach { it.lose(index) } }
            waiting.clear()
            at(LIST_LAG_MILLIS) { nodes.filterNot { it.isDead }.forEach { it.refreshMembers() } }
        }

        /** Comes back with empty memory. */
        fun revive() {
            if (!isDead) return
            isDead = false
            isDone = false
            open++
            planner = newPlanner()
            present = BooleanArray(scenario.chunks)
            refreshMembers()
            tick()
            at(LIST_LAG_MILLIS) { nodes.filterNot { it.isDead }.forEach { it.refreshMembers() } }
        }

        /** Takes all of the link for a while. */
        fun stall() {
            val bytes = (scenario.linkBytesPerSecond * FAULT_MILLIS / MILLIS_PER_SECOND).toInt()
            up.reserve(bytes, nowMillis)
            down.reserve(bytes, nowMillis)
        }

        /** Loses all frames until heartbeats find the connections dead and replace them. */
        fun silence() {
            silentUntil = nowMillis + SILENCE_MILLIS
            at(SILENCE_MILLIS) {
                links.toList().forEach { peer ->
                    disconnect(peer)
                    connect(peer)
                }
            }
        }

        /** Knows only itself until the next VM list. */
        fun forgetMembers() {
            planner.setMembers(listOf(vm))
            at(FAULT_MILLIS) { if (!isDead) refreshMembers() }
        }

        private val isSilent: Boolean get() = nowMillis < silentUntil

        private fun refreshMembers() {
            val members = nodes.filter { it.region == region && !it.isDead }.map { it.vm }
            planner.setMembers(members)
            if (region != 0) {
                val home = nodes.filter { it.region == 0 && !it.isDead }.map { it.vm }
                planner.setStoreImporters(home, directShare(home.size, scenario.regions))
            }
            val chosen = neighboursOf(vm, members, scenario.limits.neighbours, "region-$region")
                .filter { vm.value < it.value }
                .map(byId::getValue)
            links.filter { vm.value < it.vm.value && it !in chosen }.forEach(::disconnect)
            chosen.filter { it !in links }.forEach(::connect)
        }

        private fun connect(peer: Node) {
            links += peer
            peer.links += this
            at(LATENCY_MILLIS) { exchangeBitmaps(peer) }
        }

        private fun exchangeBitmaps(peer: Node) {
            if (isDead || peer.isDead) return
            receive { planner.onPeerBitmap(peer.vm, peer.planner.bitmap(), nowMillis) }
            peer.receive { peer.planner.onPeerBitmap(vm, planner.bitmap(), nowMillis) }
        }

        private fun disconnect(peer: Node) {
            links -= peer
            peer.links -= this
            planner.onPeerLost(peer.vm)
            peer.planner.onPeerLost(vm)
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
            if (isDead || isDone || isSilent) return
            messages++
            input()
            plan()
        }

        private fun plan() = planner.plan(nowMillis).forEach(::apply)

        private fun apply(effect: ExchangeEffect) {
            when (effect) {
                is ExchangeEffect.Fetch -> fetch(effect)
                is ExchangeEffect.Announce -> links.forEach { peer ->
                    at(LATENCY_MILLIS) {
                        peer.receive { peer.planner.onPeerChunk(vm, effect.index, nowMillis) }
                    }
                }
                is ExchangeEffect.Choke -> links.forEach { peer ->
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
            val source = effect.source
            val isImport = source !is ChunkSource.Peer || source.isRemote
            if (isImport && importsHang) return
            when (source) {
                is ChunkSource.Store -> fromOrigin(effect.index) { arrive(effect.index) }
                is ChunkSource.Peer -> byId.getValue(source.vm).request(this, effect.index)
            }
        }

        private fun fromOrigin(index: Int, arrived: (Int) -> Unit) {
            if (nowMillis < storeDownUntil || isCut(region, 0)) {
                lose(index)
                return
            }
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
                isDead || isSilent || requester.isSilent || isCut(region, requester.region) ->
                    requester.lose(index)
                present[index] -> send(requester, index)
                else -> waiting.getOrPut(index) { mutableListOf() } += requester
            }
        }

        private fun lose(index: Int) {
            at(SILENCE_MILLIS) {
                if (!isDead && !isDone) {
                    planner.onFailed(index, FetchFailure.UNREACHABLE, nowMillis)
                }
            }
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
                if (isDead || isSilent) requester.lose(index) else requester.arrive(index)
            }
        }

        private fun transferMillis(size: Int): Long =
            size * MILLIS_PER_SECOND / scenario.linkBytesPerSecond

        private fun arrive(index: Int) {
            if (isDone || isDead) return
            messages++
            val isCorrupt =
                nowMillis < corruptUntil || random.nextDouble() < scenario.corruptShare
            if (isCorrupt) {
                planner.onFailed(index, FetchFailure.CORRUPT, nowMillis)
            } else {
                present[index] = true
                waiting.remove(index)?.forEach { send(it, index) }
                planner.onVerified(index, nowMillis).forEach(::apply)
                arrivals++
                strikeDue()
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
