/*
 * Determines when a bound applies in a soak run. An entry must keep the bounds on draining
 * endpoints and on weight versions if no fault has hit the store or the link to the endpoint since
 * the bound started, nor the entry itself for at least the settle time of a process.
 */
package org.toucanspur.bench.soak

/** Times after a fault during which an entry is exempt from bounds. */
data class SettleLimits(
    /** Time that a process needs to settle after a fault. */
    val settleMillis: Long,
    /** Time that a process may take to exit after SIGTERM. */
    val graceMillis: Long
)

/** The faults of a run; all times are relative to the start of traffic. */
class SoakDisturbances(private val plan: List<SoakFault>, private val limits: SettleLimits) {
    /**
     * Whether requests of [entry] to the endpoint with index [endpoint] must keep at [toMillis] a
     * bound that started at [fromMillis]: no fault affected the store or the links from the settle
     * time before [fromMillis] until [toMillis], nor the entry within the settle time before
     * [toMillis].
     */
    fun isUndisturbed(entry: Int, endpoint: Int, fromMillis: Long, toMillis: Long): Boolean =
        plan.none {
            affects(it, entry, endpoint) &&
                it.atMillis <= toMillis &&
                exemptUntil(it) >= if (restartsBounds(it)) fromMillis else toMillis
        }

    // A bound runs on while the entry itself is paused or restarted.
    private fun restartsBounds(fault: SoakFault): Boolean = when (fault.kind) {
        FaultKind.PAUSE, FaultKind.KILL, FaultKind.TERMINATE, FaultKind.RELOAD -> false
        else -> true
    }

    private fun affects(fault: SoakFault, entry: Int, endpoint: Int): Boolean = when (fault.kind) {
        FaultKind.STORE_DOWN, FaultKind.STORE_COMPACTED -> true
        FaultKind.ENDPOINT_LINK -> fault.target == endpoint
        else -> fault.kind.target == TargetKind.PROCESS && fault.target == entry
    }

    private fun exemptUntil(fault: SoakFault): Long = limits.settleMillis + when (fault.kind) {
        FaultKind.RELOAD, FaultKind.STORE_COMPACTED -> fault.atMillis
        FaultKind.KILL, FaultKind.TERMINATE -> fault.endMillis + limits.graceMillis
        else -> fault.endMillis
    }
}
