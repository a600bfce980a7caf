/*
 * Determines when a bound applies in a soak run. An entry must keep the bounds on draining
 * endpoints and on weight versions if no fault has hit the store or the link to the endpoint since
 * the bound started, nor the entry itself for at least the settle time of a process. It must
 * respond to each request completely unless the entry is paused or killed, or an endpoint breaks
 * off; the store, signals and changes of the configuration are no reason.
 */
package org.toucanspur.bench.soak

/** Times after a fault during which an entry is exempt from bounds. */
data class SettleLimits(
    /** Time that a process needs to settle after a fault. */
    val settleMillis: Long,
    /** Time that a process may take to exit after SIGTERM. */
    val graceMillis: Long
)

/** A response that ended early, [isBegun] if its first bytes had arrived. */
data class IncompleteResponse(
    val entry: Int,
    /** Indexes of the endpoints that ran the request. */
    val endpoints: Set<Int>,
    val isBegun: Boolean,
    val fromMillis: Long,
    val toMillis: Long
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

    /**
     * Whether a fault is a reason for [response] to be missing or incomplete: one of the entry, or,
     * once the response has begun, one of its endpoints or the end of the entry's grace period.
     */
    fun excuses(response: IncompleteResponse): Boolean =
        plan.any { isReason(it, response) && hasTouched(it, response) }

    private fun isReason(fault: SoakFault, response: IncompleteResponse): Boolean =
        when (fault.kind) {
            FaultKind.PAUSE, FaultKind.KILL -> fault.target == response.entry
            FaultKind.TERMINATE ->
                response.isBegun &&
                    fault.target == response.entry &&
                    response.toMillis >= fault.atMillis + limits.graceMillis -
                    limits.graceMillis / LAST_PART_OF_GRACE
            FaultKind.CRASH, FaultKind.DRAIN, FaultKind.ENDPOINT_LINK ->
                response.isBegun && fault.target in response.endpoints
            else -> false
        }

    private fun hasTouched(fault: SoakFault, response: IncompleteResponse) =
        fault.atMillis <= response.toMillis &&
            fault.endMillis + limits.settleMillis >= response.fromMillis

    private fun exemptUntil(fault: SoakFault): Long = limits.settleMillis + when (fault.kind) {
        FaultKind.RELOAD, FaultKind.STORE_COMPACTED -> fault.atMillis
        FaultKind.KILL, FaultKind.TERMINATE -> fault.endMillis + limits.graceMillis
        else -> fault.endMillis
    }

    private companion object {
        // In its last sixth, a grace period may cut requests at which an endpoint still works.
        const val LAST_PART_OF_GRACE = 6
    }
}
