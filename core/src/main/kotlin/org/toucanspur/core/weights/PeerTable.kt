/*
 * Chunk availability among the neighbours of a VM for one release.
 */
package org.toucanspur.core.weights

import java.util.BitSet
import kotlin.math.pow
import kotlin.random.Random
import org.toucanspur.schema.VmId

/** Neighbours with their chunks, open fetches and penalties. */
internal class PeerTable(private val chunkCount: Int, private val random: Random) {
    private val peers = LinkedHashMap<VmId, Peer>()
    private val availability = IntArray(chunkCount)
    private val availableSince = LongArray(chunkCount)

    /** Number of neighbours that hold the chunk at [index]. */
    fun availabilityOf(index: Int): Int = availability[index]

    /** Records that [vm] holds the chunk at [index]; returns whether this was not known before. */
    fun add(vm: VmId, index: Int, nowMillis: Long): Boolean {
        val peer = peers.getOrPut(vm) { Peer(BitSet(chunkCount)) }
        if (peer.chunks.get(index)) return false
        peer.chunks.set(index)
        if (availability[index]++ == 0) availableSince[index] = nowMillis
        return true
    }

    /** Records that [vm] does not hold the chunk at [index], contrary to its announcement. */
    fun withdraw(vm: VmId, index: Int) {
        val peer = peers[vm] ?: return
        if (!peer.chunks.get(index)) return
        peer.chunks.clear(index)
        availability[index]--
    }

    /** Removes [vm] and its chunks. */
    fun remove(vm: VmId) {
        val peer = peers.remove(vm) ?: return
        peer.chunks.stream().forEach { availability[it]-- }
    }

    /** Updates the open fetches from [vm]: +1 when one starts, -1 when one ends. */
    fun addOutstanding(vm: VmId, delta: Int) {
        val peer = peers[vm] ?: return
        peer.outstanding += delta
        if (delta > 0) peer.fetched++
    }

    /** Records whether [vm] asks others to prefer other sources. */
    fun setChoked(vm: VmId, isChoked: Boolean) {
        peers.getOrPut(vm) { Peer(BitSet(chunkCount)) }.isChoked = isChoked
    }

    /**
     * Penalises [vm] for a corrupt chunk by excluding it for a time that doubles with each penalty.
     */
    fun penalise(vm: VmId, nowMillis: Long) {
        val peer = peers[vm] ?: return
        peer.penalty += 1
        val factor = 2.0.pow(minOf(peer.penalty, PENALTY_MAX) - 1)
        peer.excludedUntilMillis = nowMillis + (EXCLUSION_MILLIS * factor).toLong()
    }

    /** Records a verified chunk from [vm], which reduces its penalty. */
    fun onVerified(vm: VmId) {
        peers[vm]?.let { it.penalty *= PENALTY_DECAY }
    }

    /** Whether at least one neighbour can send the chunk at [index] at [nowMillis]. */
    fun isFetchable(index: Int, limits: ExchangeLimits, nowMillis: Long): Boolean =
        peers.values.any { isUsable(it, index, limits, nowMillis) }

    private fun isUsable(peer: Peer, index: Int, limits: ExchangeLimits, nowMillis: Long): Boolean =
        peer.outstanding < limits.fetchesPerPeerMax &&
            nowMillis >= peer.excludedUntilMillis &&
            (!peer.isChoked || nowMillis - availableSince[index] >= limits.chokeMillis) &&
            peer.chunks.get(index)

    /**
     * Returns the neighbour to fetch the chunk at [index] from, or null when none is usable.
     * Prefers neighbours with few fetches so far, which spreads uploads evenly.
     */
    fun bestFor(index: Int, limits: ExchangeLimits, nowMillis: Long): VmId? = peers.entries
        .filter { isUsable(it.value, index, limits, nowMillis) }
        .minByOrNull { it.value.fetched * FETCHED_WEIGHT + random.nextInt(FETCHED_WEIGHT) }
        ?.key

    private class Peer(
        val chunks: BitSet,
        var outstanding: Int = 0,
        var fetched: Int = 0,
        var isChoked: Boolean = false,
        var penalty: Double = 0.0,
        var excludedUntilMillis: Long = 0
    )

    private companion object {
        const val FETCHED_WEIGHT = 16
        const val EXCLUSION_MILLIS = 500.0
        const val PENALTY_MAX = 7.0
        const val PENALTY_DECAY = 0.9
    }
}
