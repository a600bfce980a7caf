/*
 * Interfaces of the duties: jobs that one VM at a time does for a subject. One lease covers all of
 * them; see docs/design/duty-lease.md.
 */
package org.toucanspur.core.duties

import kotlinx.serialization.Serializable
import org.toucanspur.schema.FencingNumber
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.VmId
import org.toucanspur.schema.ZoneId

/** Permission of [holder] to act with [fencing] for at least [validMillis]. */
data class DutyPermit(val holder: VmId, val fencing: FencingNumber, val validMillis: Long)

/** The lease as a duty sees it; the daemon implements it. */
interface DutyLease {
    /** Permission to act for at least [neededMillis]; null when this VM does not hold the lease. */
    fun permit(neededMillis: Long): DutyPermit?

    /** Record read at the take-over or written since; null before the first take-over. */
    val record: DutyRecord?

    /**
     * Time of day up to which the [record] may lack windows that were reported, because the store
     * was restored from an older copy. A window that ended before it must not be made final.
     */
    val recordGapUntilMillis: Long get() = 0

    /**
     * Stores [record] with a renewal; true once the write is confirmed and the lease is held.
     * The [record] must be made from the property of that name without suspending in between: in
     * a later tenure it would lack what other holders have stored.
     */
    suspend fun store(record: DutyRecord): Boolean
}

/** Calls to the platform's operations API; the module `platform` implements it. */
interface DutyApi {
    /** Reports the requests that began in [window], by organisation. */
    suspend fun reportUsage(
        permit: DutyPermit,
        window: Long,
        counts: Map<OrganisationId, Long>
    ): DutyReply

    /** Orders [count] endpoints of [service] in [zone]. */
    suspend fun orderEndpoints(
        permit: DutyPermit,
        service: ServiceId,
        zone: ZoneId,
        count: Int
    ): DutyReply
}

/** Outcome of a call; after [UNKNOWN] it may have taken effect, or may do so until its time-out. */
enum class DutyReply { ACCEPTED, REJECTED, RATE_LIMITED, UNKNOWN }

/** Decisions that must stay the same after a change of holder; the lease object contains them. */
@Serializable
data class DutyRecord(
    val windows: List<RecordedWindow> = emptyList(),
    /** Last window that is final; an earlier one that [windows] lacks is not reported. */
    val finalUntil: Long = 0,
    /** Numbers of endpoints ordered last. */
    val orders: List<EndpointOrder> = emptyList()
)

/** Final [counts] of [window]; [isAccepted] once the platform has confirmed them. */
@Serializable
data class RecordedWindow(
    val window: Long,
    val counts: Map<OrganisationId, Long>,
    val isAccepted: Boolean
)

/** Order for [count] endpoints of [service] in [zone]. */
@Serializable
data class EndpointOrder(val service: ServiceId, val zone: ZoneId, val count: Int)
