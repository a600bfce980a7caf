/*
 * Refusals of calls that no endpoint has run, with the time after which their callers come back,
 * and the part of the retry budget that a call may use.
 */
package org.toucanspur.daemon.gateway

import org.toucanspur.core.gateway.Placement
import org.toucanspur.daemon.monotonicMillis

/** Refusals and retries of the calls of one entry; confined to the event loop. */
class RefusalPolicy(
    private val state: GatewayState,
    private val placements: CallPlacement,
    private val overload: OverloadControl
) {
    private val maxRemainingMillis = HashMap<String, Long>()

    /**
     * Whether [call] is the first attempt of its caller. One that retries after a refusal sends a
     * shorter remaining time. The longest one seen on the route stands for that of a first attempt;
     * [call] counts for it if it [isRecorded].
     */
    fun isOnTime(call: Call, isRecorded: Boolean = true): Boolean {
        // One caller with much time must not make all others late.
        val remaining =
            minOf(call.metadata.remainingMillis ?: return true, call.route.timeoutMillis)
        val longest = maxOf(remaining, maxRemainingMillis[call.route.name] ?: 0)
        if (isRecorded) maxRemainingMillis[call.route.name] = longest
        return longest - remaining < call.route.targetMillis / 2
    }

    /**
     * Refusal of [call] because the share of its kind is used up; null when it is admitted. Charges
     * it to its organisation if it [isRecorded].
     */
    fun shareRefusal(call: Call, isRecorded: Boolean = true): Refusal? {
        if (overload.admits(call, isRecorded)) return null
        val retryAfterMillis = overload.retryAfterMillis(call, monotonicMillis())
        return Refusal(UNAVAILABLE, BUSY, retryAfterMillis, RefusalCause.SHARE)
    }

    /** Refusal of [call], which got [placement], because of [cause] or what that says. */
    fun unplaced(call: Call, placement: Placement, cause: RefusalCause?): Refusal {
        val isNowhere = placement is Placement.Nowhere
        val opensInMillis = (placement as? Placement.Busy)?.opensInMillis ?: 0
        // What endpoints ask for decides when they take requests again, else the load does.
        val isShared = !isNowhere && opensInMillis == 0L && overload.isOverloaded(call.service.id)
        val retryAfterMillis = if (isShared) {
            overload.retryAfterMillis(call, monotonicMillis())
        } else {
            placements.retryAfterMillis(call, placement)
        }
        val reason = if (isNowhere) "no endpoint can serve" else BUSY
        val known = cause ?: if (isNowhere) RefusalCause.NOWHERE else RefusalCause.BUSY
        return Refusal(UNAVAILABLE, reason, retryAfterMillis, known)
    }

    /** Whether the retry budget has room for [call]. */
    fun mayRetry(call: Call): Boolean {
        val now = monotonicMillis()
        return state.retryAllowance(call.service.id)
            .hasRoom(now, state.entryCount(now), overload.retryPart(call))
    }

    /** Takes a retry of [call] from the budget. */
    fun tryRetry(call: Call, nowMillis: Long): Boolean = state.retryAllowance(call.service.id)
        .tryAcquire(nowMillis, state.entryCount(nowMillis), overload.retryPart(call))

    private companion object {
        const val UNAVAILABLE = 503
        const val BUSY = "all endpoints are busy"
    }
}
