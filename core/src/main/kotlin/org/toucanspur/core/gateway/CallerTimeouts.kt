/*
 * Time-outs of callers' connections. Load pattern: the configuration changes them while connections
 * are open. A caller goes by the time-out that it knows, so a time-out that was superseded stays
 * valid for as long as it lasted. A response that waits for its caller to read is not idle time.
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
    private val header = ReplaceableTimeout(initial.headerTimeoutMillis)
    private val idle = ReplaceableTimeout(initial.idleTimeoutMillis)

    /** Replaces the limits by [limits]. */
    fun onLimits(limits: CallerLimits, nowMillis: Long) {
        header.replace(limits.headerTimeoutMillis, nowMillis)
        idle.replace(limits.idleTimeoutMillis, nowMillis)
    }

    /** The time-out that has passed for a connection with [activity]; null if none has. */
    fun expired(activity: CallerActivity, nowMillis: Long): CallerTimeout? {
        val inactiveMillis = nowMillis - activity.lastProgressMillis
        val isIdleOver = inactiveMillis > idle.millis(nowMillis)
        return when {
            activity.isReceiving -> CallerTimeout.INCOMPLETE_REQUEST.takeIf {
                inactiveMillis > header.millis(nowMillis)
            }
            activity.isServing -> null
            activity.unsentBytes > 0 -> CallerTimeout.UNREAD_RESPONSE.takeIf {
                isIdleOver && nowMillis >= activity.deadlineMillis
            }
            else -> CallerTimeout.IDLE.takeIf { isIdleOver }
        }
    }
}

/** A time-out, at first [initialMillis], whose values stay valid once as long after they end. */
private class ReplaceableTimeout(initialMillis: Long) {
    private class Superseded(val millis: Long, val validUntilMillis: Long)

    private var currentMillis = initialMillis
    private val superseded = ArrayDeque<Superseded>()

    fun replace(millis: Long, nowMillis: Long) {
        if (millis == currentMillis) return
        // A shorter value that ended earlier has no effect any more.
        superseded.removeAll { it.millis <= currentMillis || it.validUntilMillis <= nowMillis }
        superseded += Superseded(currentMillis, nowMillis + currentMillis)
        currentMillis = millis
    }

    fun millis(nowMillis: Long): Long {
        superseded.removeAll { it.validUntilMillis <= nowMillis }
        return maxOf(currentMillis, superseded.maxOfOrNull { it.millis } ?: 0)
    }
}
