/*
 * Brings one weight version into the library: the manifest first, then the pieces as the planner
 * decides. The planner's chunks are the pieces of the version.
 */
package org.toucanspur.daemon.engine

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.weights.ChunkSource
import org.toucanspur.core.weights.ExchangeEffect
import org.toucanspur.core.weights.ExchangePlanner
import org.toucanspur.core.weights.FetchFailure
import org.toucanspur.core.weights.PieceManifest
import org.toucanspur.core.weights.PieceOrigin
import org.toucanspur.core.weights.pieceExchangeLimits
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.schema.PieceQuery
import org.toucanspur.schema.PieceReply
import org.toucanspur.schema.PieceStatus
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.VmId

/** Agents that want a version: those of the own region, and all. */
data class TransferMembers(val region: List<VmId>, val all: List<VmId>)

/** What transfers of one agent share. */
class TransferParts(
    val self: VmId,
    val library: PieceLibrary,
    val links: PieceLinks,
    val log: DecisionLog,
    val tell: (PieceStatus, Collection<VmId>) -> Unit
)

/** The transfer of [key]; confined to the event loop. */
class VersionTransfer(
    val key: VersionKey,
    private val parts: TransferParts,
    private val origin: PieceOrigin,
    private val originConnectionsMax: Int,
    private var members: TransferMembers,
    private val recover: suspend (VersionKey) -> Boolean,
    private val onPiece: (Int) -> Unit
) {
    private var planner: ExchangePlanner? = null
    private val earlyStatus = HashMap<VmId, PieceStatus>()
    private val startMillis = monotonicMillis()
    private var lastTellMillis = 0L
    private var lastLogMillis = startMillis
    private val failures = HashMap<String, Int>()

    /** Pieces held, and all pieces; 0 to 0 before the manifest is known. */
    val progress: Pair<Int, Int>
        get() = (planner?.heldCount ?: 0) to (parts.library.manifest(key)?.digests?.size ?: 0)

    /** Whether the origin failed at the last attempt to import from it. */
    val isOriginDown: Boolean get() = planner?.isStoreDown ?: false

    /** Runs until all pieces are here. */
    suspend fun run(scope: CoroutineScope) {
        parts.log.event(EventCode.RELEASE_FETCH_STARTED) {
            put("model", key.model.value)
            put("version", key.version)
            put("peers", members.region.size)
        }
        val manifest = awaitManifest()
        parts.library.add(manifest)
        val isFirst = recover(key)
        begin(manifest)
        tell()
        // Neighbours of an agent that has just started may hold the version and say so at once.
        if (isFirst) delay(FIRST_STATUS_MILLIS)
        while (!parts.library.isComplete(key)) {
            plan(scope)
            delay(PLAN_MILLIS)
        }
        tell()
        parts.log.event(EventCode.RELEASE_COMPLETE) {
            put("model", key.model.value)
            put("version", key.version)
            put("afterMillis", monotonicMillis() - startMillis)
        }
    }

    private suspend fun awaitManifest(): PieceManifest {
        var attempt = 0
        while (true) {
            parts.library.manifest(key)?.let { return it }
            origin.manifest(key.model, key.version).onFailure {
                parts.log.event(EventCode.OBJECT_API_UNAVAILABLE, isEssential = false) {
                    put("what", "manifest")
                    put("reason", it.message)
                }
            }.get()?.let { return it }
            manifestOfPeer(attempt++)?.let { return it }
            delay(MANIFEST_RETRY_MILLIS)
        }
    }

    private suspend fun manifestOfPeer(attempt: Int): PieceManifest? {
        val peers = members.all.filter { it != parts.self }
        if (peers.isEmpty()) return null
        val query = PieceQuery(key.model, key.version, MANIFEST_INDEX)
        val reply = parts.links.fetch(peers[attempt % peers.size], query)
            ?.takeIf { it.bytes.isNotEmpty() } ?: return null
        return Json.decodeFromString<PieceManifest>(reply.bytes.decodeToString())
    }

    private fun begin(manifest: PieceManifest) {
        val release = ReleaseDigest("${key.model.value}/${key.version}")
        val limits = pieceExchangeLimits(storeFetchesMax())
        val created =
            ExchangePlanner(release, parts.self, manifest.digests.size, limits, startMillis)
        created.addHeld(parts.library.held(key))
        parts.library.held(key).forEach(onPiece)
        applyMembers(created)
        earlyStatus.forEach { (vm, status) -> apply(created, vm, status) }
        planner = created
    }

    // The origin's connections, shared by all agents; some are left for manifests and for agents
    // that are not listed yet.
    private fun storeFetchesMax(): Int {
        val share =
            originConnectionsMax * CONNECTIONS_PERCENT / PERCENT / maxOf(1, members.all.size)
        return share.coerceIn(1, STORE_FETCHES_MAX)
    }

    /** Adopts the agents that want the version. */
    fun setMembers(changed: TransferMembers) {
        members = changed
        planner?.let(::applyMembers)
    }

    private fun applyMembers(target: ExchangePlanner) {
        target.setMembers(members.region)
        // Each agent imports its part from the origin, and regions import the rest from each
        // other: a single region's links would have to carry all copies for the others.
        target.setStoreImporters(members.all, directShare = 0.0)
    }

    /** Adopts what a peer of the region holds. */
    fun onStatus(vm: VmId, status: PieceStatus) {
        if (vm !in members.region) return
        val current = planner
        if (current == null) earlyStatus[vm] = status else apply(current, vm, status)
    }

    private fun apply(target: ExchangePlanner, vm: VmId, status: PieceStatus) {
        target.onPeerBitmap(vm, status.bitmap, monotonicMillis())
        target.onPeerChoked(vm, status.isChoked)
    }

    /** Notes that a piece was sent to another agent. */
    fun onUploaded() {
        planner?.onUploaded()
    }

    private fun plan(scope: CoroutineScope) {
        val current = planner ?: return
        val now = monotonicMillis()
        current.plan(now).forEach { effect ->
            if (effect is ExchangeEffect.Fetch) {
                scope.launch { fetchAndPlan(scope, current, effect) }
            }
        }
        if (now - lastTellMillis >= TELL_MILLIS) tell()
        if (now - lastLogMillis >= LOG_MILLIS) logProgress(now)
    }

    private fun tell() {
        lastTellMillis = monotonicMillis()
        status()?.let { parts.tell(it, members.region) }
    }

    private fun logProgress(nowMillis: Long) {
        lastLogMillis = nowMillis
        parts.log.event(EventCode.TRANSFER_PROGRESS) {
            put("version", key.version)
            put("held", progress.first)
            put("total", progress.second)
            put("peers", members.all.size)
            put("failures", failures.toString())
        }
        failures.clear()
    }

    private fun status(): PieceStatus? {
        val current = planner ?: return null
        return PieceStatus(parts.self, key.model, key.version, current.bitmap(), isChoked = false)
    }

    private suspend fun fetch(current: ExchangePlanner, index: Int, source: ChunkSource) {
        val reply = when (source) {
            is ChunkSource.Store ->
                FetchedPiece(origin.piece(key.model, key.version, index).getOrElse { null })
            is ChunkSource.Peer -> {
                val answer = parts.links.fetch(source.vm, PieceQuery(key.model, key.version, index))
                FetchedPiece(answer?.bytes, answer?.isCutOff ?: false)
            }
        }
        val now = monotonicMillis()
        if (reply.bytes != null && parts.library.put(key, index, reply.bytes)) {
            current.onVerified(index, now)
            onPiece(index)
            return
        }
        val sourceName = if (source is ChunkSource.Peer) source.vm.value else "origin"
        failures.merge(sourceName, 1, Int::plus)
        if (reply.failure == FetchFailure.CORRUPT) {
            parts.log.event(EventCode.CHUNK_CORRUPT, isEssential = false) {
                put("piece", index)
                put("source", sourceName)
            }
        }
        current.onFailed(index, reply.failure, now)
    }

    // What a source gave: no bytes when it did not answer, empty ones when it has none.
    private class FetchedPiece(val bytes: ByteArray?, val isCutOff: Boolean = false) {
        val failure: FetchFailure
            get() = when {
                bytes == null -> FetchFailure.UNREACHABLE
                bytes.isNotEmpty() -> FetchFailure.CORRUPT
                isCutOff -> FetchFailure.UPSTREAM_UNAVAILABLE
                else -> FetchFailure.NOT_YET
            }
    }

    private suspend fun fetchAndPlan(
        scope: CoroutineScope,
        current: ExchangePlanner,
        fetch: ExchangeEffect.Fetch
    ) {
        fetch(current, fetch.index, fetch.source)
        plan(scope)
    }

    private companion object {
        const val MANIFEST_RETRY_MILLIS = 200L
        const val PLAN_MILLIS = 15L
        const val TELL_MILLIS = 100L
        const val LOG_MILLIS = 1000L
        const val CONNECTIONS_PERCENT = 70
        const val PERCENT = 100
        const val STORE_FETCHES_MAX = 2
        const val FIRST_STATUS_MILLIS = 120L
    }
}

/** Index that asks for the manifest in place of a piece. */
const val MANIFEST_INDEX = -1

/** The reply to [query] from [library]; null while the piece is not here. */
fun replyFrom(library: PieceLibrary, query: PieceQuery): PieceReply? {
    val key = VersionKey(query.model, query.version)
    val bytes = if (query.index == MANIFEST_INDEX) {
        library.manifest(key)?.let { Json.encodeToString(it).encodeToByteArray() }
    } else {
        library.get(key, query.index)
    }
    return bytes?.let { PieceReply(query.model, query.version, query.index, it, isCutOff = false) }
}
