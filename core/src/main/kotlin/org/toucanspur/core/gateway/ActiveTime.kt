/*
 * Measures how long a peer has been sending. A peer that keeps sending without result is
 * faulty; one that is silent for a while may be sound.
 */
package org.toucanspur.core.gateway

/** Time in which bytes arrive; a silence between two of them counts [silenceMaxMillis] at most. */
class ActiveTime(private val silenceMaxMillis: Long) {
    private var lastMillis: Long? = null

    /** Time counted so far. */
    var millis = 0L
        private set

    /** Records that bytes have arrived at [nowMillis]. */
    fun onArrival(nowMillis: Long) {
        lastMillis?.let { millis += minOf(nowMillis - it, silenceMaxMillis) }
        lastMillis = nowMillis
    }

    /** Starts again. */
    fun reset() {
        lastMillis = null
        millis = 0
    }
}
