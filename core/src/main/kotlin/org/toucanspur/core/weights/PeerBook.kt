/*
 * What the neighbours of a VM hold of one release.
 */
package org.toucanspur.core.weights

import java.util.BitSet
import kotlin.math.pow
import kotlin.random.Random
import org.toucanspur.schema.VmId

/** Neighbours with their chunks, open fetches and charges. */
internal class PeerBook(private val chunkCount: Int, private val random: Random) {
    private val peers = LinkedHashMap<VmId, Peer>()
    private val availability = IntArray(chunkCount)
    private val availableSince = LongArray(chunkCount)

    /** Number of neighbours that hold the chunk at [index]. */
    fun availabilityOf(index: Int): Int = availability[index]

    /** Notes that [vm] holds the chunk at [index]; returns whether that is new. */
    fun add(vm: VmId, index: Int, nowMillis: Long): Boolean {
        val peer = peers.getOrPut(vm) { Peer(BitSet(chunkCount)) }
        if (peer.chunks.get(index)) return false
        peer.chunks.set(index)
        if (availability[index]++ == 0) availableSince[index] = nowMillis
        return true
    }

    /** Notes that [vm] does not hold the chunk at [index] after all. */
    fun withdraw(vm: VmId, index: Int) {
        val peer = peers[vm] ?: return
        if (!peer.chunks.get(index)) return
        peer.chunks.clear(index)
        availability[index]--
    }

    /** Forgets [vm]. */
    fun remove(vm: VmId) {
        val peer = peers.remove(vm) ?: return
        peer.chunks.stream().forEach { availability[it]-- }
    }

    /** Notes that a fetch from [vm] started (+1) or ended (-1). */
    fun addOutstanding(vm: VmId, delta: Int) {
        val peer = peers[vm] ?: return
        peer.outstanding += delta
        if (delta > 0) peer.fetched++
    }

    /** Notes that [vm] asks to be spared ([isChoked]) or not. */
    fun setChoked(vm: VmId, isChoked: Boolean) {
        peers.getOrPut(vm) { Peer(BitSet(chunkCount)) }.isChoked = isChoked
    }

    /**
     * Charges [vm] with a corrupt chunk: it is avoided for a time that doubles with each charge.
     */
    fun charge(vm: VmId, nowMillis: Long) {
        val peer = peers[vm] ?: return
        peer.charge += 1
        val factor = 2.0.pow(minOf(peer.charge, CHARGE_MAX) - 1)
        peer.avoidedUntilMillis = nowMillis + (AVOID_MILLIS * factor).toLong()
    }

    /** Notes a chunk from [vm] that was verified, which makes up for earlier charges. */
    fun onVerified(vm: VmId) {
        peers[vm]?.let { it.charge *= CHARGE_DECAY }
    }

    /** Whether some neighbour can send the chunk at [index] now. */
    fun isFetchable(index: Int, limits: ExchangeLimits, nowMillis: Long): Boolean =
        peers.values.any { isUsable(it, index, limits, nowMillis) }

    private fun isUsable(peer: Peer, index: Int, limits: ExchangeLimits, nowMillis: Long): Boolean =
        peer.outstanding < limits.fetchesPerPeerMax &&
            nowMillis >= peer.avoidedUntilMillis &&
            (!peer.isChoked || nowMillis - availableSince[index] >= limits.chokeMillis) &&
            peer.chunks.get(index)

    /**
     * The neighbour to fetch the chunk at [index] from, or null when all are busy or avoided.
     * Equal shares of the fetches keep the uploads of the neighbours even.
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
        var charge: Double = 0.0,
        var avoidedUntilMillis: Long = 0
    )

    private companion object {
        const val FETCHED_WEIGHT = 16
        const val AVOID_MILLIS = 500.0
        const val CHARGE_MAX = 7.0
        const val CHARGE_DECAY = 0.9
    }
}
