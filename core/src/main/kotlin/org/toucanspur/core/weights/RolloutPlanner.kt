/*
 * Decides which VM of a pool may change its release. The rollout state of a release is one object
 * in the object API that is modified by conditional updates only; all agents derive the same
 * decision from it. The first VM is the canary. After it confirms the release, the other VMs
 * follow with a limit per availability zone. Too many failures stop the rollout, and the previous
 * release keeps serving.
 */
package org.toucanspur.core.weights

import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.RolloutRecord
import org.toucanspur.schema.RolloutSlot
import org.toucanspur.schema.VmId
import org.toucanspur.schema.ZoneId

/** Limits of a rollout in one pool. */
data class RolloutLimits(
    val unavailablePerZoneMax: Int,
    val failuresMax: Int = 2,
    val slotMillis: Long = 60_000
)

/** The VM that requests a rollout decision, with the release it serves. */
data class RolloutCandidate(val vm: VmId, val zone: ZoneId, val serving: ReleaseDigest?)

/** Decision for one VM. */
sealed interface RolloutDecision {
    /** The VM may load [release]; the record stays unchanged. */
    data class Proceed(val release: ReleaseDigest) : RolloutDecision

    /** [record] must be written before the VM may proceed. */
    data class Claim(val record: RolloutRecord) : RolloutDecision

    /** The VM keeps its release and retries later. */
    data object Wait : RolloutDecision

    /** The rollout has failed; the VM serves [previous]. */
    data class Stopped(val previous: ReleaseDigest?) : RolloutDecision
}

/**
 * Returns the decision for [candidate] given the current [record]. [zoneOf] returns the
 * availability zone of a live VM and null for any other VM.
 */
fun decideRollout(
    record: RolloutRecord?,
    target: ReleaseDigest,
    candidate: RolloutCandidate,
    limits: RolloutLimits,
    nowMillis: Long,
    zoneOf: (VmId) -> ZoneId?
): RolloutDecision {
    if (record == null || record.release != target) {
        return RolloutDecision.Claim(newRecord(record, target, candidate, nowMillis))
    }
    if (record.stopped) return RolloutDecision.Stopped(record.previous)
    if (candidate.vm in record.confirmed) return RolloutDecision.Proceed(target)
    if (record.slots.any { it.vm == candidate.vm }) return RolloutDecision.Proceed(target)
    val expired = record.slots.filter { isExpired(it, limits, nowMillis, zoneOf) }
    if (expired.isNotEmpty()) return RolloutDecision.Claim(withFailures(record, expired, limits))
    if (candidate.serving == null && record.confirmed.isNotEmpty()) {
        return RolloutDecision.Proceed(target)
    }
    return if (hasFreeSlot(record, candidate, limits, zoneOf)) {
        val slot = RolloutSlot(candidate.vm, target, nowMillis)
        RolloutDecision.Claim(record.copy(slots = record.slots + slot))
    } else {
        RolloutDecision.Wait
    }
}

private fun newRecord(
    current: RolloutRecord?,
    target: ReleaseDigest,
    candidate: RolloutCandidate,
    nowMillis: Long
): RolloutRecord = RolloutRecord(
    release = target,
    previous = lastKnownGood(current),
    slots = listOf(RolloutSlot(candidate.vm, target, nowMillis)),
    confirmed = emptyList(),
    failures = 0,
    stopped = false
)

// A release that was stopped or never confirmed is not known to be good; its predecessor is.
private fun lastKnownGood(current: RolloutRecord?): ReleaseDigest? = when {
    current == null -> null
    current.stopped || current.confirmed.isEmpty() -> current.previous
    else -> current.release
}

private fun isExpired(
    slot: RolloutSlot,
    limits: RolloutLimits,
    nowMillis: Long,
    zoneOf: (VmId) -> ZoneId?
): Boolean = zoneOf(slot.vm) == null || nowMillis - slot.grantedAtMillis >= limits.slotMillis

private fun hasFreeSlot(
    record: RolloutRecord,
    candidate: RolloutCandidate,
    limits: RolloutLimits,
    zoneOf: (VmId) -> ZoneId?
): Boolean {
    if (record.confirmed.isEmpty()) return record.slots.isEmpty()
    val sameZone = record.slots.count { zoneOf(it.vm) == candidate.zone }
    return sameZone < limits.unavailablePerZoneMax
}

/** Returns [record] with a confirmation by [vm]. */
fun withConfirmation(record: RolloutRecord, vm: VmId): RolloutRecord = record.copy(
    slots = record.slots.filter { it.vm != vm },
    confirmed = (record.confirmed + vm).distinct()
)

/** Returns [record] with a failure: the engine of [vm] crashed or failed to load the release. */
fun withFailure(record: RolloutRecord, vm: VmId, limits: RolloutLimits): RolloutRecord =
    withFailures(record, record.slots.filter { it.vm == vm }, limits)

// A confirmation shows that the release loads, so later failures of other VMs do not count towards
// stopping the rollout.
private fun withFailures(
    record: RolloutRecord,
    slots: List<RolloutSlot>,
    limits: RolloutLimits
): RolloutRecord {
    val failures = record.failures + if (record.confirmed.isEmpty()) slots.size else 0
    return record.copy(
        slots = record.slots - slots.toSet(),
        failures = failures,
        stopped = record.stopped || failures >= limits.failuresMax
    )
}
