/*
 * Manages the weight releases of one agent: transfers those that the configuration document
 * requires, serves them to neighbours and to the local engine, and drops the ones that are no
 * longer required.
 */
package org.toucanspur.daemon.agent

import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.events.EventSubject
import org.toucanspur.core.platform.WeightStore
import org.toucanspur.core.weights.ExchangeLimits
import org.toucanspur.core.weights.Manifest
import org.toucanspur.daemon.log.EventLog
import org.toucanspur.daemon.transport.PeerConnection
import org.toucanspur.schema.Choke
import org.toucanspur.schema.ChunkData
import org.toucanspur.schema.ChunkDigest
import org.toucanspur.schema.ChunkRequest
import org.toucanspur.schema.Frame
import org.toucanspur.schema.Got
import org.toucanspur.schema.Have
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.VmId
import org.toucanspur.schema.WeightsSection

private const val BYTES_PER_MIB = 1024L * 1024

/** Transfers and serves the weight releases of one agent. */
class WeightService(
    self: VmId,
    private val scope: CoroutineScope,
    store: WeightStore,
    settings: WeightsSection,
    private val connections: PeerConnectionTable,
    private val events: EventLog
) {
    private val rate = shareBytesPerSecond(settings.linkMbit, settings.sharePercent)
    private val upload = RateLimiter(rate)
    private val memory = ChunkMemory(settings.memoryMib * BYTES_PER_MIB)
    private val transfers = ConcurrentHashMap<ReleaseDigest, RunningTransfer>()
    private val context = TransferContext(
        self,
        scope,
        store,
        memory,
        RateLimiter(rate),
        ExchangeLimits(
            neighbours = settings.neighbours,
            importTimeoutMillis = settings.importTimeoutMillis.toLong()
        ),
        connections,
        events
    )

    /** Agents of other regions, which import chunks from agents of this region. */
    @Volatile
    var remoteVms: Set<VmId> = emptySet()

    /** Number of chunk bytes in memory. */
    val heldBytes: Long get() = memory.heldBytes()

    /**
     * Starts the transfer of new [releases] and drops all others. Each release is exchanged with
     * the VMs that require it too.
     */
    suspend fun setReleases(releases: Map<ReleaseDigest, ReleaseMembers>) {
        (transfers.keys - releases.keys).forEach(::drop)
        releases.forEach { (release, members) ->
            val running = transfers[release]
            if (running == null) start(release, members) else running.transfer.setMembers(members)
        }
    }

    private fun start(release: ReleaseDigest, members: ReleaseMembers) {
        val transfer = ReleaseTransfer(release, context, members)
        transfers[release] = RunningTransfer(transfer, scope.launch { transfer.run() })
    }

    private fun drop(release: ReleaseDigest) {
        transfers.remove(release)?.job?.cancel()
        memory.retain(transfers.values.flatMap { it.transfer.chunkDigests() }.toSet())
        events.event(EventCode.RELEASE_DROPPED, EventSubject(release = release)) {
            "release is no longer required"
        }
    }

    /** Progress of [release], or null when it is not transferred here. */
    fun progress(release: ReleaseDigest): TransferProgress? =
        transfers[release]?.transfer?.progress?.value

    /** Manifest of [release], or null when it is not available yet. */
    fun manifest(release: ReleaseDigest): Manifest? = transfers[release]?.transfer?.manifest

    /** Bytes of a verified chunk, or null when it is not in memory. */
    fun chunk(digest: ChunkDigest): ByteArray? = memory.get(digest)

    /** Sends a new neighbour the bitmap of the chunks held, for each release. */
    suspend fun onOpen(connection: PeerConnection) {
        transfers.values.forEach {
            connection.send(Have(it.transfer.release, it.transfer.bitmap()))
        }
    }

    /** Removes a disconnected neighbour from all transfers. */
    suspend fun onClosed(vm: VmId) {
        transfers.values.forEach { it.transfer.onPeerLost(vm) }
    }

    /** Handles the frames of the weight exchange; returns false for all others. */
    suspend fun onFrame(connection: PeerConnection, frame: Frame): Boolean {
        val vm = connection.peer.vm
        when (frame) {
            is Have -> transfers[frame.release]?.transfer?.onHave(vm, frame.bitmap)
            is Got -> transfers[frame.release]?.transfer?.onGot(vm, frame.chunk)
            is Choke -> transfers[frame.release]?.transfer?.onChoke(vm, frame.choked)
            is ChunkRequest -> scope.launch { serve(connection, frame) }
            is ChunkData -> transfers[frame.release]?.transfer?.onData(vm, frame.chunk, frame.bytes)
            else -> return false
        }
        return true
    }

    private suspend fun serve(connection: PeerConnection, request: ChunkRequest) {
        val isRemote = connection.peer.vm in remoteVms
        val transfer = transfers[request.release]?.transfer
        val bytes = transfer?.serve(request.chunk, isRemote) ?: ByteArray(0)
        upload.acquire(bytes.size)
        connection.send(ChunkData(request.release, request.chunk, bytes))
        if (bytes.isNotEmpty()) transfer?.onUploaded()
    }

    private class RunningTransfer(val transfer: ReleaseTransfer, val job: Job)
}
