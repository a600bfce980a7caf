/*
 * What is known of a call after its admission, and what decides its order while it waits.
 */
package org.toucanspur.daemon.gateway

import org.toucanspur.core.gateway.Organisation
import org.toucanspur.core.gateway.TrafficRoute
import org.toucanspur.core.gateway.TrafficService
import org.toucanspur.core.gateway.WaitPolicy
import org.toucanspur.core.gateway.WaitingCall
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.ServiceId

/** A call with its route; confined to the event loop. */
abstract class RoutedCall(
    val request: BufferedRequest,
    val route: TrafficRoute,
    val service: TrafficService,
    val organisation: Organisation?
) : WaitingCall {
    override var untilMillis = 0L
    override var reviewMillis = 0L
    override var placementKind: Any = Unit
    override var costMillis = 0.0
    override val heldBytes: Long get() = HELD_MIN_BYTES + request.body.size
    override val serviceId: ServiceId get() = service.id
    override val organisationId: OrganisationId? get() = organisation?.id
    override val rank: Int get() = WaitPolicy.rank(isOnTime || isCommitted, priority)

    /** Whether part of a response has been written to the caller. */
    abstract val isCommitted: Boolean

    /** Priority of the organisation, else of the route; 0 is the highest. */
    val priority: Int get() = organisation?.priority ?: route.priority

    /** Whether the request can still meet its latency target. */
    var isOnTime = true

    private companion object {
        // Header fields of up to 16 KiB, mostly far below it, and the objects of a connection.
        const val HELD_MIN_BYTES = 8192L
    }
}
