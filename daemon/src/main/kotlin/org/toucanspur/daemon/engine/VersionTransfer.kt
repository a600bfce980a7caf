/*
 * Transfers one weight version into the piece cache: first the manifest, then the pieces from the
 * sources that the planner chooses. The planner's chunks are the pieces of the version.
 */
package org.toucanspur.daemon.engine

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.weights.ChunkSource
import org.toucanspur.core.weights.DigestDoubts
import org.toucanspur.core.weights.ExchangeEffect
import org.toucanspur.core.weights.ExchangePlanner
import org.toucanspur.core.weights.FetchFailure
import org.toucanspur.core.weights.PieceManifest
import org.toucanspur.core.weights.PieceOrigin
import org.toucanspur.core.weights.pieceExchangeLimits
import org.toucanspur.core.weights.sha256
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.schema.PieceQuery
import org.toucanspur.schema.PieceReply
import org.toucanspur.schema.PieceStatus
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.VmId

/** Agents that transfer a version: those of the local region, and those of all regions. */
data class TransferMembers(val region: List<VmId>, val all: List<VmId>)

/** Dependencies that are shared by all transfers of one agent. */
class TransferDependencies(
    val self: VmId,
    val cache: PieceCache,
    val client: PieceClient,
    val log: DecisionLog,
    val sendStatus: (PieceStatus, Collection<VmId>) -> Unit
)

/**
 * Transfers the version [key], which is expected to have [expectedCount] pieces; null if nothing is
 * known of their number. Confined to the event loop.
 */
class VersionTransfer(
    val key: VersionKey,
    private val deps: TransferDependencies,
    private val origin: PieceOrigin,
    private val originConnectionsMax: Int,
    expectedCount: Int?,
    private var members: TransferMembers,
    private val recoverStaged: suspend (VersionKey) -> Boolean,
    private val onPieceStored: (Int) -> Unit
) {
    private var planner: ExchangePlanner? = null
    private val earlyStatuses = HashMap<VmId, PieceStatus>()
    private val startMillis = monotonicMillis()
    private var lastAnnounceMillis = 0L
    private var lastLogMillis = startMillis
    private val failuresBySource = HashMap<String, Int>()
    private val manifests = ManifestReader(key, deps, origin, expectedCount) { members.all }
    private val doubts = DigestDoubts()

    /** Number of pieces held and in total; both are 0 until the manifest is known. */
    val progress: Pair<Int, Int>
        get() = (planner?.heldCount ?: 0) to (deps.cache.manifest(key)?.digests?.size ?: 0)

    /** Whether the origin failed at the last attempt to import from it. */
    val isOriginDown: Boolean get() = planner?.isStoreDown ?: false

    /** Runs until all pieces are cached. */
    suspend fun run(scope: CoroutineScope) {
        deps.log.event(EventCode.RELEASE_FETCH_STARTED) {
            put("model", key.model.value)
            put("version", key.version)
            put("peers", members.region.size)
        }
        val manifest = manifests.await()
        deps.cache.addManifest(manifest)
        val hasJustStarted = recoverStaged(key)
        startPlanner(manifest)
        announceStatus()
        // Waits for the statuses of neighbours: those that hold the version send theirs in reply
        // to the first status of an agent that has just started.
        if (hasJustStarted) delay(FIRST_STATUS_WAIT_MILLIS)
        while (!deps.cache.isComplete(key)) {
            plan(scope)
            delay(PLAN_INTERVAL_MILLIS)
        }
        announceStatus()
        deps.log.event(EventCode.RELEASE_COMPLETE) {
            put("model", key.model.value)
            put("version", key.version)
            put("afterMillis", monotonicMillis() - startMillis)
        }
    }

    // Reads another copy of the manifest, because the bytes of the piece at [index] are the same
    // from more than one fetch and do not match.
    private suspend fun reviewManifest(index: Int) {
        deps.log.event(EventCode.MANIFEST_DOUBTED) {
            put("version", key.version)
            put("piece", index)
        }
        val copy = manifests.readCopy() ?: return
        val current = deps.cache.manifest(key) ?: return
        val corrected = doubts.correct(current, copy)
        if (corrected === current) return
        deps.cache.replaceManifest(corrected)
        deps.log.event(EventCode.MANIFEST_CORRECTED) {
            put("version", key.version)
            put("pieces", current.digests.zip(corrected.digests).count { it.first != it.second })
        }
    }

    private fun startPlanner(manifest: PieceManifest) {
        val release = ReleaseDigest("${key.model.value}/${key.version}")
        val limits = pieceExchangeLimits(storeFetchesMax())
        val created =
            ExchangePlanner(release, deps.self, manifest.digests.size, limits, startMillis)
        created.addHeld(deps.cache.heldIndexes(key))
        deps.cache.heldIndexes(key).forEach(onPieceStored)
        applyMembers(created)
        earlyStatuses.forEach { (vm, status) -> applyStatus(created, vm, status) }
        planner = created
    }

    // Divides the origin's connection limit among all agents. The remainder is reserved for
    // manifests and for agents that are not listed yet.
    private fun storeFetchesMax(): Int {
        val share =
            originConnectionsMax * PIECE_CONNECTIONS_PERCENT / PERCENT / maxOf(1, members.all.size)
        return share.coerceIn(1, STORE_FETCHES_MAX)
    }

    /** Replaces the agents that take part in the transfer. */
    fun setMembers(changed: TransferMembers) {
        members = changed
        planner?.let(::applyMembers)
    }

    private fun applyMembers(target: ExchangePlanner) {
        target.setMembers(members.region)
        // Each agent imports its share from the origin, and regions import the rest from each
        // other. The links of a single importing region would have to carry all copies for the
        // other regions.
        target.setStoreImporters(members.all, directShare = 0.0)
    }

    /** Records which pieces a peer of the local region holds; ignores peers of other regions. */
    fun onStatus(vm: VmId, status: PieceStatus) {
        if (vm !in members.region) return
        val current = planner
        if (current == null) earlyStatuses[vm] = status else applyStatus(current, vm, status)
    }

    private fun applyStatus(target: ExchangePlanner, vm: VmId, status: PieceStatus) {
        target.onPeerBitmap(vm, status.bitmap, monotonicMillis())
        target.onPeerChoked(vm, status.isChoked)
    }

    /** Records that a piece was uploaded to another agent. */
    fun onUploaded() {
        planner?.onUploaded()
    }

    private fun plan(scope: CoroutineScope) {
        val current = planner ?: return
        val now = monotonicMillis()
        current.plan(now).forEach { effect ->
            if (effect is ExchangeEffect.Fetch) {
                scope.launch { fetchThenPlan(scope, current, effect) }
            }
        }
        if (now - lastAnnounceMillis >= ANNOUNCE_INTERVAL_MILLIS) announceStatus()
        if (now - lastLogMillis >= LOG_INTERVAL_MILLIS) logProgress(now)
    }

    private fun announceStatus() {
        lastAnnounceMillis = monotonicMillis()
        status()?.let { deps.sendStatus(it, members.region) }
    }

    private fun logProgress(nowMillis: Long) {
        lastLogMillis = nowMillis
        deps.log.event(EventCode.TRANSFER_PROGRESS) {
            put("version", key.version)
            put("held", progress.first)
            put("total", progress.second)
            put("peers", members.all.size)
            put("failures", failuresBySource.toString())
        }
        failuresBySource.clear()
    }

    private fun status(): PieceStatus? {
        val current = planner ?: return null
        return PieceStatus(deps.self, key.model, key.version, current.bitmap(), isChoked = false)
    }

    private suspend fun fetch(
        scope: CoroutineScope,
        current: ExchangePlanner,
        index: Int,
        source: ChunkSource
    ) {
        val fetched = when (source) {
            is ChunkSource.Store ->
                FetchedPiece(origin.piece(key.model, key.version, index).getOrElse { null })
            is ChunkSource.Peer -> {
                val reply = deps.client.fetch(source.vm, PieceQuery(key.model, key.version, index))
                FetchedPiece(reply?.bytes, reply?.isCutOff ?: false)
            }
        }
        val now = monotonicMillis()
        if (fetched.bytes != null && deps.cache.put(key, index, fetched.bytes)) {
            current.onVerified(index, now)
            onPieceStored(index)
            return
        }
        val sourceName = if (source is ChunkSource.Peer) source.vm.value else "origin"
        failuresBySource.merge(sourceName, 1, Int::plus)
        if (fetched.failure == FetchFailure.CORRUPT) {
            deps.log.event(EventCode.CHUNK_CORRUPT, isEssential = false) {
                put("piece", index)
                put("source", sourceName)
            }
            val digest = sha256(checkNotNull(fetched.bytes))
            if (doubts.onMismatch(index, digest, now)) scope.launch { reviewManifest(index) }
        }
        current.onFailed(index, fetched.failure, now)
    }

    // Result of a fetch. The bytes are null when the source did not reply, and empty when it does
    // not hold the piece.
    private class FetchedPiece(val bytes: ByteArray?, val isCutOff: Boolean = false) {
        val failure: FetchFailure
            get() = when {
                bytes == null -> FetchFailure.UNREACHABLE
                bytes.isNotEmpty() -> FetchFailure.CORRUPT
                isCutOff -> FetchFailure.UPSTREAM_UNAVAILABLE
                else -> FetchFailure.NOT_YET
            }
    }

    private suspend fun fetchThenPlan(
        scope: CoroutineScope,
        current: ExchangePlanner,
        fetch: ExchangeEffect.Fetch
    ) {
        fetch(scope, current, fetch.index, fetch.source)
        plan(scope)
    }

    private companion object {
        const val PLAN_INTERVAL_MILLIS = 15L
        const val ANNOUNCE_INTERVAL_MILLIS = 100L
        const val LOG_INTERVAL_MILLIS = 1000L
        const val PIECE_CONNECTIONS_PERCENT = 70
        const val PERCENT = 100
        const val STORE_FETCHES_MAX = 2
        const val FIRST_STATUS_WAIT_MILLIS = 120L
    }
}

/** The reply to [query] from [cache], or null if the piece is not cached. */
fun replyFromCache(cache: PieceCache, query: PieceQuery): PieceReply? {
    val key = VersionKey(query.model, query.version)
    val bytes = if (query.index == MANIFEST_INDEX) {
        cache.manifest(key)?.let { Json.encodeToString(it).encodeToByteArray() }
    } else {
        cache.get(key, query.index)
    }
    return bytes?.let { PieceReply(query.model, query.version, query.index, it, isCutOff = false) }
}
