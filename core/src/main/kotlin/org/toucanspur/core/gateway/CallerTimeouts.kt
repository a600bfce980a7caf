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
    val deadlineMillis: Long,
    /** Progress of the body that is being received. */
    val receiving: TransferRate = TransferRate(),
    /** Progress of the complete response that the caller reads. */
    val sending: TransferRate = TransferRate()
)

/** A transfer of [bytes] that began at [startMillis]; null if there is none to judge. */
data class TransferRate(val startMillis: Long? = null, val bytes: Long = 0)

/**
 * Rate that a transfer must have from [graceMillis] after its start, so that a few bytes at a time
 * do not keep it alive for as long as its caller likes; none if [bytesPerSecond] is 0.
 */
data class MinimumRate(val graceMillis: Long, val bytesPerSecond: Long) {
    /** Whether [transfer] is slower. */
    fun isMissed(transfer: TransferRate, nowMillis: Long): Boolean {
        val start = transfer.startMillis ?: return false
        val judgedMillis = nowMillis - start - graceMillis
        return bytesPerSecond > 0 &&
            judgedMillis > 0 &&
            transfer.bytes * MILLIS_PER_SECOND < bytesPerSecond * judgedMillis
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000
    }
}

/** Judges connections by the limits in force, at first [initial]. */
class CallerTimeouts(
    initial: CallerLimits,
    private val minimumRate: MinimumRate = MinimumRate(0, 0)
) {
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
                inactiveMillis > header.millis(nowMillis) ||
                    minimumRate.isMissed(activity.receiving, nowMillis)
            }
            activity.isServing -> null
            activity.unsentBytes > 0 -> CallerTimeout.UNREAD_RESPONSE.takeIf {
                (isIdleOver || minimumRate.isMissed(activity.sending, nowMillis)) &&
                    nowMillis >= activity.deadlineMillis
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
