/*
 * Decides, for one release on one VM, which chunks to fetch from where. Chunks enter a region
 * through importers: for each chunk the live VMs of the region are ranked by rendezvous hashing,
 * the first one fetches it from the weight store, and the next in rank steps in when the import of
 * the region makes no progress for a timeout. Inside the region a bounded set of neighbours
 * exchanges chunks, rarest first.
 *
 * The planner does no I/O and reads no clock; it runs the same under virtual time and in the
 * agent.
 */
package org.toucanspur.core.weights

import java.util.BitSet
import kotlin.random.Random
import org.toucanspur.core.membership.rendezvousScore
import org.toucanspur.core.membership.stableHash
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.VmId

/** Limits of one VM's part in the exchange of a release. */
data class ExchangeLimits(
    val neighbours: Int = 6,
    val fetchesMax: Int = 8,
    val fetchesPerPeerMax: Int = 2,
    val importsMax: Int = 4,
    val importTimeoutMillis: Long = 4000,
    val fetchTimeoutMillis: Long = 10_000,
    val chargesMax: Int = 2
)

/** Where a chunk is fetched from. */
sealed interface ChunkSource {
    /** The weight store of the platform. */
    data object Store : ChunkSource

    /** Another VM of the region. */
    data class Peer(val vm: VmId) : ChunkSource
}

/** What the planner asks its host to do. */
sealed interface ExchangeEffect {
    /** Fetch the chunk with [index] from [source]. */
    data class Fetch(val index: Int, val source: ChunkSource) : ExchangeEffect

    /** Tell all neighbours that the chunk with [index] is here. */
    data class Announce(val index: Int) : ExchangeEffect

    /** All chunks are here and verified. */
    data object Complete : ExchangeEffect
}

/** The exchange of one release on one VM. Not safe for use by several threads. */
class ExchangePlanner(
    private val release: ReleaseDigest,
    private val self: VmId,
    chunkCount: Int,
    private val limits: ExchangeLimits,
    startMillis: Long
) {
    private val total = chunkCount
    private val held = BitSet(chunkCount)
    private val knownInRegion = BitSet(chunkCount)
    private val availability = IntArray(chunkCount)
    private val peers = LinkedHashMap<VmId, PeerState>()
    private val fetches = HashMap<Int, Fetching>()
    private val random = Random(stableHash("${release.value}/${self.value}"))
    private val order = (0 until chunkCount).shuffled(random)
    private var members: List<VmId> = listOf(self)
    private var ranks = IntArray(chunkCount)
    private var lastProgressMillis = startMillis
    private var storeRetryMillis = startMillis

    /** Chunks held and verified. */
    val heldCount: Int get() = held.cardinality()

    /** Whether all chunks are here. */
    val isComplete: Boolean get() = heldCount == total

    /** Bitmap of the chunks held, for a new neighbour. */
    fun bitmap(): ByteArray = held.toByteArray()

    /** Marks chunks that another release has left in the chunk memory. */
    fun addHeld(indexes: Iterable<Int>) {
        indexes.forEach {
            held.set(it)
            knownInRegion.set(it)
        }
    }

    /** Sets the live VMs of the region that take part; includes this VM. */
    fun setMembers(vms: Collection<VmId>) {
        val sorted = (vms + self).distinct().sortedBy { it.value }
        if (sorted == members) return
        members = sorted
        ranks = computeRanks(sorted)
    }

    private fun computeRanks(vms: List<VmId>): IntArray {
        val hashes = vms.map { stableHash(it.value) }
        val own = stableHash(self.value)
        val releaseHash = stableHash(release.value)
        return IntArray(total) { index ->
            val key = releaseHash + index
            val ownScore = rendezvousScore(key, own)
            hashes.count { rendezvousScore(key, it) > ownScore }
        }
    }

    /** Records the bitmap of a neighbour. */
    fun onPeerBitmap(vm: VmId, bitmap: ByteArray, nowMillis: Long) {
        val peer = peers.getOrPut(vm) { PeerState(BitSet(total)) }
        val chunks = BitSet.valueOf(bitmap)
        for (index in 0 until total) {
            if (chunks.get(index)) addToPeer(peer, index, nowMillis)
        }
    }

    /** Records one chunk that a neighbour has verified. */
    fun onPeerChunk(vm: VmId, index: Int, nowMillis: Long) {
        if (index !in 0 until total) return
        addToPeer(peers.getOrPut(vm) { PeerState(BitSet(total)) }, index, nowMillis)
    }

    private fun addToPeer(peer: PeerState, index: Int, nowMillis: Long) {
        if (peer.chunks.get(index)) return
        peer.chunks.set(index)
        availability[index]++
        noteInRegion(index, nowMillis)
    }

    private fun noteInRegion(index: Int, nowMillis: Long) {
        if (knownInRegion.get(index)) return
        knownInRegion.set(index)
        lastProgressMillis = nowMillis
    }

    /** Forgets a neighbour whose connection ended; its open fetches are planned again. */
    fun onPeerLost(vm: VmId) {
        val peer = peers.remove(vm) ?: return
        forgetChunks(peer)
        fetches.values.removeIf { it.source == ChunkSource.Peer(vm) }
    }

    private fun forgetChunks(peer: PeerState) {
        peer.chunks.stream().forEach { index ->
            availability[index]--
            if (availability[index] == 0 && !held.get(index)) knownInRegion.clear(index)
        }
    }

    /** Records a chunk that arrived and was verified. */
    fun onVerified(index: Int, nowMillis: Long): List<ExchangeEffect> {
        fetches.remove(index)?.let { release(it) }
        if (held.get(index)) return emptyList()
        held.set(index)
        noteInRegion(index, nowMillis)
        val announce = ExchangeEffect.Announce(index)
        return if (isComplete) listOf(announce, ExchangeEffect.Complete) else listOf(announce)
    }

    /** Records a failed fetch; a [corrupt] answer charges its source. */
    fun onFailed(index: Int, corrupt: Boolean, nowMillis: Long) {
        val fetch = fetches.remove(index) ?: return
        release(fetch)
        when (val source = fetch.source) {
            is ChunkSource.Store -> storeRetryMillis = nowMillis + STORE_RETRY_MILLIS
            is ChunkSource.Peer -> chargePeer(source.vm, index, corrupt)
        }
    }

    private fun chargePeer(vm: VmId, index: Int, corrupt: Boolean) {
        val peer = peers[vm] ?: return
        if (corrupt) peer.charges++
        if (peer.chunks.get(index)) {
            peer.chunks.clear(index)
            availability[index]--
            if (availability[index] == 0) knownInRegion.clear(index)
        }
    }

    private fun release(fetch: Fetching) {
        val source = fetch.source
        if (source is ChunkSource.Peer) peers[source.vm]?.let { it.outstanding-- }
    }

    /** Plans new fetches; call it after each input and at least once a second. */
    fun plan(nowMillis: Long): List<ExchangeEffect> {
        if (isComplete) return emptyList()
        expireFetches(nowMillis)
        val effects = mutableListOf<ExchangeEffect>()
        planImports(nowMillis, effects)
        planExchange(nowMillis, effects)
        return effects
    }

    private fun expireFetches(nowMillis: Long) {
        val expired = fetches.filterValues {
            nowMillis - it.startMillis >= limits.fetchTimeoutMillis
        }
        expired.keys.forEach { onFailed(it, corrupt = false, nowMillis) }
    }

    private fun planImports(nowMillis: Long, effects: MutableList<ExchangeEffect>) {
        if (nowMillis < storeRetryMillis) return
        var importing = fetches.values.count { it.source is ChunkSource.Store }
        if (importing >= limits.importsMax) return
        val stalledMillis = nowMillis - lastProgressMillis
        val rankLimit = (stalledMillis / limits.importTimeoutMillis).toInt()
        for (index in order) {
            if (importing >= limits.importsMax) return
            if (!needsImport(index, rankLimit)) continue
            startFetch(index, ChunkSource.Store, nowMillis, effects)
            importing++
        }
    }

    private fun needsImport(index: Int, rankLimit: Int): Boolean = ranks[index] <= rankLimit &&
        !held.get(index) &&
        !knownInRegion.get(index) &&
        index !in fetches

    private fun planExchange(nowMillis: Long, effects: MutableList<ExchangeEffect>) {
        var free = limits.fetchesMax - fetches.values.count { it.source is ChunkSource.Peer }
        if (free <= 0) return
        val candidates = order.filter { availability[it] > 0 && !held.get(it) && it !in fetches }
        for (index in candidates.sortedBy { availability[it] }) {
            if (free == 0) return
            val peer = bestPeer(index) ?: continue
            peers.getValue(peer).outstanding++
            startFetch(index, ChunkSource.Peer(peer), nowMillis, effects)
            free--
        }
    }

    private fun bestPeer(index: Int): VmId? = peers.entries
        .filter { it.value.chunks.get(index) }
        .filter { it.value.charges < limits.chargesMax }
        .filter { it.value.outstanding < limits.fetchesPerPeerMax }
        .shuffled(random)
        .minByOrNull { it.value.outstanding }
        ?.key

    private fun startFetch(
        index: Int,
        source: ChunkSource,
        nowMillis: Long,
        effects: MutableList<ExchangeEffect>
    ) {
        fetches[index] = Fetching(source, nowMillis)
        effects += ExchangeEffect.Fetch(index, source)
    }

    private class PeerState(val chunks: BitSet, var outstanding: Int = 0, var charges: Int = 0)

    private class Fetching(val source: ChunkSource, val startMillis: Long)

    private companion object {
        const val STORE_RETRY_MILLIS = 1000L
    }
}
