/*
 * Decides, for one release on one VM, which chunks to fetch from where. Chunks enter a region
 * through importers: for each chunk the live VMs of the region are ranked by rendezvous hashing,
 * the first one imports it, and the next in rank steps in when the region has learned of no new
 * chunk for a timeout. Only the region nearest to the weight store imports from it; the importers
 * of the other regions ask the importer of that region, and the weight store when that fails.
 * Inside a region a bounded set of neighbours exchanges chunks, rarest first.
 *
 * The planner does no I/O and reads no clock; it runs the same under virtual time and in the
 * agent.
 */
package org.toucanspur.core.weights

import java.util.BitSet
import kotlin.random.Random
import org.toucanspur.core.membership.stableHash
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.VmId

/** Limits of one VM's part in the exchange of a release. */
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
     * Time without a word after which a member of the region is taken for dead, where members speak
     * regularly; 0 where they do not.
     */
    val silenceMillis: Long = 0
)

/** Where a chunk is fetched from. */
sealed interface ChunkSource {
    /** The weight store of the platform. */
    data object Store : ChunkSource

    /** A neighbour, or the importer of the region nearest to the weight store. */
    data class Peer(val vm: VmId, val isRemote: Boolean = false) : ChunkSource
}

/** What the planner asks its host to do. */
sealed interface ExchangeEffect {
    /** Fetch the chunk with [index] from [source]. */
    data class Fetch(val index: Int, val source: ChunkSource) : ExchangeEffect

    /** Tell all neighbours that the chunk with [index] is here. */
    data class Announce(val index: Int) : ExchangeEffect

    /** Ask all neighbours to fetch elsewhere if they can, or no longer. */
    data class Choke(val isChoked: Boolean) : ExchangeEffect

    /** All chunks are here and verified. */
    data object Complete : ExchangeEffect
}

/** The exchange of one release on one VM. Not safe for use by several threads. */
class ExchangePlanner(
    release: ReleaseDigest,
    private val self: VmId,
    chunkCount: Int,
    private val limits: ExchangeLimits,
    startMillis: Long
) {
    private val total = chunkCount
    private val held = BitSet(chunkCount)
    private val inRegion = BitSet(chunkCount)
    private val random = Random(stableHash("${release.value}/${self.value}"))
    private val preference = (0 until chunkCount).shuffled(random).toIntArray()
    private val wanted = BitSet(chunkCount)
    private val peers = PeerBook(chunkCount, random)
    private val duties = ImportDuties(release, self, chunkCount)
    private val fetches = arrayOfNulls<Fetching>(chunkCount)
    private var uploads = 0
    private var isChoked = false
    private var imports = 0
    private var storeFetches = 0
    private var exchanges = 0
    private val pace = ProgressPace(startMillis, limits.importTimeoutMillis)
    private val presence = Presence(self, limits.silenceMillis, startMillis)
    private var lastExpiryMillis = startMillis
    private var storeRetryMillis = startMillis
    private var storeFailedMillis = startMillis - OUTAGE_GRACE_MILLIS
    private var remoteRetryMillis = startMillis
    private var heldRank = 0
    private var heldRankUntilMillis = startMillis

    /** Chunks held and verified. */
    val heldCount: Int get() = held.cardinality()

    /** Whether the weight store failed at the last attempt to import from it. */
    var isStoreDown: Boolean = false
        private set

    /** Whether all chunks are here. */
    val isComplete: Boolean get() = heldCount == total

    /** Bitmap of the chunks held, for a new neighbour. */
    fun bitmap(): ByteArray = held.toByteArray()

    /** Marks chunks that another release has left in the chunk memory. */
    fun addHeld(indexes: Iterable<Int>) = indexes.forEach {
        held.set(it)
        inRegion.set(it)
    }

    /** Sets the live VMs of the region that take part; includes this VM. */
    fun setMembers(vms: Collection<VmId>) {
        presence.setListed(vms)
        duties.setMembers(presence.present(lastExpiryMillis))
    }

    /**
     * Sets the VMs that import from the weight store: those of the region nearest to it, empty when
     * this is that region, or all VMs, so that each imports its part. [directShare] is the share of
     * the chunks that this region imports from the weight store all the same.
     */
    fun setHome(vms: Collection<VmId>, directShare: Double) {
        duties.setHome(vms, directShare)
        val present = vms.toSet()
        for (index in 0 until total) {
            val source = fetches[index]?.source as? ChunkSource.Peer ?: continue
            if (source.isRemote && source.vm !in present) end(index)
        }
    }

    /** Records the bitmap of a neighbour. */
    fun onPeerBitmap(vm: VmId, bitmap: ByteArray, nowMillis: Long) {
        presence.onHeard(vm, nowMillis)
        val chunks = BitSet.valueOf(bitmap)
        for (index in 0 until total) {
            if (chunks.get(index)) onPeerChunk(vm, index, nowMillis)
        }
    }

    /** Records one chunk that a neighbour has verified. */
    fun onPeerChunk(vm: VmId, index: Int, nowMillis: Long) {
        if (index !in 0 until total || !peers.add(vm, index, nowMillis)) return
        noteInRegion(index, nowMillis)
        giveUpSlowImport(index, nowMillis)
        refreshWanted(index)
    }

    // A neighbour has the chunk, so an own import that hangs is of no use.
    private fun giveUpSlowImport(index: Int, nowMillis: Long) {
        val fetch = fetches[index] ?: return
        val ageMillis = nowMillis - fetch.startMillis
        if (isImport(fetch.source) && ageMillis >= limits.importTimeoutMillis) end(index)
    }

    private fun refreshWanted(index: Int) = wanted.set(
        index,
        !held.get(index) && fetches[index] == null && peers.availabilityOf(index) > 0
    )

    private fun noteInRegion(index: Int, nowMillis: Long) {
        if (inRegion.get(index)) return
        inRegion.set(index)
        pace.onProgress(nowMillis)
    }

    /** Records that a neighbour asks to be spared, or no longer. */
    fun onPeerChoked(vm: VmId, isChoked: Boolean) = peers.setChoked(vm, isChoked)

    /** Records a chunk that was sent to another VM. */
    fun onUploaded(): List<ExchangeEffect> {
        uploads++
        return listOfNotNull(chokeChange())
    }

    // A VM that has sent more than it received asks its neighbours to spare it, so that all links
    // carry about the same.
    private fun chokeChange(): ExchangeEffect? {
        val allowed = heldCount + total * limits.uploadSlackPercent / PERCENT
        val isOver = uploads > allowed
        val isUnder = uploads < allowed - total * limits.uploadSlackPercent / PERCENT / 2
        val next = if (isChoked) !isUnder else isOver
        if (next == isChoked) return null
        isChoked = next
        return ExchangeEffect.Choke(next)
    }

    /** Forgets a neighbour whose connection ended; its open fetches are planned again. */
    fun onPeerLost(vm: VmId) {
        for (index in 0 until total) {
            val source = fetches[index]?.source
            if (source is ChunkSource.Peer && source.vm == vm) end(index)
        }
        peers.remove(vm)
        for (index in 0 until total) forgetUnlessKnown(index)
    }

    private fun forgetUnlessKnown(index: Int) {
        refreshWanted(index)
        if (!held.get(index) && peers.availabilityOf(index) == 0) inRegion.clear(index)
    }

    /** Records a chunk that arrived and was verified. */
    fun onVerified(index: Int, nowMillis: Long): List<ExchangeEffect> {
        val source = end(index)?.source
        if (source is ChunkSource.Peer) peers.onVerified(source.vm)
        if (source is ChunkSource.Store) isStoreDown = false
        if (held.get(index)) return emptyList()
        held.set(index)
        wanted.clear(index)
        noteInRegion(index, nowMillis)
        return listOfNotNull(
            ExchangeEffect.Announce(index),
            chokeChange(),
            ExchangeEffect.Complete.takeIf { isComplete }
        )
    }

    /** Records a failed fetch; a corrupt answer charges its source. */
    fun onFailed(index: Int, failure: FetchFailure, nowMillis: Long) {
        val source = end(index)?.source ?: return
        when {
            source is ChunkSource.Store -> onStoreFailed(failure, nowMillis)
            source is ChunkSource.Peer && source.isRemote ->
                onImporterFailed(source.vm, failure, nowMillis)
            source is ChunkSource.Peer -> {
                if (failure == FetchFailure.CORRUPT) {
                    peers.charge(source.vm, nowMillis)
                } else {
                    peers.withdraw(source.vm, index)
                }
                forgetUnlessKnown(index)
            }
        }
    }

    private fun onImporterFailed(importer: VmId, failure: FetchFailure, nowMillis: Long) {
        if (failure == FetchFailure.NOT_YET) return
        if (failure == FetchFailure.CUT_OFF) {
            remoteRetryMillis = nowMillis + limits.importRetryMillis
            pace.excuse(nowMillis)
            // An outage of the weight store is no fault of the importer, which may be the last to
            // notice its end.
            val isOutage = isStoreDown || nowMillis < storeFailedMillis + OUTAGE_GRACE_MILLIS
            if (isOutage) return
        }
        duties.avoid(importer, nowMillis + AVOIDED_MILLIS)
    }

    // While the weight store is down no other importer would do better, so that the time does not
    // count as a stall: all members would import the same chunks from it when it is back.
    private fun onStoreFailed(failure: FetchFailure, nowMillis: Long) {
        storeRetryMillis = nowMillis + limits.importRetryMillis
        if (failure == FetchFailure.CORRUPT) return
        isStoreDown = true
        storeFailedMillis = nowMillis
        duties.avoidNone()
        pace.excuse(nowMillis)
    }

    private fun end(index: Int): Fetching? {
        val fetch = fetches[index] ?: return null
        fetches[index] = null
        refreshWanted(index)
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
        duties.setMembers(presence.present(nowMillis))
        presence.takeSilent(nowMillis).forEach(::onPeerLost)
        for (index in 0 until total) {
            val fetch = fetches[index] ?: continue
            if (nowMillis - fetch.startMillis < timeoutOf(fetch.source)) continue
            onFailed(index, FetchFailure.UNREACHABLE, nowMillis)
        }
    }

    // An import waits behind a window of others, so its timeout follows the pace of the region.
    private fun timeoutOf(source: ChunkSource): Long = if (isImport(source)) {
        maxOf(limits.importFetchTimeoutMillis, pace.millisFor(2 * limits.importWindow))
    } else {
        limits.fetchTimeoutMillis
    }

    private fun isImport(source: ChunkSource): Boolean =
        source is ChunkSource.Store || (source is ChunkSource.Peer && source.isRemote)

    // Imports advance in an order that all VMs share, a window ahead of what the region is known
    // to hold, so that the links into the region carry no long queues.
    private fun planImports(nowMillis: Long, effects: MutableList<ExchangeEffect>) {
        if (imports >= limits.importsMax) return
        val rankLimit = rankLimit(nowMillis)
        val turnLimit = inRegion.cardinality() + limits.importWindow * (1 + rankLimit)
        for (index in duties.ordered) {
            if (imports >= limits.importsMax || duties.rankOf(index) > rankLimit) return
            val isDue = duties.turnOf(index) < turnLimit
            if (!isDue || !isMissing(index) || inRegion.get(index)) continue
            val source = importSource(index, rankLimit, nowMillis)
            val mayAsk = if (source is ChunkSource.Store) {
                mayAskStore(nowMillis)
            } else {
                nowMillis >= remoteRetryMillis
            }
            if (!mayAsk) continue
            if (source is ChunkSource.Store) storeFetches++
            imports++
            start(index, source, nowMillis, effects)
        }
    }

    // Imports from other regions wait for their importers; the weight store must not wait with
    // them.
    private fun mayAskStore(nowMillis: Long): Boolean =
        storeFetches < limits.storeFetchesMax && nowMillis >= storeRetryMillis

    // An importer that stalls has other chunks to import too. Each of them is progress, so that
    // whoever steps in goes on for a while without another timeout.
    private fun rankLimit(nowMillis: Long): Int {
        val stalls = pace.stalls(nowMillis)
        if (nowMillis >= heldRankUntilMillis) heldRank = 0
        if (stalls > 0) {
            heldRank = maxOf(heldRank, stalls)
            heldRankUntilMillis = nowMillis + limits.importTimeoutMillis
        }
        return maxOf(stalls, heldRank)
    }

    private fun importSource(index: Int, stalls: Int, nowMillis: Long): ChunkSource {
        val importer = duties.homeImporter(index, stalls, nowMillis)
        val isFromStore = importer == null || importer == self || stalls >= REMOTE_ATTEMPTS_MAX
        return if (isFromStore) {
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
            start(index, ChunkSource.Peer(peer), nowMillis, effects)
        }
    }

    private fun rarestFetchable(nowMillis: Long): Int? {
        var best: Int? = null
        var bestRarity = Int.MAX_VALUE
        var index = wanted.nextSetBit(0)
        while (index >= 0) {
            val rarity = peers.availabilityOf(index) * total + preference[index]
            if (rarity < bestRarity && peers.isFetchable(index, limits, nowMillis)) {
                best = index
                bestRarity = rarity
            }
            index = wanted.nextSetBit(index + 1)
        }
        return best
    }

    private fun start(
        index: Int,
        source: ChunkSource,
        nowMillis: Long,
        effects: MutableList<ExchangeEffect>
    ) {
        fetches[index] = Fetching(source, nowMillis)
        wanted.clear(index)
        effects += ExchangeEffect.Fetch(index, source)
    }

    private class Fetching(val source: ChunkSource, val startMillis: Long)

    private companion object {
        const val EXPIRY_MILLIS = 250L
        const val PERCENT = 100
        const val REMOTE_ATTEMPTS_MAX = 2

        // Importers notice the end of an outage with their next attempt.
        const val OUTAGE_GRACE_MILLIS = 1000L

        // An importer of another region that does not answer is left out for this long.
        const val AVOIDED_MILLIS = 3000L
    }
}
