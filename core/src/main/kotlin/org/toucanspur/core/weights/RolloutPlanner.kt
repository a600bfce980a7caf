/*
 * Decides which VM of a pool may change its release. The progress of a release is one object in
 * the object API, changed by conditional updates only; every agent computes the same decision from
 * it. The first VM is the canary. Once it has confirmed the release, others follow in waves
 * bounded per availability zone. Failures stop the release and the previous one keeps serving.
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

/** The VM that asks, and what it serves now. */
data class RolloutCandidate(val vm: VmId, val zone: ZoneId, val serving: ReleaseDigest?)

/** What a VM may do. */
sealed interface RolloutDecision {
    /** The VM may load [release] without a change of the record. */
    data class Proceed(val release: ReleaseDigest) : RolloutDecision

    /** The VM may proceed once [record] is written. */
    data class Claim(val record: RolloutRecord) : RolloutDecision

    /** The VM keeps its release and asks again later. */
    data object Wait : RolloutDecision

    /** The release has failed; the VM serves [previous]. */
    data class Stopped(val previous: ReleaseDigest?) : RolloutDecision
}

/**
 * Decides for [candidate] under [record]. [zoneOf] gives the availability zone of live VMs and
 * null for VMs that are gone.
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
        return RolloutDecision.Claim(startRecord(record, target, candidate, nowMillis))
    }
    if (record.stopped) return RolloutDecision.Stopped(record.previous)
    if (candidate.vm in record.confirmed) return RolloutDecision.Proceed(target)
    if (record.slots.any { it.vm == candidate.vm }) return RolloutDecision.Proceed(target)
    val lapsed = record.slots.filter { isLapsed(it, limits, nowMillis, zoneOf) }
    if (lapsed.isNotEmpty()) return RolloutDecision.Claim(withFailures(record, lapsed, limits))
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

private fun startRecord(
    before: RolloutRecord?,
    target: ReleaseDigest,
    candidate: RolloutCandidate,
    nowMillis: Long
): RolloutRecord = RolloutRecord(
    release = target,
    previous = lastGood(before),
    slots = listOf(RolloutSlot(candidate.vm, target, nowMillis)),
    confirmed = emptyList(),
    failures = 0,
    stopped = false
)

// A release that no canary confirmed was never good; the one before it still is.
private fun lastGood(before: RolloutRecord?): ReleaseDigest? = when {
    before == null -> null
    before.stopped || before.confirmed.isEmpty() -> before.previous
    else -> before.release
}

private fun isLapsed(
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

/** The record after [vm] has confirmed the release. */
fun withConfirmation(record: RolloutRecord, vm: VmId): RolloutRecord = record.copy(
    slots = record.slots.filter { it.vm != vm },
    confirmed = (record.confirmed + vm).distinct()
)

/** The record after the engine of [vm] crashed on the release or failed to load it. */
fun withFailure(record: RolloutRecord, vm: VmId, limits: RolloutLimits): RolloutRecord =
    withFailures(record, record.slots.filter { it.vm == vm }, limits)

// Once VMs have confirmed the release, the loss of a later one no longer speaks against it.
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
