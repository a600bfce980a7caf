/*
 * Decides when the endpoint of this agent may change its release. Agents of a pool coordinate by
 * conditional updates of the pool's rollout object.
 */
package org.toucanspur.daemon.agent

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.events.EventSubject
import org.toucanspur.core.platform.ABSENT_VERSION
import org.toucanspur.core.platform.ObjectStore
import org.toucanspur.core.platform.StoreError
import org.toucanspur.core.weights.RolloutCandidate
import org.toucanspur.core.weights.RolloutDecision
import org.toucanspur.core.weights.RolloutLimits
import org.toucanspur.core.weights.decideRollout
import org.toucanspur.core.weights.withConfirmation
import org.toucanspur.core.weights.withFailure
import org.toucanspur.daemon.log.EventLog
import org.toucanspur.daemon.wallMillis
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.RolloutRecord
import org.toucanspur.schema.VmId
import org.toucanspur.schema.ZoneId

/** One agent's participation in the rollout of its pool. */
class RolloutService(
    private val key: String,
    private val store: ObjectStore,
    private val events: EventLog
) {
    /** Rollout record as of the last read. */
    @Volatile
    var record: RolloutRecord? = null
        private set

    /**
     * Returns the release that [candidate] may load now, or null when it keeps its current one.
     * [target] is the release that the configuration document names.
     */
    suspend fun releaseToLoad(
        target: ReleaseDigest,
        candidate: RolloutCandidate,
        limits: RolloutLimits,
        zoneOf: (VmId) -> ZoneId?
    ): ReleaseDigest? {
        val (current, version) = read().get() ?: return null
        return when (
            val decision = decideRollout(
                current,
                target,
                candidate,
                limits,
                wallMillis(),
                zoneOf
            )
        ) {
            is RolloutDecision.Proceed -> decision.release
            is RolloutDecision.Wait -> null
            is RolloutDecision.Stopped -> decision.previous
            is RolloutDecision.Claim -> claim(decision.record, version, candidate)
        }
    }

    private suspend fun claim(
        claimed: RolloutRecord,
        version: Long,
        candidate: RolloutCandidate
    ): ReleaseDigest? {
        if (write(claimed, version).get() == null) return null
        val subject = EventSubject(release = claimed.release)
        if (claimed.stopped) {
            events.event(EventCode.ROLLOUT_STOPPED, subject) {
                "rollout stopped after ${claimed.failures} failures"
            }
        }
        if (claimed.slots.none { it.vm == candidate.vm }) return null
        events.event(EventCode.ROLLOUT_SLOT_GRANTED, subject) {
            "${claimed.slots.size} rollout slots in use"
        }
        return claimed.release
    }

    /** Records that [vm] serves [release]; returns false when the caller must retry. */
    suspend fun confirm(vm: VmId, release: ReleaseDigest): Boolean {
        val (current, version) = read().get() ?: return false
        if (current == null || current.release != release || vm in current.confirmed) return true
        return write(withConfirmation(current, vm), version).get() != null
    }

    /** Records that the engine of [vm] failed to load [release]; returns false to retry. */
    suspend fun fail(vm: VmId, release: ReleaseDigest, limits: RolloutLimits): Boolean {
        val (current, version) = read().get() ?: return false
        if (current == null || current.release != release) return true
        return write(withFailure(current, vm, limits), version).get() != null
    }

    private suspend fun read(): Result<Pair<RolloutRecord?, Long>, StoreError> = store.read(
        key
    ).map { found ->
        val decoded = found?.let { decode(it.value) }
        record = decoded
        decoded to (found?.version ?: ABSENT_VERSION)
    }

    private fun decode(value: String): RolloutRecord? = try {
        Json.decodeFromString<RolloutRecord>(value)
    } catch (e: SerializationException) {
        events.event(EventCode.ROLLOUT_STOPPED) {
            "rollout object $key is malformed and is replaced: ${e.message}"
        }
        null
    }

    private suspend fun write(changed: RolloutRecord, version: Long): Result<Long, StoreError> =
        store.write(key, Json.encodeToString(RolloutRecord.serializer(), changed), version)
}
