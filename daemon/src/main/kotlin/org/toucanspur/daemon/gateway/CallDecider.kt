/*
 * Decides what is done with a call that has been admitted and is at no endpoint. The dispatcher
 * carries the decision out; an explanation reports it.
 */
package org.toucanspur.daemon.gateway

import org.toucanspur.core.gateway.Placement
import org.toucanspur.core.gateway.PlacementTrace

/** What is done with a call, which got the given placement. */
sealed interface CallDecision {
    /** Placement of the call. */
    val placement: Placement

    /** It is sent. */
    class Send(override val placement: Placement.Send) : CallDecision

    /** It waits. */
    class Wait(override val placement: Placement) : CallDecision

    /** No endpoint can get it in time. */
    class Fail(override val placement: Placement, val cause: RefusalCause? = null) : CallDecision
}

/** Decides without any effect apart from the time for which a call may wait. */
class CallDecider(
    private val placements: CallPlacement,
    private val queue: CallScheduler,
    private val statements: EndpointStatements
) {
    /** What is done with [call] now; [trace] gets the reasons of its placement. */
    fun decide(call: Call, nowMillis: Long, trace: PlacementTrace? = null): CallDecision {
        val placement = placements.place(call, nowMillis, trace = trace)
        if (placement is Placement.Send && !queue.isBehindOthers(call)) {
            return CallDecision.Send(placement)
        }
        queue.limitWait(call, nowMillis)
        if (placement is Placement.Nowhere && placements.isAwaitingLoad(call, nowMillis)) {
            queue.extendForLoad(call, nowMillis)
        }
        val isUnservable =
            !call.isCommitted &&
                placement is Placement.Nowhere &&
                !placements.hasAcceptingEndpoint(call)
        return when {
            isUnservable || statements.mustRefuse(call, placement, queue.size, nowMillis) ->
                CallDecision.Fail(placement)
            !queue.hasRoom(call) -> CallDecision.Fail(placement, RefusalCause.MEMORY)
            else -> CallDecision.Wait(placement)
        }
    }
}
