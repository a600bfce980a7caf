/*
 * The endpoints that an entry knows from heartbeats. Reports of an earlier incarnation or with an
 * older sequence number are dropped, so that delayed and duplicate messages have no effect.
 */
package org.toucanspur.core.membership

import org.toucanspur.core.routing.EndpointView
import org.toucanspur.core.routing.OutlierDetector
import org.toucanspur.schema.EndpointStatus
import org.toucanspur.schema.PoolId
import org.toucanspur.schema.VmId

/** Endpoints by VM. Thread-safe. */
class EndpointTable(private val staleMillis: Long, private val outliers: OutlierDetector) {
    private val entries = HashMap<VmId, Entry>()

    /** Applies a status report; returns false when a newer one is already known. */
    @Synchronized
    fun onReport(status: EndpointStatus, nowMillis: Long): Boolean {
        val known = entries[status.vm]
        if (known != null && isOlder(status, known.status)) return false
        val inFlight = known?.inFlight ?: 0
        entries[status.vm] = Entry(status, nowMillis, inFlight, inFlight)
        return true
    }

    private fun isOlder(status: EndpointStatus, known: EndpointStatus): Boolean =
        status.incarnation.value < known.incarnation.value ||
            (status.incarnation == known.incarnation && status.sequence <= known.sequence)

    /** Removes an endpoint from routing until its next report. */
    @Synchronized
    fun onLost(vm: VmId) {
        entries[vm]?.let { it.isConnectionLost = true }
    }

    /** Records that a request of this entry to the endpoint starts (+1) or ends (-1). */
    @Synchronized
    fun addInFlight(vm: VmId, delta: Int) {
        entries[vm]?.let { it.inFlight = maxOf(0, it.inFlight + delta) }
    }

    /** Endpoints of [pool] with a fresh report. */
    @Synchronized
    fun endpointsOf(pool: PoolId, nowMillis: Long): List<EndpointView> = entries.values
        .filter { it.status.pool == pool && isFresh(it, nowMillis) }
        .map {
            EndpointView(
                it.status,
                it.inFlight,
                it.inFlightAtReport,
                outliers.isEjected(it.status.vm, nowMillis)
            )
        }

    /** Last reports of all endpoints, for the operator; stale and lost ones are not accepting. */
    @Synchronized
    fun statuses(nowMillis: Long): List<EndpointStatus> = entries.values
        .map { it.status.copy(accepting = it.status.accepting && isFresh(it, nowMillis)) }
        .sortedBy { it.vm.value }

    /** Last report of [vm], or null when it is unknown, stale or lost. */
    @Synchronized
    fun statusOf(vm: VmId, nowMillis: Long): EndpointStatus? =
        entries[vm]?.takeIf { isFresh(it, nowMillis) }?.status

    private fun isFresh(entry: Entry, nowMillis: Long): Boolean =
        !entry.isConnectionLost && nowMillis - entry.receivedMillis < staleMillis

    private class Entry(
        val status: EndpointStatus,
        val receivedMillis: Long,
        val inFlightAtReport: Int,
        var inFlight: Int,
        var isConnectionLost: Boolean = false
    )
}
