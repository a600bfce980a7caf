/*
 * Schedules the loading of a weight version. An endpoint accepts no new requests while it waits
 * for its running requests and loads, so simultaneous loads would leave a service without capacity.
 * Loads are therefore spread over the middle part of the time limit by which the version must be in
 * use.
 */
package org.toucanspur.core.weights

import org.toucanspur.core.membership.rendezvousRank
import org.toucanspur.schema.VmId

// The first part of the time limit is reserved for the transfer, the last part for the last load.
private const val FIRST_LOAD_SHARE = 0.5
private const val SPREAD_SHARE = 0.35

/** Returns when [self], one of [members], loads a target version set at [targetSetMillis]. */
fun loadTimeMillis(
    targetSetMillis: Long,
    timeLimitMillis: Long,
    version: String,
    self: VmId,
    members: Collection<VmId>
): Long {
    if (timeLimitMillis <= 0) return targetSetMillis
    val all = (members + self).distinct()
    val rank = rendezvousRank(version, all, all.size) { it.value }.indexOf(self)
    val offset = FIRST_LOAD_SHARE + SPREAD_SHARE * rank / all.size
    return targetSetMillis + (timeLimitMillis * offset).toLong()
}

/**
 * Returns the time from [nowMillis] to the next load of an endpoint that serves [loaded]; 0 when a
 * load is overdue, null when none is scheduled. [dueMillis] maps versions to their load times. A
 * target version that is set while another one waits is loaded after it, so the earliest time
 * applies.
 */
fun nextLoadMillis(loaded: Long, dueMillis: Map<Long, Long>, nowMillis: Long): Long? =
    dueMillis.filterKeys { it > loaded }.values.minOrNull()?.let { maxOf(0, it - nowMillis) }

/** Whether a transfer with [held] of [total] pieces is finished although a newer version exists. */
fun isWorthFinishing(held: Int, total: Int): Boolean = total > 0 && held * 2 >= total
