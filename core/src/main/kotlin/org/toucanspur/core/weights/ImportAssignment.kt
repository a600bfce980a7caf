/*
 * Assigns the import of each chunk into a region to a VM. All VMs compute the same ranking from
 * the VM list.
 */
package org.toucanspur.core.weights

import org.toucanspur.core.membership.rendezvousScore
import org.toucanspur.core.membership.stableHash
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.VmId

/** Rank of [self] among the members of its region for each of [chunkCount] chunks. */
internal class ImportAssignment(
    private val release: ReleaseDigest,
    private val self: VmId,
    private val chunkCount: Int
) {
    private val releaseHash = stableHash(release.value)
    private var members: List<VmId> = emptyList()
    private var storeImporters: List<VmId> = emptyList()
    private var storeImporterHashes = LongArray(0)
    private var directShare = 0.0
    private val excludedUntil = HashMap<VmId, Long>()
    private val positions = IntArray(chunkCount)
    private var ranks = IntArray(chunkCount)
    private var indexesByRank: List<Int> = (0 until chunkCount).toList()

    /** Chunk indexes by ascending rank of [self], so that a scan can stop early. */
    val indexesInRankOrder: List<Int> get() = indexesByRank

    init {
        val importOrder = (0 until chunkCount).sortedBy { stableHash("${release.value}/$it") }
        importOrder.forEachIndexed { position, index -> positions[index] = position }
    }

    /** Position of the chunk at [index] in the import order, which is the same on all VMs. */
    fun positionOf(index: Int): Int = positions[index]

    /** Rank of [self] for the chunk at [index]; 0 is the first importer. */
    fun rankOf(index: Int): Int = ranks[index]

    /** Sets the VMs of the region; includes [self]. */
    fun setMembers(vms: Collection<VmId>) {
        val sorted = (vms + self).distinct().sortedBy { it.value }
        if (sorted == members) return
        members = sorted
        val hashes = sorted.map { stableHash(it.value) }.toLongArray()
        val selfHash = stableHash(self.value)
        ranks = IntArray(chunkCount) { index ->
            val key = releaseHash + index
            val selfScore = rendezvousScore(key, selfHash)
            hashes.count { rendezvousScore(key, it) > selfScore }
        }
        indexesByRank = (0 until chunkCount).sortedBy { ranks[it] }
    }

    /**
     * Sets the VMs that import from the weight store, and the share of the chunks that this region
     * imports directly from it in any case. [vms] is empty when this region has no remote importer.
     */
    fun setStoreImporters(vms: Collection<VmId>, share: Double) {
        directShare = share
        storeImporters = vms.sortedBy { it.value }
        storeImporterHashes = storeImporters.map { stableHash(it.value) }.toLongArray()
    }

    /** Excludes [vm] as a remote importer until [untilMillis]. */
    fun excludeImporter(vm: VmId, untilMillis: Long) {
        excludedUntil[vm] = untilMillis
    }

    /** Ends all exclusions. */
    fun clearExclusions() = excludedUntil.clear()

    /**
     * Returns the VM to import the chunk at [index] from; [attempt] counts from 0. Returns null
     * when the chunk is imported from the weight store.
     */
    fun remoteImporterFor(index: Int, attempt: Int, nowMillis: Long): VmId? {
        if (positions[index] % PERCENT < directShare * PERCENT) return null
        val key = releaseHash + index
        return storeImporterHashes.indices
            .filter { nowMillis >= (excludedUntil[storeImporters[it]] ?: 0) }
            .sortedByDescending { rendezvousScore(key, storeImporterHashes[it]) }
            .getOrNull(attempt)
            ?.let(storeImporters::get)
    }

    private companion object {
        const val PERCENT = 100
    }
}
