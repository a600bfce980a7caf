/*
 * Shares the charges of crashed requests between all processes. The object API holds them; a
 * change spreads over the peer connections, and a slow poll repairs what was missed.
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

private const val REPAIR_POLL_MILLIS = 30_000L
private const val ATTEMPTS_MAX = 5
private const val ATTEMPT_PAUSE_MILLIS = 50L
private const val CHARGES_KEPT = 2000

/** Charges as one process knows them. */
class PoisonService(
    environment: String,
    private val store: ObjectStore,
    private val events: EventLog
) {
    private val key = ObjectKeys.poison(environment)
    private val ledger = PoisonRequestTable()
    private val peers = ConcurrentHashMap.newKeySet<PeerConnection>()

    @Volatile
    private var known = Charges(ABSENT_VERSION, PoisonRecord(emptyList()))

    /** Starts the repair poll. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                refresh()
                delay(REPAIR_POLL_MILLIS / 2 + Random.nextLong(REPAIR_POLL_MILLIS))
            }
        }
    }

    /** How a request with [fingerprint] is treated. */
    fun poisonStatusOf(fingerprint: String): PoisonStatus = ledger.poisonStatusOf(fingerprint)

    /** Tells a new peer what is known. */
    suspend fun onOpen(connection: PeerConnection) {
        peers += connection
        if (known.version != ABSENT_VERSION) connection.send(known)
    }

    /** Removes a connection. */
    fun onClosed(connection: PeerConnection) {
        peers -= connection
    }

    /** Handles frames that concern charges; returns false for all others. */
    suspend fun onFrame(frame: Frame): Boolean {
        if (frame !is Charges) return false
        adopt(frame)
        return true
    }

    /**
     * Adds one charge to each of [fingerprints]; locally it counts even when the store is down.
     */
    suspend fun charge(fingerprints: Set<String>) {
        events.event(EventCode.ENDPOINT_CRASHED) { "${fingerprints.size} requests charged" }
        update { charges -> charges + fingerprints.associateWith { (charges[it] ?: 0) + 1 } }
    }

    /** Clears a suspect that has finished. */
    suspend fun clear(fingerprint: String) {
        if (ledger.poisonStatusOf(fingerprint) != PoisonStatus.RUNS_EXCLUSIVELY) return
        update { it - fingerprint }
    }

    private suspend fun update(change: (Map<String, Int>) -> Map<String, Int>) {
        repeat(ATTEMPTS_MAX) {
            val next = PoisonRecord(
                change(known.record.charges.associate { it.fingerprint to it.charges })
                    .map { PoisonCharge(it.key, it.value) }
                    .takeLast(CHARGES_KEPT)
            )
            val value = Json.encodeToString(PoisonRecord.serializer(), next)
            val version = store.write(key, value, known.version).get()
            if (version != null) {
                adopt(Charges(version, next))
                return
            }
            refresh()
            delay(ATTEMPT_PAUSE_MILLIS)
        }
        change(known.record.charges.associate { it.fingerprint to it.charges })
            .forEach { (fingerprint, count) -> ledger.setCrashCount(fingerprint, count) }
    }

    private suspend fun refresh() {
        store.read(key).onSuccess { record ->
            val decoded = record?.let { decode(it.value) }
            if (record != null && decoded != null) adopt(Charges(record.version, decoded))
        }
    }

    private fun decode(value: String): PoisonRecord? = try {
        Json.decodeFromString<PoisonRecord>(value)
    } catch (_: SerializationException) {
        null
    }

    private suspend fun adopt(charges: Charges) {
        if (charges.version <= known.version) return
        val gone =
            known.record.charges.map { it.fingerprint } -
                charges.record.charges.map { it.fingerprint }.toSet()
        known = charges
        gone.forEach { ledger.setCrashCount(it, 0) }
        charges.record.charges.forEach { ledger.setCrashCount(it.fingerprint, it.charges) }
        peers.forEach { it.send(charges) }
    }
}
