/*
 * How many calls the holder of the lease makes to the operations API. The API accepts a number of
 * calls a second from all VMs together; only one VM at a time makes calls.
 */
package org.toucanspur.core.duties

/** Allows [callsPerSecond] calls in any second, and none for a time after one over the rate. */
class DutyCallRate(private val callsPerSecond: Int) {
    private val calls = ArrayDeque<Long>()
    private var blockedUntilMillis = Long.MIN_VALUE
    private var backoffMillis = BACKOFF_MIN_MILLIS

    /** Whether a call may be made at [nowMillis]; if so, it is counted. */
    fun tryCall(nowMillis: Long): Boolean {
        if (nowMillis < blockedUntilMillis) return false
        while (calls.isNotEmpty() && nowMillis - calls.first() >= PERIOD_MILLIS) calls.removeFirst()
        if (calls.size >= callsPerSecond) return false
        calls.addLast(nowMillis)
        return true
    }

    /** Records the [reply] to a call. */
    fun onReply(reply: DutyReply, nowMillis: Long) {
        when (reply) {
            DutyReply.RATE_LIMITED -> {
                blockedUntilMillis = nowMillis + backoffMillis
                backoffMillis = minOf(backoffMillis * 2, BACKOFF_MAX_MILLIS)
            }
            DutyReply.ACCEPTED -> backoffMillis = BACKOFF_MIN_MILLIS
            DutyReply.REJECTED, DutyReply.UNKNOWN -> Unit
        }
    }

    private companion object {
        // Longer than a second, as calls may take different times to arrive.
        const val PERIOD_MILLIS = 1100L
        const val BACKOFF_MIN_MILLIS = 500L

        // A report of usage is late after about 10 s.
        const val BACKOFF_MAX_MILLIS = 4000L
    }
}
