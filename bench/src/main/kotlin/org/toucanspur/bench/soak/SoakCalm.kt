/*
 * When a bound has to hold in a soak run. An entry keeps bounds on leaving endpoints and on weight
 * versions while neither it, nor the store, nor the link to the endpoint has been disturbed for the
 * time that a process takes to settle.
 */
package org.toucanspur.bench.soak

/** Times after a fault that excuse an entry. */
data class CalmLimits(
    /** Time in which a process settles after a fault. */
    val settleMillis: Long,
    /** Time that a process may take to end after SIGTERM. */
    val graceMillis: Long
)

/** The faults of a run, for questions about spans of time after the start of traffic. */
class SoakCalm(private val plan: List<SoakFault>, private val limits: CalmLimits) {
    /**
     * Whether [entry] was calm for its requests to the endpoint at [place], from the time to settle
     * before [fromMillis] until [toMillis].
     */
    fun isCalm(entry: Int, place: Int, fromMillis: Long, toMillis: Long): Boolean = plan.none {
        isRelevant(it, entry, place) &&
            it.atMillis <= toMillis &&
            excusedUntil(it) >= fromMillis
    }

    private fun isRelevant(fault: SoakFault, entry: Int, place: Int): Boolean = when (fault.kind) {
        FaultKind.STORE_DOWN, FaultKind.STORE_COMPACTED -> true
        FaultKind.ENDPOINT_LINK -> fault.target == place
        else -> fault.kind.target == TargetKind.PROCESS && fault.target == entry
    }

    private fun excusedUntil(fault: SoakFault): Long = limits.settleMillis + when (fault.kind) {
        FaultKind.RELOAD, FaultKind.STORE_COMPACTED -> fault.atMillis
        FaultKind.KILL, FaultKind.TERMINATE -> fault.endMillis + limits.graceMillis
        else -> fault.endMillis
    }
}
