/*
 * Keeps the process on the document in force. A few processes per region watch the object API;
 * every heartbeat carries the revision, and a process that is behind asks the peer that told it. A
 * slow poll repairs what both ways missed. When the object API is down at the start, the document
 * comes from peers.
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

private const val WATCH_WAIT_MILLIS = 20_000L
private const val RETRY_MIN_MILLIS = 250L
private const val RETRY_MAX_MILLIS = 4000L
private const val REPAIR_POLL_MILLIS = 30_000L
private const val QUERY_TIMEOUT_MILLIS = 500L
private const val ROLE_CHECK_MILLIS = 1000L

/** Follows the document of one environment. */
class DocumentService(
    private val self: VmId,
    private val environment: String,
    private val store: ObjectStore,
    private val events: EventLog
) {
    private val holder = DocumentHolder()
    private val adopted = MutableStateFlow<AdoptedDocument?>(null)
    private val peers = ConcurrentHashMap.newKeySet<PeerConnection>()
    private val lastQueryMillis = AtomicLong(Long.MIN_VALUE / 2)
    private val key = ObjectKeys.document(environment)

    @Volatile
    private var vms: List<VmRecord> = emptyList()

    @Volatile
    private var storeVersion = ABSENT_VERSION

    /** The document in force, and each later one. */
    val documents: StateFlow<AdoptedDocument?> get() = adopted

    /** Revision in force; 0 before the first document. */
    val revision: Revision get() = holder.revision

    /** Starts following the document. */
    fun start(scope: CoroutineScope) {
        scope.launch { firstRead() }
        scope.launch { watchLoop() }
        scope.launch { repairLoop() }
    }

    /** Takes over a new VM list, which decides who watches. */
    fun onVmList(records: List<VmRecord>) {
        vms = records
    }

    /** Adds a connection over which documents are relayed. */
    fun onOpen(connection: PeerConnection) {
        peers += connection
    }

    /** Removes a connection. */
    fun onClosed(connection: PeerConnection) {
        peers -= connection
    }

    /** Asks [connection] for its document when it has a later one. */
    suspend fun onRevision(connection: PeerConnection, peerRevision: Revision) {
        holder.observe(peerRevision)
        if (peerRevision.value <= revision.value) return
        val now = monotonicMillis()
        val last = lastQueryMillis.get()
        if (now - last < QUERY_TIMEOUT_MILLIS || !lastQueryMillis.compareAndSet(last, now)) return
        connection.send(DocumentQuery(revision))
    }

    /** Handles frames that concern documents; returns false for all others. */
    suspend fun onFrame(connection: PeerConnection, frame: Frame): Boolean {
        when (frame) {
            is DocumentQuery -> {
                val current = holder.current?.stored
                if (current != null && current.revision.value > frame.above.value) {
                    connection.send(Announcement(current))
                }
            }
            is Announcement -> offer(frame.document, "peer ${connection.peer.vm}")
            else -> return false
        }
        return true
    }

    private suspend fun firstRead() {
        var retryMillis = RETRY_MIN_MILLIS
        while (holder.current == null) {
            if (readStore()) return
            delay(retryMillis / 2 + Random.nextLong(retryMillis))
            retryMillis = minOf(retryMillis * 2, RETRY_MAX_MILLIS)
        }
    }

    private suspend fun watchLoop() {
        var retryMillis = RETRY_MIN_MILLIS
        while (true) {
            if (!isWatcher(self, environment, vms)) {
                delay(ROLE_CHECK_MILLIS)
                continue
            }
            val isDone = store.watch(key, storeVersion, WATCH_WAIT_MILLIS).fold(
                success = { record ->
                    record?.let { offerRecord(it) }
                    true
                },
                failure = {
                    reportFailure(it)
                    false
                }
            )
            retryMillis = if (isDone) RETRY_MIN_MILLIS else minOf(retryMillis * 2, RETRY_MAX_MILLIS)
            if (!isDone) delay(retryMillis / 2 + Random.nextLong(retryMillis))
        }
    }

    private suspend fun repairLoop() {
        while (true) {
            delay(REPAIR_POLL_MILLIS / 2 + Random.nextLong(REPAIR_POLL_MILLIS))
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
        offer(document, "object API")
    }

    private suspend fun offer(document: StoredDocument, source: String) {
        val subject = EventSubject(revision = document.revision)
        when (holder.offer(document)) {
            AdoptionResult.ADOPTED -> {
                adopted.value = holder.current
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
