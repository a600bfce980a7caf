/*
 * Selects, for one release on one VM, which chunks to fetch and from which source. Chunks enter a
 * region through importers: for each chunk the live VMs of the region are ranked by rendezvous
 * hashing. The highest-ranked VM imports the chunk, and the next one takes over when no new chunk
 * has become available in the region for a timeout. Only the store region, nearest to the weight
 * store, imports from it. Importers of other regions fetch from the importer in that region and
 * fall back to the weight store. Inside a region a bounded set of neighbours exchanges chunks,
 * rarest first.
 *
 * The planner does no I/O and reads no clock, so the simulation in virtual time and the agent run
 * the same code.
 */
package org.toucanspur.core.weights

import java.util.BitSet
import kotlin.random.Random
import org.toucanspur.core.membership.stableHash
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.VmId

/** Limits of one VM in the chunk exchange of a release. */
data class ExchangeLimits(
    val neighbours: Int = 6,
    val fetchesMax: Int = 8,
    val fetchesPerPeerMax: Int = 2,
    val importsMax: Int = 4,
    val storeFetchesMax: Int = importsMax,
    val importTimeoutMillis: Long = 4000,
    val importRetryMillis: Long = 1000,
    val fetchTimeoutMillis: Long = 10_000,
    val importFetchTimeoutMillis: Long = 20_000,
    val importWindow: Int = 64,
    val chokeMillis: Long = 1000,
    val uploadSlackPercent: Int = 2,
    /**
     * Time without a message after which a member of the region is considered dead; 0 disables the
     * check where members send no regular messages.
     */
    val silenceMillis: Long = 0
)

/** Source of a chunk. */
sealed interface ChunkSource {
    /** The weight store of the platform. */
    data object Store : ChunkSource

    /** A neighbour, or the importer of the store region. */
    data class Peer(val vm: VmId, val isRemote: Boolean = false) : ChunkSource
}

/** Action that the planner requests from its host. */
sealed interface ExchangeEffect {
    /** Fetch the chunk with [index] from [source]. */
    data class Fetch(val index: Int, val source: ChunkSource) : ExchangeEffect

    /** Announce to all neighbours that this VM holds the chunk with [index]. */
    data class Announce(val index: Int) : ExchangeEffect

    /** Ask all neighbours to prefer other sources, or withdraw that request. */
    data class Choke(val isChoked: Boolean) : ExchangeEffect

    /** All chunks are held and verified. */
    data object Complete : ExchangeEffect
}

/** Plans the exchange of one release on one VM. Not thread-safe. */
class ExchangePlanner(
    release: ReleaseDigest,
    private val self: VmId,
    chunkCount: Int,
    private val limits: ExchangeLimits,
    startMillis: Long
) {
    private val total = chunkCount
    private val held = BitSet(chunkCount)
    private val heldInRegion = BitSet(chunkCount)
    private val random = Random(stableHash("${release.value}/${self.value}"))
    private val tieBreakOrder = (0 until chunkCount).shuffled(random).toIntArray()
    private val fetchable = BitSet(chunkCount)
    private val peers = PeerTable(chunkCount, random)
    private val assignment = ImportAssignment(release, self, chunkCount)
    private val fetches = arrayOfNulls<OpenFetch>(chunkCount)
    private var uploads = 0
    private var isChoked = false
    private var imports = 0
    private var storeFetches = 0
    private var exchanges = 0
    private val progress = ImportProgressTracker(startMillis, limits.importTimeoutMillis)
    private val liveness = MemberLiveness(self, limits.silenceMillis, startMillis)
    private var lastExpiryMillis = startMillis
    private var storeRetryAtMillis = startMillis
    private var storeFailedAtMillis = startMillis - OUTAGE_GRACE_MILLIS
    private var remoteRetryAtMillis = startMillis
    private var extendedRank = 0
    private var extendedRankUntilMillis = startMillis

    /** Number of chunks that are held and verified. */
    val heldCount: Int get() = held.cardinality()

    /** Whether the last import from the weight store failed. */
    var isStoreDown: Boolean = false
        private set

    /** Whether all chunks are held. */
    val isComplete: Boolean get() = heldCount == total

    /** Bitmap of the held chunks, sent to a new neighbour. */
    fun bitmap(): ByteArray = held.toByteArray()

    /** Marks chunks as held that another release left in the chunk memory. */
    fun addHeld(indexes: Iterable<Int>) = indexes.forEach {
        held.set(it)
        heldInRegion.set(it)
    }

    /** Sets the participating VMs of the region, including this VM. */
    fun setMembers(vms: Collection<VmId>) {
        liveness.setListed(vms)
        assignment.setMembers(liveness.present(lastExpiryMillis))
    }

    /**
     * Sets the VMs that import from the weight store: those of the store region, none when
     * this is that region, or all VMs, so that each imports its part. [directShare] is the share of
     * the chunks that this region imports directly from the weight store in any case.
     */
    fun setStoreImporters(vms: Collection<VmId>, directShare: Double) {
        assignment.setStoreImporters(vms, directShare)
        val importers = vms.toSet()
        for (index in 0 until total) {
            val source = fetches[index]?.source as? ChunkSource.Peer ?: continue
            if (source.isRemote && source.vm !in importers) endFetch(index)
        }
    }

    /** Records the chunk bitmap of a neighbour. */
    fun onPeerBitmap(vm: VmId, bitmap: ByteArray, nowMillis: Long) {
        liveness.onMessage(vm, nowMillis)
        val chunks = BitSet.valueOf(bitmap)
        for (index in 0 until total) {
            if (chunks.get(index)) onPeerChunk(vm, index, nowMillis)
        }
    }

    /** Records one chunk that a neighbour has verified. */
    fun onPeerChunk(vm: VmId, index: Int, nowMillis: Long) {
        if (index !in 0 until total || !peers.add(vm, index, nowMillis)) return
        markInRegion(index, nowMillis)
        cancelStalledImport(index, nowMillis)
        updateFetchable(index)
    }

    // A neighbour holds the chunk, so a stalled import of it is no longer needed.
    private fun cancelStalledImport(index: Int, nowMillis: Long) {
        val fetch = fetches[index] ?: return
        val ageMillis = nowMillis - fetch.startMillis
        if (isImport(fetch.source) && ageMillis >= limits.importTimeoutMillis) endFetch(index)
    }

    private fun updateFetchable(index: Int) = fetchable.set(
        index,
        !held.get(index) && fetches[index] == null && peers.availabilityOf(index) > 0
    )

    private fun markInRegion(index: Int, nowMillis: Long) {
        if (heldInRegion.get(index)) return
        heldInRegion.set(index)
        progress.onProgress(nowMillis)
    }

    /** Records whether a neighbour asks others to prefer other sources. */
    fun onPeerChoked(vm: VmId, isChoked: Boolean) = peers.setChoked(vm, isChoked)

    /** Records a chunk that was sent to another VM. */
    fun onUploaded(): List<ExchangeEffect> {
        uploads++
        return listOfNotNull(updateChoke())
    }

    // A VM that has sent more chunks than it holds, plus a slack, chokes its neighbours so that
    // uploads are spread evenly over all links.
    private fun updateChoke(): ExchangeEffect? {
        val allowed = heldCount + total * limits.uploadSlackPercent / PERCENT
        val isAboveLimit = uploads > allowed
        val isBelowLimit = uploads < allowed - total * limits.uploadSlackPercent / PERCENT / 2
        val next = if (isChoked) !isBelowLimit else isAboveLimit
        if (next == isChoked) return null
        isChoked = next
        return ExchangeEffect.Choke(next)
    }

    /** Removes a disconnected neighbour; its open fetches are planned again. */
    fun onPeerLost(vm: VmId) {
        for (index in 0 until total) {
            val source = fetches[index]?.source
            if (source is ChunkSource.Peer && source.vm == vm) endFetch(index)
        }
        peers.remove(vm)
        for (index in 0 until total) clearUnlessAvailable(index)
    }

    private fun clearUnlessAvailable(index: Int) {
        updateFetchable(index)
        if (!held.get(index) && peers.availabilityOf(index) == 0) heldInRegion.clear(index)
    }

    /** Records a received and verified chunk. */
    fun onVerified(index: Int, nowMillis: Long): List<ExchangeEffect> {
        val source = endFetch(index)?.source
        if (source is ChunkSource.Peer) peers.onVerified(source.vm)
        if (source is ChunkSource.Store) isStoreDown = false
        if (held.get(index)) return emptyList()
        held.set(index)
        fetchable.clear(index)
        markInRegion(index, nowMillis)
        return listOfNotNull(
            ExchangeEffect.Announce(index),
            updateChoke(),
            ExchangeEffect.Complete.takeIf { isComplete }
        )
    }

    /** Records a failed fetch; a neighbour that sent a corrupt chunk is penalised. */
    fun onFailed(index: Int, failure: FetchFailure, nowMillis: Long) {
        val source = endFetch(index)?.source ?: return
        when {
            source is ChunkSource.Store -> onStoreFailed(failure, nowMillis)
            source is ChunkSource.Peer && source.isRemote ->
                onImporterFailed(source.vm, failure, nowMillis)
            source is ChunkSource.Peer -> {
                if (failure == FetchFailure.CORRUPT) {
                    peers.penalise(source.vm, nowMillis)
                } else {
                    peers.withdraw(source.vm, index)
                }
                clearUnlessAvailable(index)
            }
        }
    }

    private fun onImporterFailed(importer: VmId, failure: FetchFailure, nowMillis: Long) {
        if (failure == FetchFailure.NOT_YET) return
        if (failure == FetchFailure.UPSTREAM_UNAVAILABLE) {
            remoteRetryAtMillis = nowMillis + limits.importRetryMillis
            progress.restartStallTimer(nowMillis)
            // The importer is not excluded for an outage of the weight store. It may also detect
            // the end of the outage later than this VM.
            val isOutage = isStoreDown || nowMillis < storeFailedAtMillis + OUTAGE_GRACE_MILLIS
            if (isOutage) return
        }
        assignment.excludeImporter(importer, nowMillis + EXCLUSION_MILLIS)
    }

    // While the weight store is down, no other importer can make progress. The outage does not
    // count as a stall, or all members would import the same chunks once the store recovers.
    private fun onStoreFailed(failure: FetchFailure, nowMillis: Long) {
        storeRetryAtMillis = nowMillis + limits.importRetryMillis
        if (failure == FetchFailure.CORRUPT) return
        isStoreDown = true
        storeFailedAtMillis = nowMillis
        assignment.clearExclusions()
        progress.restartStallTimer(nowMillis)
    }

    private fun endFetch(index: Int): OpenFetch? {
        val fetch = fetches[index] ?: return null
        fetches[index] = null
        updateFetchable(index)
        val source = fetch.source
        if (source is ChunkSource.Store) storeFetches--
        if (isImport(source)) {
            imports--
        } else if (source is ChunkSource.Peer) {
            peers.addOutstanding(source.vm, -1)
            exchanges--
        }
        return fetch
    }

    /** Plans new fetches; call it after each input and at least once a second. */
    fun plan(nowMillis: Long): List<ExchangeEffect> {
        if (isComplete) return emptyList()
        val effects = mutableListOf<ExchangeEffect>()
        expireFetches(nowMillis)
        planImports(nowMillis, effects)
        planExchange(nowMillis, effects)
        return effects
    }

    private fun expireFetches(nowMillis: Long) {
        if (nowMillis - lastExpiryMillis < EXPIRY_MILLIS) return
        lastExpiryMillis = nowMillis
        assignment.setMembers(liveness.present(nowMillis))
        liveness.removeSilent(nowMillis).forEach(::onPeerLost)
        for (index in 0 until total) {
            val fetch = fetches[index] ?: continue
            if (nowMillis - fetch.startMillis < timeoutOf(fetch.source)) continue
            onFailed(index, FetchFailure.UNREACHABLE, nowMillis)
        }
    }

    // An import queues behind a window of others, so its timeout scales with the import rate of
    // the region.
    private fun timeoutOf(source: ChunkSource): Long = if (isImport(source)) {
        maxOf(limits.importFetchTimeoutMillis, progress.millisFor(2 * limits.importWindow))
    } else {
        limits.fetchTimeoutMillis
    }

    private fun isImport(source: ChunkSource): Boolean =
        source is ChunkSource.Store || (source is ChunkSource.Peer && source.isRemote)

    // All VMs import in the same order, at most one window ahead of the chunks known to be in the
    // region. This keeps queues on the links into the region short.
    private fun planImports(nowMillis: Long, effects: MutableList<ExchangeEffect>) {
        if (imports >= limits.importsMax) return
        val rankLimit = rankLimit(nowMillis)
        val positionLimit = heldInRegion.cardinality() + limits.importWindow * (1 + rankLimit)
        for (index in assignment.indexesInRankOrder) {
            if (imports >= limits.importsMax || assignment.rankOf(index) > rankLimit) return
            val isInWindow = assignment.positionOf(index) < positionLimit
            if (!isInWindow || !isMissing(index) || heldInRegion.get(index)) continue
            val source = importSource(index, rankLimit, nowMillis)
            val mayFetch = if (source is ChunkSource.Store) {
                mayFetchFromStore(nowMillis)
            } else {
                nowMillis >= remoteRetryAtMillis
            }
            if (!mayFetch) continue
            if (source is ChunkSource.Store) storeFetches++
            imports++
            startFetch(index, source, nowMillis, effects)
        }
    }

    // Imports from other regions wait for the importers there. Fetches from the weight store have
    // a limit of their own so that they are not delayed by these.
    private fun mayFetchFromStore(nowMillis: Long): Boolean =
        storeFetches < limits.storeFetchesMax && nowMillis >= storeRetryAtMillis

    // A stalled importer is also responsible for other chunks. A chunk from a substitute counts as
    // progress and resets the stall count, so the raised limit stays valid for another timeout.
    private fun rankLimit(nowMillis: Long): Int {
        val stalls = progress.stalls(nowMillis)
        if (nowMillis >= extendedRankUntilMillis) extendedRank = 0
        if (stalls > 0) {
            extendedRank = maxOf(extendedRank, stalls)
            extendedRankUntilMillis = nowMillis + limits.importTimeoutMillis
        }
        return maxOf(stalls, extendedRank)
    }

    private fun importSource(index: Int, stalls: Int, nowMillis: Long): ChunkSource {
        val importer = assignment.remoteImporterFor(index, stalls, nowMillis)
        val usesStore = importer == null || importer == self || stalls >= REMOTE_ATTEMPTS_MAX
        return if (usesStore) {
            ChunkSource.Store
        } else {
            ChunkSource.Peer(checkNotNull(importer), isRemote = true)
        }
    }

    private fun isMissing(index: Int): Boolean = !held.get(index) && fetches[index] == null

    private fun planExchange(nowMillis: Long, effects: MutableList<ExchangeEffect>) {
        while (exchanges < limits.fetchesMax) {
            val index = rarestFetchable(nowMillis) ?: return
            val peer = peers.bestFor(index, limits, nowMillis) ?: return
            exchanges++
            peers.addOutstanding(peer, 1)
            startFetch(index, ChunkSource.Peer(peer), nowMillis, effects)
        }
    }

    private fun rarestFetchable(nowMillis: Long): Int? {
        var best: Int? = null
        var bestRarity = Int.MAX_VALUE
        var index = fetchable.nextSetBit(0)
        while (index >= 0) {
            val rarity = peers.availabilityOf(index) * total + tieBreakOrder[index]
            if (rarity < bestRarity && peers.isFetchable(index, limits, nowMillis)) {
                best = index
                bestRarity = rarity
            }
            index = fetchable.nextSetBit(index + 1)
        }
        return best
    }

    private fun startFetch(
        index: Int,
        source: ChunkSource,
        nowMillis: Long,
        effects: MutableList<ExchangeEffect>
    ) {
        fetches[index] = OpenFetch(source, nowMillis)
        fetchable.clear(index)
        effects += ExchangeEffect.Fetch(index, source)
    }

    private class OpenFetch(val source: ChunkSource, val startMillis: Long)

    private companion object {
        const val EXPIRY_MILLIS = 250L
        const val PERCENT = 100
        const val REMOTE_ATTEMPTS_MAX = 2

        // Importers detect the end of an outage only with their next attempt.
        const val OUTAGE_GRACE_MILLIS = 1000L

        // How long an unresponsive importer of another region is excluded.
        const val EXCLUSION_MILLIS = 3000L
    }
}
