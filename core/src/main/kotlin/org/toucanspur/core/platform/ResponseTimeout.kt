/*
 * When a call ends for want of a response. A response that has begun may take longer than a call
 * otherwise may, as long as bytes arrive: a call that is made again would begin anew and take just
 * as long. The time until the connection is established does not count, as it shows how long
 * packets take.
 */
package org.toucanspur.core.platform

/**
 * Limits of a response that has begun: it fails when no byte arrives for [silenceMillis], and
 * [totalMillis] after its first byte.
 */
class TransferLimits(val silenceMillis: Long, val totalMillis: Long)

/**
 * Time-out of a call that begins at [startMillis] and has [timeoutMillis] for its whole response.
 * With [limits], that time counts from the connection on, and a response that has begun has the
 * time that they allow. Not thread-safe.
 */
class ResponseTimeout(
    startMillis: Long,
    private val timeoutMillis: Long,
    private val limits: TransferLimits?
) {
    private var begunMillis: Long? = null

    /** When the call ends if no further byte arrives. */
    var dueMillis = startMillis + timeoutMillis
        private set

    /** Records that the call has a connection. */
    fun onConnected(nowMillis: Long) {
        if (limits != null) dueMillis = nowMillis + timeoutMillis
    }

    /** Records that bytes of the response have arrived. */
    fun onBytes(nowMillis: Long) {
        val limits = limits ?: return
        val begun = begunMillis ?: nowMillis.also { begunMillis = it }
        val allowedMillis = minOf(nowMillis + limits.silenceMillis, begun + limits.totalMillis)
        dueMillis = maxOf(dueMillis, allowedMillis)
    }
}
