/*
 * Replicates the crash counts of request fingerprints to all processes. The object API stores
 * them, changes propagate over the peer connections, and a periodic poll recovers missed updates.
 */
package org.toucanspur.daemon

import com.github.michaelbull.result.get
import com.github.michaelbull.result.onSuccess
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.platform.ABSENT_VERSION
import org.toucanspur.core.platform.ObjectKeys
import org.toucanspur.core.platform.ObjectStore
import org.toucanspur.core.requests.PoisonRequestTable
import org.toucanspur.core.requests.PoisonStatus
import org.toucanspur.daemon.log.EventLog
import org.toucanspur.daemon.transport.PeerConnection
import org.toucanspur.schema.Charges
import org.toucanspur.schema.Frame
import org.toucanspur.schema.PoisonCharge
import org.toucanspur.schema.PoisonRecord

private const val RECONCILE_INTERVAL_MILLIS = 30_000L
private const val UPDATE_ATTEMPTS_MAX = 5
private const val UPDATE_RETRY_DELAY_MILLIS = 50L
private const val RETAINED_CRASH_COUNTS_MAX = 2000

/** Local replica of the crash counts. */
class PoisonService(
    environment: String,
    private val store: ObjectStore,
    private val events: EventLog
) {
    private val key = ObjectKeys.poison(environment)
    private val requestTable = PoisonRequestTable()
    private val peers = ConcurrentHashMap.newKeySet<PeerConnection>()

    @Volatile
    private var latest = Charges(ABSENT_VERSION, PoisonRecord(emptyList()))

    /** Starts the periodic poll of the object API. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                readStore()
                delay(RECONCILE_INTERVAL_MILLIS / 2 + Random.nextLong(RECONCILE_INTERVAL_MILLIS))
            }
        }
    }

    /** Returns how a request with [fingerprint] is handled. */
    fun poisonStatusOf(fingerprint: String): PoisonStatus = requestTable.poisonStatusOf(fingerprint)

    /** Registers a new peer connection and sends it the latest crash counts. */
    suspend fun onOpen(connection: PeerConnection) {
        peers += connection
        if (latest.version != ABSENT_VERSION) connection.send(latest)
    }

    /** Unregisters a closed peer connection. */
    fun onClosed(connection: PeerConnection) {
        peers -= connection
    }

    /** Handles frames that carry crash counts; returns false for all others. */
    suspend fun onFrame(frame: Frame): Boolean {
        if (frame !is Charges) return false
        applyIfNewer(frame)
        return true
    }

    /**
     * Adds one crash to the count of each of [fingerprints]. When the object API cannot be
     * updated, the new counts apply to this process only.
     */
    suspend fun countCrash(fingerprints: Set<String>) {
        events.event(EventCode.ENDPOINT_CRASHED) {
            "${fingerprints.size} requests running at the crash"
        }
        update { counts -> counts + fingerprints.associateWith { (counts[it] ?: 0) + 1 } }
    }

    /** Resets the crash count of a suspected request that has finished. */
    suspend fun clear(fingerprint: String) {
        if (requestTable.poisonStatusOf(fingerprint) != PoisonStatus.RUNS_EXCLUSIVELY) return
        update { it - fingerprint }
    }

    private suspend fun update(change: (Map<String, Int>) -> Map<String, Int>) {
        repeat(UPDATE_ATTEMPTS_MAX) {
            val updated = PoisonRecord(
                change(latest.record.charges.associate { it.fingerprint to it.charges })
                    .map { PoisonCharge(it.key, it.value) }
                    .takeLast(RETAINED_CRASH_COUNTS_MAX)
            )
            val value = Json.encodeToString(PoisonRecord.serializer(), updated)
            val version = store.write(key, value, latest.version).get()
            if (version != null) {
                applyIfNewer(Charges(version, updated))
                return
            }
            readStore()
            delay(UPDATE_RETRY_DELAY_MILLIS)
        }
        change(latest.record.charges.associate { it.fingerprint to it.charges })
            .forEach { (fingerprint, count) -> requestTable.setCrashCount(fingerprint, count) }
    }

    private suspend fun readStore() {
        store.read(key).onSuccess { record ->
            val decoded = record?.let { decode(it.value) }
            if (record != null && decoded != null) applyIfNewer(Charges(record.version, decoded))
        }
    }

    private fun decode(value: String): PoisonRecord? = try {
        Json.decodeFromString<PoisonRecord>(value)
    } catch (_: SerializationException) {
        null
    }

    private suspend fun applyIfNewer(newer: Charges) {
        if (newer.version <= latest.version) return
        val removed =
            latest.record.charges.map { it.fingerprint } -
                newer.record.charges.map { it.fingerprint }.toSet()
        latest = newer
        removed.forEach { requestTable.setCrashCount(it, 0) }
        newer.record.charges.forEach { requestTable.setCrashCount(it.fingerprint, it.charges) }
        peers.forEach { it.send(newer) }
    }
}
