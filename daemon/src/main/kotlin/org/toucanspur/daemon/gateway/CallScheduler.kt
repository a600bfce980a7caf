/*
 * Calls of one entry that wait for an endpoint: when they are placed, and when they are refused
 * because they will not be served in time.
 */
package org.toucanspur.daemon.gateway

import org.toucanspur.core.gateway.LATE_RANK_MIN
import org.toucanspur.core.gateway.Placement
import org.toucanspur.core.gateway.PlacementResult
import org.toucanspur.core.gateway.WaitPolicy
import org.toucanspur.core.gateway.WaitingCalls
import org.toucanspur.core.gateway.loadWaitMillis
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.ServiceId

/** Waiting calls and their admission; confined to the event loop. */
class CallScheduler(
    private val placements: CallPlacement,
    private val overload: OverloadControl,
    waitingMaxBytes: Long
) {
    private val waiting = WaitingCalls<Call>(waitingMaxBytes)

    /** Number of waiting calls. */
    val size: Int get() = waiting.size

    /** Number of waiting calls to [service]. */
    fun sizeOf(service: ServiceId): Int = waiting.sizeOf(service)

    /** Whether a call that goes first waits for the service of [call]. */
    fun isBehindOthers(call: Call): Boolean = waiting.hasBefore(call)

    /** Sets the time for which [call] may wait from [nowMillis]. */
    fun limitWait(call: Call, nowMillis: Long) {
        val remaining = call.deadlineMillis - nowMillis
        val waitMillis = if (call.isCommitted) {
            RESUME_WAIT_MILLIS
        } else {
            WaitPolicy.waitMillis(call.route.targetMillis, remaining, call.isOnTime)
        }
        call.untilMillis = nowMillis + minOf(waitMillis, remaining)
        // A call that an endpoint may have run is not given up early: its caller cannot repeat it.
        call.reviewMillis = if (call.isCommitted || call.mayHaveExecuted) {
            call.untilMillis
        } else {
            nowMillis + WaitPolicy.reviewMillis(call.route.targetMillis)
        }
    }

    /** Whether there is memory for [call] to wait. */
    fun hasRoom(call: Call): Boolean = waiting.hasRoom(call)

    /** Predicted wait of [call]; very large when nothing shows that it ends. */
    fun predictedWaitMillis(call: Call, nowMillis: Long): Double =
        waiting.waitMillis(call, overload.waitCapacity(call.service.id, nowMillis))

    /**
     * Lets [call] wait for a weight load to end, as long as its response can then be complete in
     * time. Returns false if it cannot.
     */
    fun extendForLoad(call: Call, nowMillis: Long): Boolean {
        val engine = call.service.engine ?: return false
        if (call.isCommitted) return false
        val waitMillis = loadWaitMillis(call.deadlineMillis - nowMillis, engine)
        call.untilMillis = maxOf(call.untilMillis, nowMillis + waitMillis)
        return waitMillis > 0
    }

    /** Adds [call]; returns false when there is no memory for it. */
    fun add(call: Call): Boolean {
        call.placementKind = PlacementKind(
            placements.constraintsOf(call),
            call.route.name,
            call.isOnTime,
            call.isCommitted,
            call.executedAttempts,
            call.tried.toSet(),
            Int.SIZE_BITS - (call.metadata.promptTokens ?: 0).countLeadingZeroBits()
        )
        return waiting.add(call)
    }

    /** Removes [call]; returns false when it does not wait. */
    fun remove(call: Call): Boolean = waiting.remove(call)

    /** Records that [call] was placed without waiting. */
    fun onPlacedAtOnce(call: Call) = waiting.onPlacedAtOnce(call)

    /** Passes waiting calls to [place], which returns their placement after having sent them. */
    fun drain(place: (Call) -> Placement?) = waiting.drain {
        val placement = place(it)
        if (placement == null || placement is Placement.Send) {
            PlacementResult.PLACED
        } else {
            PlacementResult.BUSY
        }
    }

    /** Removes and returns the calls that are not served in time. */
    fun removeUnservable(nowMillis: Long): List<Call> =
        waiting.removeUnservable(nowMillis) { overload.waitCapacity(it, nowMillis) }

    /** Updates the admission. */
    fun update(nowMillis: Long) = overload.update(nowMillis) {
        waiting.sizeOf(it, LATE_RANK_MIN)
    }

    private data class PlacementKind(
        val constraints: Any,
        val route: String,
        val isOnTime: Boolean,
        val isCommitted: Boolean,
        val executedAttempts: Int,
        val tried: Set<EndpointId>,
        val promptSize: Int
    )

    private companion object {
        // Callers close a stream after two seconds without an event.
        const val RESUME_WAIT_MILLIS = 1500L
    }
}
