/*
 * Keeps the process on the latest accepted document. A few processes per region watch the object
 * API. Every heartbeat carries the sender's revision, and a process with an older revision queries
 * that peer. A periodic poll recovers updates missed on both paths. When the object API is
 * unavailable at startup, the document comes from peers.
 */
package org.toucanspur.daemon.config

import com.github.michaelbull.result.fold
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.toucanspur.core.config.AdoptedDocument
import org.toucanspur.core.config.AdoptionResult
import org.toucanspur.core.config.DocumentHolder
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.events.EventSubject
import org.toucanspur.core.membership.isWatcher
import org.toucanspur.core.platform.ABSENT_VERSION
import org.toucanspur.core.platform.ObjectKeys
import org.toucanspur.core.platform.ObjectStore
import org.toucanspur.core.platform.StoreError
import org.toucanspur.daemon.log.EventLog
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.transport.PeerConnection
import org.toucanspur.schema.Announcement
import org.toucanspur.schema.DocumentQuery
import org.toucanspur.schema.Frame
import org.toucanspur.schema.ObjectRecord
import org.toucanspur.schema.Revision
import org.toucanspur.schema.StoredDocument
import org.toucanspur.schema.VmId
import org.toucanspur.schema.VmRecord

private const val WATCH_TIMEOUT_MILLIS = 20_000L
private const val RETRY_DELAY_MIN_MILLIS = 250L
private const val RETRY_DELAY_MAX_MILLIS = 4000L
private const val RECONCILE_INTERVAL_MILLIS = 30_000L
private const val QUERY_INTERVAL_MILLIS = 500L
private const val WATCHER_CHECK_INTERVAL_MILLIS = 1000L

/** Follows the configuration document of one environment. */
class DocumentService(
    private val self: VmId,
    private val environment: String,
    private val store: ObjectStore,
    private val events: EventLog
) {
    private val holder = DocumentHolder()
    private val currentDocument = MutableStateFlow<AdoptedDocument?>(null)
    private val peers = ConcurrentHashMap.newKeySet<PeerConnection>()
    private val lastQueryMillis = AtomicLong(Long.MIN_VALUE / 2)
    private val key = ObjectKeys.document(environment)

    @Volatile
    private var vms: List<VmRecord> = emptyList()

    @Volatile
    private var storeVersion = ABSENT_VERSION

    /** Current document, followed by each later one. */
    val documents: StateFlow<AdoptedDocument?> get() = currentDocument

    /** Current revision; 0 before the first document. */
    val revision: Revision get() = holder.revision

    /** Starts the initial read, the watch and the periodic poll. */
    fun start(scope: CoroutineScope) {
        scope.launch { readInitialDocument() }
        scope.launch { runWatch() }
        scope.launch { runReconciliation() }
    }

    /** Updates the VM list, from which the watching processes are derived. */
    fun onVmList(records: List<VmRecord>) {
        vms = records
    }

    /** Registers a peer connection, which is notified of new documents. */
    fun onOpen(connection: PeerConnection) {
        peers += connection
    }

    /** Unregisters a closed peer connection. */
    fun onClosed(connection: PeerConnection) {
        peers -= connection
    }

    /** Queries [connection] for its document when [peerRevision] is later than the current one. */
    suspend fun onRevision(connection: PeerConnection, peerRevision: Revision) {
        holder.observe(peerRevision)
        if (peerRevision.value <= revision.value) return
        val now = monotonicMillis()
        val last = lastQueryMillis.get()
        if (now - last < QUERY_INTERVAL_MILLIS || !lastQueryMillis.compareAndSet(last, now)) return
        connection.send(DocumentQuery(revision))
    }

    /** Handles document frames; returns false for all others. */
    suspend fun onFrame(connection: PeerConnection, frame: Frame): Boolean {
        when (frame) {
            is DocumentQuery -> {
                val current = holder.current?.stored
                if (current != null && current.revision.value > frame.above.value) {
                    connection.send(Announcement(current))
                }
            }
            is Announcement -> offerDocument(frame.document, "peer ${connection.peer.vm}")
            else -> return false
        }
        return true
    }

    private suspend fun readInitialDocument() {
        var retryDelayMillis = RETRY_DELAY_MIN_MILLIS
        while (holder.current == null) {
            if (readStore()) return
            delay(retryDelayMillis / 2 + Random.nextLong(retryDelayMillis))
            retryDelayMillis = minOf(retryDelayMillis * 2, RETRY_DELAY_MAX_MILLIS)
        }
    }

    private suspend fun runWatch() {
        var retryDelayMillis = RETRY_DELAY_MIN_MILLIS
        while (true) {
            if (!isWatcher(self, environment, vms)) {
                delay(WATCHER_CHECK_INTERVAL_MILLIS)
                continue
            }
            val hasSucceeded = store.watch(key, storeVersion, WATCH_TIMEOUT_MILLIS).fold(
                success = { record ->
                    record?.let { offerRecord(it) }
                    true
                },
                failure = {
                    reportFailure(it)
                    false
                }
            )
            retryDelayMillis = if (hasSucceeded) {
                RETRY_DELAY_MIN_MILLIS
            } else {
                minOf(retryDelayMillis * 2, RETRY_DELAY_MAX_MILLIS)
            }
            if (!hasSucceeded) delay(retryDelayMillis / 2 + Random.nextLong(retryDelayMillis))
        }
    }

    private suspend fun runReconciliation() {
        while (true) {
            delay(RECONCILE_INTERVAL_MILLIS / 2 + Random.nextLong(RECONCILE_INTERVAL_MILLIS))
            readStore()
        }
    }

    private suspend fun readStore(): Boolean = store.read(key).fold(
        success = { record ->
            record?.let { offerRecord(it) }
            record != null
        },
        failure = {
            reportFailure(it)
            false
        }
    )

    private fun reportFailure(error: StoreError) {
        events.event(EventCode.OBJECT_API_UNAVAILABLE) { "reading $key: ${error.message}" }
    }

    private suspend fun offerRecord(record: ObjectRecord) {
        storeVersion = record.version
        val document = try {
            Json.decodeFromString<StoredDocument>(record.value)
        } catch (e: SerializationException) {
            events.event(EventCode.DOCUMENT_REJECTED) { "object $key is malformed: ${e.message}" }
            return
        }
        offerDocument(document, "object API")
    }

    private suspend fun offerDocument(document: StoredDocument, source: String) {
        val subject = EventSubject(revision = document.revision)
        when (holder.offer(document)) {
            AdoptionResult.ADOPTED -> {
                currentDocument.value = holder.current
                events.event(EventCode.DOCUMENT_ADOPTED, subject) {
                    "revision ${document.revision} by ${document.author} from $source"
                }
                peers.forEach { it.ping() }
            }
            AdoptionResult.INVALID -> events.event(EventCode.DOCUMENT_REJECTED, subject) {
                "revision ${document.revision} from $source is invalid; upgrade this process"
            }
            AdoptionResult.STALE -> Unit
        }
    }
}
