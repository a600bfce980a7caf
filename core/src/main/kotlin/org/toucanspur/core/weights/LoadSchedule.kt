/*
 * When an endpoint loads a weight version. Load pattern: an endpoint that loads takes nothing new
 * until its running requests have ended, so that loads at the same moment would leave no capacity
 * at all. The loads of a service are spread over the middle of the bound within which the version
 * must be in use.
 */
package org.toucanspur.core.weights

import org.toucanspur.core.membership.rendezvousRank
import org.toucanspur.schema.VmId

// The first part of the bound is for the transfer, the last one for the last load.
private const val FIRST_LOAD_SHARE = 0.5
private const val SPREAD_SHARE = 0.35

/** Time of a load, in milliseconds after [namedMillis], among [members] that load the version. */
fun loadTimeMillis(
    namedMillis: Long,
    boundMillis: Long,
    version: String,
    self: VmId,
    members: Collection<VmId>
): Long {
    if (boundMillis <= 0) return namedMillis
    val all = (members + self).distinct()
    val rank = rendezvousRank(version, all, all.size) { it.value }.indexOf(self)
    val offset = FIRST_LOAD_SHARE + SPREAD_SHARE * rank / all.size
    return namedMillis + (boundMillis * offset).toLong()
}

/**
 * Time from [nowMillis] to the next load at an endpoint that serves [loaded], where each version
 * has its time in [dueMillis]; 0 when one is overdue, null when none is to come. A version that was
 * named while another waits for its load comes after it, so that the earliest time counts.
 */
fun nextLoadMillis(loaded: Long, dueMillis: Map<Long, Long>, nowMillis: Long): Long? =
    dueMillis.filterKeys { it > loaded }.values.minOrNull()?.let { maxOf(0, it - nowMillis) }

/** Whether a transfer that has [held] of [total] pieces ends before a newer version starts. */
fun finishesFirst(held: Int, total: Int): Boolean = total > 0 && held * 2 >= total
