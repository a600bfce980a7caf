/*
 * Simulates the weight exchange of many VMs under virtual time, over links of fixed bandwidth.
 * Only the network is modelled; all decisions come from the daemon's exchange planner.
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
private const val VM_LIST_DELAY_MILLIS = 3000L
private const val HEARTBEAT_TIMEOUT_MILLIS = 1500L
private const val RESTART_DELAY_MILLIS = 2000L
private const val FAULT_DURATION_MILLIS = 10_000L

/** A fault that a simulation injects; [title] is its name in the fault matrix. */
enum class ExchangeFault(val title: String) {
    VM_CRASHES("VM dies"),
    VM_RESTARTS("VM restarts empty"),
    VM_JOINS_LATE("VM joins late"),
    LINK_STALLS("link stalls"),
    CONNECTIONS_UNRESPONSIVE("connections silent"),
    CHUNKS_CORRUPT("chunks corrupt"),
    STORE_DOWN("weight store down"),
    REGION_PARTITIONED("region cut off"),
    MEMBER_LIST_STALE("VM list lags"),
    IMPORTS_HANG("imports hang")
}

/** Injects [fault] into the VM with index [target] once [progress] of all chunks have arrived. */
data class ScheduledFault(val progress: Double, val fault: ExchangeFault, val target: Int)

/** Sizes, bandwidths and faults of a simulation; bandwidths are those available to transfers. */
data class ExchangeScenario(
    val vms: Int,
    val regions: Int,
    val chunks: Int,
    val chunkBytes: Int,
    val linkBytesPerSecond: Long,
    val originBytesPerSecond: Long,
    val interRegionBytesPerSecond: Long,
    val crashingFraction: Double = 0.0,
    val corruptFraction: Double = 0.0,
    val limits: ExchangeLimits = ExchangeLimits(),
    val faults: List<ScheduledFault> = emptyList(),
    val horizonMillis: Long = DAY_MILLIS,
    val seed: Int = 1
) {
    val releaseBytes: Long get() = chunks.toLong() * chunkBytes
}

/** Results of a simulation; copies are bytes in multiples of the release size. */
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
 * One simulation of [scenario]. VMs fetch chunks as the planner decides or, for comparison, from
 * the origin only, in the order of their indexes.
 */
class ExchangeSimulation(
    private val scenario: ExchangeScenario,
    private val isOriginOnly: Boolean = false
) {
    private val events = PriorityQueue<Scheduled>(compareBy({ it.atMillis }, { it.sequence }))
    private val random = Random(scenario.seed)
    private val release = ReleaseDigest("virtual")
    private val origin = TransferPacer(scenario.originBytesPerSecond)
    private val interRegion =
        List(scenario.regions) { TransferPacer(scenario.interRegionBytesPerSecond) }
    private val interRegionBytes = LongArray(scenario.regions)
    private val nodes = List(scenario.vms) { Node(it) }
    private val byId = nodes.associateBy { it.vm }
    private var sequence = 0L
    private var nowMillis = 0L
    private var originBytes = 0L
    private var messages = 0L
    private var chunkArrivals = 0L
    private val pendingFaults = scenario.faults.toMutableList()
    private var storeUnavailableUntil = 0L
    private val partitionedUntil = LongArray(scenario.regions)
    private var lastFinishMillis = 0L
    private var unfinishedVms = scenario.vms

    /** Runs until every running VM has the release or the horizon is reached. */
    fun run(): ExchangeResult {
        nodes.forEach { it.start() }
        scheduleCrashes()
        schedule(0, ::injectDueFaults)
        while (true) {
            val next = events.poll() ?: break
            nowMillis = next.atMillis
            if (nowMillis > scenario.horizonMillis) break
            next.action()
            if (unfinishedVms == 0) break
        }
        return result()
    }

    private fun result(): ExchangeResult {
        val size = scenario.releaseBytes.toDouble()
        return ExchangeResult(
            lastFinishMillis,
            originBytes,
            interRegionBytes.drop(1).maxOfOrNull { it / size } ?: 0.0,
            nodes.maxOf { it.inBytes } / size,
            nodes.maxOf { it.outBytes } / size,
            nodes.maxOf { it.inBytes + it.outBytes } / size,
            messages.toDouble() / scenario.vms,
            nodes.count { !it.isCrashed && !it.isFinished }
        )
    }

    private fun scheduleCrashes() {
        val crashing =
            nodes.shuffled(random).take((scenario.vms * scenario.crashingFraction).toInt())
        val windowMillis = scenario.releaseBytes * MILLIS_PER_SECOND / scenario.linkBytesPerSecond
        crashing.forEach { vm -> schedule(random.nextLong(maxOf(1, windowMillis))) { vm.crash() } }
    }

    private fun injectDueFaults() {
        val progress = chunkArrivals.toDouble() / (scenario.vms.toLong() * scenario.chunks)
        val due = pendingFaults.filter { it.progress <= progress }
        pendingFaults -= due.toSet()
        due.forEach { inject(it.fault, nodes[it.target % nodes.size]) }
    }

    private fun inject(fault: ExchangeFault, target: Node) {
        when (fault) {
            ExchangeFault.VM_CRASHES -> target.crash()
            ExchangeFault.VM_RESTARTS -> {
                target.crash()
                schedule(RESTART_DELAY_MILLIS) { target.restart() }
            }
            ExchangeFault.VM_JOINS_LATE -> target.restart()
            ExchangeFault.LINK_STALLS -> target.stall()
            ExchangeFault.CONNECTIONS_UNRESPONSIVE -> target.loseFrames()
            ExchangeFault.CHUNKS_CORRUPT -> target.corruptUntil = nowMillis + FAULT_DURATION_MILLIS
            ExchangeFault.STORE_DOWN -> storeUnavailableUntil = nowMillis + FAULT_DURATION_MILLIS
            ExchangeFault.REGION_PARTITIONED ->
                partitionedUntil[target.region] = nowMillis + FAULT_DURATION_MILLIS
            ExchangeFault.MEMBER_LIST_STALE -> target.useStaleMembers()
            ExchangeFault.IMPORTS_HANG -> target.areImportsHanging = true
        }
    }

    private fun isPartitioned(left: Int, right: Int): Boolean =
        left != right && maxOf(partitionedUntil[left], partitionedUntil[right]) > nowMillis

    private fun schedule(delayMillis: Long, action: () -> Unit) {
        events += Scheduled(nowMillis + delayMillis, sequence++, action)
    }

    private class Scheduled(val atMillis: Long, val sequence: Long, val action: () -> Unit)

    private inner class Node(index: Int) {
        val vm = VmId("vm-$index")
        val region = index % scenario.regions
        val uplink = TransferPacer(scenario.linkBytesPerSecond)
        val downlink = TransferPacer(scenario.linkBytesPerSecond)
        private var planner = createPlanner()
        private val connectedPeers = LinkedHashSet<Node>()
        private val pendingRequests = HashMap<Int, MutableList<Node>>()
        private var heldChunks = BooleanArray(scenario.chunks)
        private var framesLostUntil = 0L
        var corruptUntil = 0L
        var areImportsHanging = false
        var inBytes = 0L
        var outBytes = 0L
        var isCrashed = false
        var isFinished = false

        private fun createPlanner() =
            ExchangePlanner(release, vm, scenario.chunks, scenario.limits, nowMillis)

        fun start() {
            val joinsLate = scenario.faults.any {
                it.fault == ExchangeFault.VM_JOINS_LATE && nodes[it.target % nodes.size] === this
            }
            if (joinsLate) {
                isCrashed = true
                unfinishedVms--
            } else if (isOriginOnly) {
                fetchNextFromOrigin(0)
            } else {
                refreshMembers()
                tick()
            }
        }

        fun crash() {
            if (isCrashed) return
            if (!isFinished) unfinishedVms--
            isCrashed = true
            connectedPeers.toList().forEach(::disconnect)
            pendingRequests.forEach { (index, requesters) ->
                requesters.forEach { it.failAfterTimeout(index) }
            }
            pendingRequests.clear()
            schedule(VM_LIST_DELAY_MILLIS) {
                nodes.filterNot { it.isCrashed }.forEach { it.refreshMembers() }
            }
        }

        /** Restarts the VM with no chunks in memory. */
        fun restart() {
            if (!isCrashed) return
            isCrashed = false
            isFinished = false
            unfinishedVms++
            planner = createPlanner()
            heldChunks = BooleanArray(scenario.chunks)
            refreshMembers()
            tick()
            schedule(VM_LIST_DELAY_MILLIS) {
                nodes.filterNot { it.isCrashed }.forEach { it.refreshMembers() }
            }
        }

        /** Reserves the whole link for [FAULT_DURATION_MILLIS], so that no chunk is transferred. */
        fun stall() {
            val bytes =
                (scenario.linkBytesPerSecond * FAULT_DURATION_MILLIS / MILLIS_PER_SECOND).toInt()
            uplink.reserve(bytes, nowMillis)
            downlink.reserve(bytes, nowMillis)
        }

        /** Loses all frames until the heartbeat timeout, then reconnects to all peers. */
        fun loseFrames() {
            framesLostUntil = nowMillis + HEARTBEAT_TIMEOUT_MILLIS
            schedule(HEARTBEAT_TIMEOUT_MILLIS) {
                connectedPeers.toList().forEach { peer ->
                    disconnect(peer)
                    connect(peer)
                }
            }
        }

        /** Sets the member list to this VM alone for [FAULT_DURATION_MILLIS]. */
        fun useStaleMembers() {
            planner.setMembers(listOf(vm))
            schedule(FAULT_DURATION_MILLIS) { if (!isCrashed) refreshMembers() }
        }

        private val isLosingFrames: Boolean get() = nowMillis < framesLostUntil

        private fun refreshMembers() {
            val members = nodes.filter { it.region == region && !it.isCrashed }.map { it.vm }
            planner.setMembers(members)
            if (region != 0) {
                val importers = nodes.filter { it.region == 0 && !it.isCrashed }.map { it.vm }
                planner.setStoreImporters(importers, directShare(importers.size, scenario.regions))
            }
            val chosen = neighboursOf(vm, members, scenario.limits.neighbours, "region-$region")
                .filter { vm.value < it.value }
                .map(byId::getValue)
            connectedPeers.filter { vm.value < it.vm.value && it !in chosen }.forEach(::disconnect)
            chosen.filter { it !in connectedPeers }.forEach(::connect)
        }

        private fun connect(peer: Node) {
            connectedPeers += peer
            peer.connectedPeers += this
            schedule(LATENCY_MILLIS) { exchangeBitmaps(peer) }
        }

        private fun exchangeBitmaps(peer: Node) {
            if (isCrashed || peer.isCrashed) return
            handleFrame { planner.onPeerBitmap(peer.vm, peer.planner.bitmap(), nowMillis) }
            peer.handleFrame { peer.planner.onPeerBitmap(vm, planner.bitmap(), nowMillis) }
        }

        private fun disconnect(peer: Node) {
            connectedPeers -= peer
            peer.connectedPeers -= this
            planner.onPeerLost(peer.vm)
            peer.planner.onPeerLost(vm)
        }

        private fun tick() {
            if (isCrashed || isFinished) return
            plan()
            schedule(TICK_MILLIS) { tick() }
        }

        private fun fetchNextFromOrigin(index: Int) {
            if (index == scenario.chunks) {
                finish()
            } else {
                fetchFromOrigin(index) { fetchNextFromOrigin(index + 1) }
            }
        }

        private fun handleFrame(update: () -> Unit) {
            if (isCrashed || isFinished || isLosingFrames) return
            messages++
            update()
            plan()
        }

        private fun plan() = planner.plan(nowMillis).forEach(::apply)

        private fun apply(effect: ExchangeEffect) {
            when (effect) {
                is ExchangeEffect.Fetch -> fetch(effect)
                is ExchangeEffect.Announce -> connectedPeers.forEach { peer ->
                    schedule(LATENCY_MILLIS) {
                        peer.handleFrame { peer.planner.onPeerChunk(vm, effect.index, nowMillis) }
                    }
                }
                is ExchangeEffect.Choke -> connectedPeers.forEach { peer ->
                    schedule(LATENCY_MILLIS) {
                        peer.handleFrame { peer.planner.onPeerChoked(vm, effect.isChoked) }
                    }
                }
                is ExchangeEffect.Complete -> finish()
            }
        }

        private fun finish() {
            isFinished = true
            unfinishedVms--
            lastFinishMillis = maxOf(lastFinishMillis, nowMillis)
        }

        private fun fetch(effect: ExchangeEffect.Fetch) {
            val source = effect.source
            val isImport = source !is ChunkSource.Peer || source.isRemote
            if (isImport && areImportsHanging) return
            when (source) {
                is ChunkSource.Store -> fetchFromOrigin(effect.index) { receiveChunk(effect.index) }
                is ChunkSource.Peer -> byId.getValue(source.vm).requestChunk(this, effect.index)
            }
        }

        private fun fetchFromOrigin(index: Int, onArrival: (Int) -> Unit) {
            if (nowMillis < storeUnavailableUntil || isPartitioned(region, 0)) {
                failAfterTimeout(index)
                return
            }
            val size = scenario.chunkBytes
            originBytes += size
            val delays =
                mutableListOf(origin.reserve(size, nowMillis), downlink.reserve(size, nowMillis))
            if (region != 0) {
                interRegionBytes[region] += size.toLong()
                delays += interRegion[region].reserve(size, nowMillis)
            }
            inBytes += size
            schedule(delays.max() + transferMillis(size) + LATENCY_MILLIS) {
                if (!isCrashed) onArrival(index)
            }
        }

        // A VM that does not have the chunk yet queues the request until the chunk arrives.
        private fun requestChunk(requester: Node, index: Int) {
            messages++
            when {
                isCrashed ||
                    isLosingFrames ||
                    requester.isLosingFrames ||
                    isPartitioned(region, requester.region) ->
                    requester.failAfterTimeout(index)
                heldChunks[index] -> sendChunk(requester, index)
                else -> pendingRequests.getOrPut(index) { mutableListOf() } += requester
            }
        }

        private fun failAfterTimeout(index: Int) {
            schedule(HEARTBEAT_TIMEOUT_MILLIS) {
                if (!isCrashed && !isFinished) {
                    planner.onFailed(index, FetchFailure.UNREACHABLE, nowMillis)
                }
            }
        }

        private fun sendChunk(requester: Node, index: Int) {
            val size = scenario.chunkBytes
            val delays =
                mutableListOf(
                    uplink.reserve(size, nowMillis),
                    requester.downlink.reserve(size, nowMillis)
                )
            if (region != requester.region) {
                interRegionBytes[requester.region] += size.toLong()
                delays += interRegion[requester.region].reserve(size, nowMillis)
            }
            outBytes += size
            planner.onUploaded().forEach(::apply)
            requester.inBytes += size
            schedule(delays.max() + transferMillis(size) + 2 * LATENCY_MILLIS) {
                if (isCrashed || isLosingFrames) {
                    requester.failAfterTimeout(index)
                } else {
                    requester.receiveChunk(index)
                }
            }
        }

        private fun transferMillis(size: Int): Long =
            size * MILLIS_PER_SECOND / scenario.linkBytesPerSecond

        private fun receiveChunk(index: Int) {
            if (isFinished || isCrashed) return
            messages++
            val isCorrupt =
                nowMillis < corruptUntil || random.nextDouble() < scenario.corruptFraction
            if (isCorrupt) {
                planner.onFailed(index, FetchFailure.CORRUPT, nowMillis)
            } else {
                heldChunks[index] = true
                pendingRequests.remove(index)?.forEach { sendChunk(it, index) }
                planner.onVerified(index, nowMillis).forEach(::apply)
                chunkArrivals++
                injectDueFaults()
            }
            if (!isFinished) plan()
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000L
    }
}

/** Lower bound in milliseconds on the time in which any algorithm can finish [scenario]. */
fun lowerBoundMillis(scenario: ExchangeScenario): Long {
    val size = scenario.releaseBytes.toDouble()
    val linkRate = scenario.linkBytesPerSecond.toDouble()
    val originRate = scenario.originBytesPerSecond.toDouble()
    val vms = scenario.vms.toDouble()
    val interRegionSeconds =
        if (scenario.regions > 1) size / scenario.interRegionBytesPerSecond else 0.0
    val seconds = listOf(
        size / originRate,
        size / linkRate,
        vms * size / (originRate + vms * linkRate),
        interRegionSeconds
    ).max()
    return (seconds * MILLIS_PER_SECOND_DECIMAL).toLong()
}

private const val MILLIS_PER_SECOND_DECIMAL = 1000.0
