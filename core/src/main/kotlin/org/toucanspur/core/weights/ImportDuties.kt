/*
 * Which VM brings a chunk into its region. All VMs compute the same ranking from the VM list.
 */
package org.toucanspur.core.weights

import org.toucanspur.core.membership.rendezvousScore
import org.toucanspur.core.membership.stableHash
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.VmId

/** Ranks of [self] among the members of its region, for each of [chunkCount] chunks. */
internal class ImportDuties(
    private val release: ReleaseDigest,
    private val self: VmId,
    private val chunkCount: Int
) {
    private val releaseHash = stableHash(release.value)
    private var members: List<VmId> = emptyList()
    private var home: List<VmId> = emptyList()
    private var homeHashes = LongArray(0)
    private var directShare = 0.0
    private val avoidedUntil = HashMap<VmId, Long>()
    private val turns = IntArray(chunkCount)
    private var ranks = IntArray(chunkCount)
    private var byRank: List<Int> = (0 until chunkCount).toList()

    /** Chunks in the order of the own rank, so that a scan may stop early. */
    val ordered: List<Int> get() = byRank

    init {
        val byTurn = (0 until chunkCount).sortedBy { stableHash("${release.value}/$it") }
        byTurn.forEachIndexed { turn, index -> turns[index] = turn }
    }

    /** Place of the chunk at [index] in the order of imports, which all VMs share. */
    fun turnOf(index: Int): Int = turns[index]

    /** Own rank for the chunk at [index]; 0 is the first importer. */
    fun rankOf(index: Int): Int = ranks[index]

    /** Sets the VMs of the region; includes [self]. */
    fun setMembers(vms: Collection<VmId>) {
        val sorted = (vms + self).distinct().sortedBy { it.value }
        if (sorted == members) return
        members = sorted
        val hashes = sorted.map { stableHash(it.value) }.toLongArray()
        val own = stableHash(self.value)
        ranks = IntArray(chunkCount) { index ->
            val key = releaseHash + index
            val ownScore = rendezvousScore(key, own)
            hashes.count { rendezvousScore(key, it) > ownScore }
        }
        byRank = (0 until chunkCount).sortedBy { ranks[it] }
    }

    /**
     * Sets the VMs of the region nearest to the weight store, empty when this is that region, and
     * the share of the chunks that are imported from the weight store all the same.
     */
    fun setHome(vms: Collection<VmId>, share: Double) {
        directShare = share
        home = vms.sortedBy { it.value }
        homeHashes = home.map { stableHash(it.value) }.toLongArray()
    }

    /** Leaves [vm] out as an importer for other regions until [untilMillis]. */
    fun avoid(vm: VmId, untilMillis: Long) {
        avoidedUntil[vm] = untilMillis
    }

    /** Leaves no importer out any longer. */
    fun avoidNone() = avoidedUntil.clear()

    /**
     * The VM to import the chunk at [index] from, at the given [attempt] from 0; null when it
     * comes from the weight store.
     */
    fun homeImporter(index: Int, attempt: Int, nowMillis: Long): VmId? {
        if (turns[index] % SHARE_PARTS < directShare * SHARE_PARTS) return null
        val key = releaseHash + index
        return homeHashes.indices
            .filter { nowMillis >= (avoidedUntil[home[it]] ?: 0) }
            .sortedByDescending { rendezvousScore(key, homeHashes[it]) }
            .getOrNull(attempt)
            ?.let(home::get)
    }

    private companion object {
        const val SHARE_PARTS = 100
    }
}
