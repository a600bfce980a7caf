/*
 * Time-outs of callers' connections. A response that waits for its caller to read is not idle time.
 */
package org.toucanspur.core.gateway

/** Why a connection is closed by a time-out; [reason] is its text for operators. */
enum class CallerTimeout(val reason: String) {
    /** A request has been received in part and its rest does not come. */
    INCOMPLETE_REQUEST("request is incomplete"),

    /** The caller does not read a response whose deadline has passed. */
    UNREAD_RESPONSE("response is not read"),

    /** Nothing is under way. */
    IDLE("idle")
}

/** What is under way in a connection. */
data class CallerActivity(
    /** Whether a request has been received in part. */
    val isReceiving: Boolean,
    /** Whether a request is being processed or waits. */
    val isServing: Boolean,
    /** Number of response bytes that the socket has not accepted yet. */
    val unsentBytes: Long,
    /** Time of the last read, write or other progress. */
    val lastProgressMillis: Long,
    /** Latest deadline of a request that was received. */
    val deadlineMillis: Long
)

/** Judges connections by the limits in force, at first [initial]. */
class CallerTimeouts(initial: CallerLimits) {
    private var limits = initial

    /** Replaces the limits by [changed]. */
    fun onLimits(changed: CallerLimits) {
        limits = changed
    }

    /** The time-out that has passed for a connection with [activity]; null if none has. */
    fun expired(activity: CallerActivity, nowMillis: Long): CallerTimeout? {
        val inactiveMillis = nowMillis - activity.lastProgressMillis
        val isIdleOver = inactiveMillis > limits.idleTimeoutMillis
        return when {
            activity.isReceiving -> CallerTimeout.INCOMPLETE_REQUEST.takeIf {
                inactiveMillis > limits.headerTimeoutMillis
            }
            activity.isServing -> null
            activity.unsentBytes > 0 -> CallerTimeout.UNREAD_RESPONSE.takeIf {
                isIdleOver && nowMillis >= activity.deadlineMillis
            }
            else -> CallerTimeout.IDLE.takeIf { isIdleOver }
        }
    }
}
