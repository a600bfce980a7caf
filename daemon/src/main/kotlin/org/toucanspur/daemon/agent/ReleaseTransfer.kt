/*
 * Transfers one release to one agent: first the manifest, then the chunks that [ExchangePlanner]
 * schedules.
 */
package org.toucanspur.daemon.agent

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.events.EventSubject
import org.toucanspur.core.membership.rendezvousRank
import org.toucanspur.core.platform.WeightStore
import org.toucanspur.core.weights.ChunkRef
import org.toucanspur.core.weights.ChunkSource
import org.toucanspur.core.weights.ExchangeEffect
import org.toucanspur.core.weights.ExchangeLimits
import org.toucanspur.core.weights.ExchangePlanner
import org.toucanspur.core.weights.FetchFailure
import org.toucanspur.core.weights.Manifest
import org.toucanspur.core.weights.ManifestAssembler
import org.toucanspur.daemon.log.EventLog
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.schema.Choke
import org.toucanspur.schema.ChunkDigest
import org.toucanspur.schema.ChunkRequest
import org.toucanspur.schema.Got
import org.toucanspur.schema.Have
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.VmId

private const val BLOB_PEER_TIMEOUT_MILLIS = 1000L
private const val MANIFEST_RETRY_MILLIS = 200L
private const val PLAN_INTERVAL_MILLIS = 100L
private const val REMOTE_SERVE_TIMEOUT_MILLIS = 30_000L

/**
 * VMs that require a release. [regionVms] are those of the local region, [storeRegionVms] those of
 * the store region, empty when that is the local region. [directShare] is the
 * share of chunks that this region still imports directly from the store.
 */
data class ReleaseMembers(
    val regionVms: List<VmId>,
    val storeRegionVms: List<VmId> = emptyList(),
    val directShare: Double = 1.0
)

/** Progress of a transfer, in chunks. */
data class TransferProgress(val chunksHeld: Int, val chunksTotal: Int) {
    val isComplete: Boolean get() = chunksTotal > 0 && chunksHeld == chunksTotal
}

/** Dependencies that the transfers of an agent share. */
class TransferContext(
    val self: VmId,
    val scope: CoroutineScope,
    val store: WeightStore,
    val memory: ChunkMemory,
    val download: RateLimiter,
    val limits: ExchangeLimits,
    val connections: PeerConnectionTable,
    val events: EventLog
)

/** Transfers [release] to this agent; [members] are the VMs that require it. */
class ReleaseTransfer(
    val release: ReleaseDigest,
    private val context: TransferContext,
    @Volatile private var members: ReleaseMembers
) {
    private val mutex = Mutex()
    private val assembler = ManifestAssembler(release)
    private val manifestBlobs = ConcurrentHashMap<ChunkDigest, ByteArray>()
    private val blobWaiters = ConcurrentHashMap<ChunkDigest, CompletableDeferred<ByteArray>>()
    private val pendingBitmaps = ConcurrentHashMap<VmId, ByteArray>()
    private val startMillis = monotonicMillis()
    private val progressState = MutableStateFlow(TransferProgress(0, 0))
    private var chunks: List<ChunkRef> = emptyList()
    private var indexOf: Map<ChunkDigest, Int> = emptyMap()
    private var planner: ExchangePlanner? = null
    private var isMemoryFullReported = false
    private val subject = EventSubject(release = release)

    /** The manifest, or null until it is assembled. */
    @Volatile
    var manifest: Manifest? = null
        private set

    /** Progress of the transfer. */
    val progress: MutableStateFlow<TransferProgress> get() = progressState

    /** Digests of all chunks; empty until the manifest is assembled. */
    fun chunkDigests(): Set<ChunkDigest> = indexOf.keys

    /** Runs the transfer until it is cancelled. */
    suspend fun run() {
        context.events.event(EventCode.RELEASE_FETCH_STARTED, subject) {
            "release ${label()}"
        }
        fetchManifest()
        startPlanner()
        while (true) {
            plan()
            delay(PLAN_INTERVAL_MILLIS)
        }
    }

    /** Replaces the VMs that require the release. */
    suspend fun setMembers(changed: ReleaseMembers) {
        members = changed
        mutex.withLock { planner?.let(::applyMembers) }
    }

    private fun applyMembers(target: ExchangePlanner) {
        target.setMembers(members.regionVms)
        target.setStoreImporters(members.storeRegionVms, members.directShare)
    }

    private suspend fun fetchManifest() {
        val vms = members.regionVms + context.self
        val rank = rendezvousRank(release.value, vms.distinct(), vms.size) { it.value }
            .indexOf(context.self)
        while (true) {
            val missing = assembler.missing()
            if (missing.isEmpty()) break
            val mayImport =
                rank == 0 ||
                    monotonicMillis() - startMillis > rank * context.limits.importTimeoutMillis
            missing.forEach { fetchBlob(it, mayImport) }
            if (assembler.missing().isNotEmpty()) delay(MANIFEST_RETRY_MILLIS)
        }
    }

    private suspend fun fetchBlob(digest: ChunkDigest, mayImport: Boolean) {
        val blob =
            fetchBlobFromPeer(digest)
                ?: if (mayImport) context.store.fetch(digest.value).get() else null
        if (blob == null) return
        assembler.add(digest, blob)
            .onSuccess { manifestBlobs[digest] = blob }
            .onFailure { context.events.event(EventCode.CHUNK_CORRUPT, subject) { it.message } }
    }

    private suspend fun fetchBlobFromPeer(digest: ChunkDigest): ByteArray? {
        val waiter = blobWaiters.computeIfAbsent(digest) { CompletableDeferred() }
        val peer = context.connections.randomAgent() ?: return null
        context.connections.send(peer, ChunkRequest(release, digest))
        val blob = withTimeoutOrNull(BLOB_PEER_TIMEOUT_MILLIS) { waiter.await() }
        blobWaiters.remove(digest)
        return blob?.takeIf { it.isNotEmpty() }
    }

    private suspend fun startPlanner() {
        val assembled = assembler.assemble().fold(
            success = { it },
            failure = {
                context.events.event(EventCode.CHUNK_CORRUPT, subject) { it.message }
                null
            }
        ) ?: return
        mutex.withLock {
            chunks = assembled.distinctChunks()
            indexOf = chunks.withIndex().associate { (index, chunk) -> chunk.digest to index }
            val newPlanner =
                ExchangePlanner(
                    release,
                    context.self,
                    chunks.size,
                    context.limits,
                    monotonicMillis()
                )
            newPlanner.addHeld(chunks.indices.filter { context.memory.contains(chunks[it].digest) })
            applyMembers(newPlanner)
            pendingBitmaps.forEach { (vm, bitmap) ->
                newPlanner.onPeerBitmap(vm, bitmap, monotonicMillis())
            }
            planner = newPlanner
            manifest = assembled
        }
        updateProgress()
        context.connections.broadcast(Have(release, bitmap()))
    }

    /** Bitmap of the chunks held; empty until the manifest is assembled. */
    suspend fun bitmap(): ByteArray = mutex.withLock { planner?.bitmap() ?: ByteArray(0) }

    /** Records the bitmap of the chunks that a neighbour holds. */
    suspend fun onHave(vm: VmId, bitmap: ByteArray) {
        mutex.withLock {
            val current = planner
            if (current ==
                null
            ) {
                pendingBitmaps[vm] = bitmap
            } else {
                current.onPeerBitmap(vm, bitmap, monotonicMillis())
            }
        }
        plan()
    }

    /** Records that a neighbour has received the chunk at [index]. */
    suspend fun onGot(vm: VmId, index: Int) {
        mutex.withLock { planner?.onPeerChunk(vm, index, monotonicMillis()) }
        plan()
    }

    /** Records whether a neighbour chokes the chunk requests of its peers. */
    suspend fun onChoke(vm: VmId, isChoked: Boolean) {
        mutex.withLock { planner?.onPeerChoked(vm, isChoked) }
    }

    /** Records that a chunk was sent to another VM. */
    suspend fun onUploaded() {
        mutex.withLock { planner?.onUploaded().orEmpty() }.forEach { applyEffect(it) }
    }

    /** Removes a disconnected neighbour. */
    suspend fun onPeerLost(vm: VmId) {
        pendingBitmaps.remove(vm)
        mutex.withLock { planner?.onPeerLost(vm) }
    }

    /** Handles a chunk or manifest blob from a neighbour; no [bytes] mean that it has none. */
    suspend fun onData(vm: VmId, digest: ChunkDigest, bytes: ByteArray) {
        blobWaiters[digest]?.complete(bytes)
        val index = indexOf[digest] ?: return
        accept(index, bytes, "peer $vm")
    }

    /**
     * Returns a manifest blob or chunk for a peer, or no bytes when it is not held. When
     * [isRemote], waits for the chunk for a limited time, because other regions import from this
     * one.
     */
    suspend fun serve(digest: ChunkDigest, isRemote: Boolean): ByteArray {
        val present = manifestBlobs[digest] ?: context.memory.get(digest)
        if (present != null || !isRemote) return present ?: ByteArray(0)
        withTimeoutOrNull(REMOTE_SERVE_TIMEOUT_MILLIS) {
            progressState.first { context.memory.contains(digest) }
        }
        return context.memory.get(digest) ?: ByteArray(0)
    }

    private suspend fun plan() {
        val effects = mutex.withLock { planner?.plan(monotonicMillis()).orEmpty() }
        effects.forEach { applyEffect(it) }
    }

    private suspend fun applyEffect(effect: ExchangeEffect) {
        when (effect) {
            is ExchangeEffect.Fetch -> context.scope.launch { fetch(effect) }
            is ExchangeEffect.Announce -> context.connections.broadcast(Got(release, effect.index))
            is ExchangeEffect.Choke ->
                context.connections.broadcast(Choke(release, effect.isChoked))
            is ExchangeEffect.Complete -> context.events.event(
                EventCode.RELEASE_COMPLETE,
                subject
            ) {
                "release ${label()}: ${chunks.size} chunks in ${monotonicMillis() - startMillis} ms"
            }
        }
    }

    private suspend fun fetch(effect: ExchangeEffect.Fetch) {
        val chunk = chunks[effect.index]
        context.download.acquire(chunk.sizeBytes)
        when (val source = effect.source) {
            is ChunkSource.Store -> {
                val bytes = context.store.fetch(chunk.digest.value).get() ?: ByteArray(0)
                accept(effect.index, bytes, "weight store")
            }
            is ChunkSource.Peer -> {
                if (source.isRemote) context.connections.awaitRemoteAgent(source.vm)
                val isSent =
                    context.connections.send(source.vm, ChunkRequest(release, chunk.digest))
                if (!isSent) accept(effect.index, ByteArray(0), "peer ${source.vm}")
            }
        }
    }

    private suspend fun accept(index: Int, bytes: ByteArray, source: String) {
        val putResult =
            if (bytes.isEmpty()) null else context.memory.put(chunks[index].digest, bytes)
        val effects = mutex.withLock {
            val current = planner ?: return
            if (putResult == ChunkPutResult.STORED) {
                current.onVerified(index, monotonicMillis())
            } else {
                val failure = if (putResult == ChunkPutResult.CORRUPT) {
                    FetchFailure.CORRUPT
                } else {
                    FetchFailure.UNREACHABLE
                }
                current.onFailed(index, failure, monotonicMillis())
                emptyList()
            }
        }
        reportPutFailure(putResult, index, source)
        effects.forEach { applyEffect(it) }
        updateProgress()
        plan()
    }

    private fun reportPutFailure(putResult: ChunkPutResult?, index: Int, source: String) {
        if (putResult == ChunkPutResult.CORRUPT) {
            context.events.event(EventCode.CHUNK_CORRUPT, subject) {
                "chunk $index from $source does not match its digest"
            }
        }
        if (putResult == ChunkPutResult.FULL && !isMemoryFullReported) {
            isMemoryFullReported = true
            context.events.event(EventCode.CHUNK_MEMORY_FULL, subject) {
                "release ${label()} does not fit; raise memory-mib in section [weights]"
            }
        }
    }

    private suspend fun updateProgress() {
        val held = mutex.withLock { planner?.heldCount ?: 0 }
        progressState.value = TransferProgress(held, chunks.size)
    }

    private fun label(): String = release.value.take(SHORT_DIGEST_CHARS)

    private companion object {
        const val SHORT_DIGEST_CHARS = 12
    }
}
