/*
 * Fencing numbers for load orders. They increase across restarts of an agent, because an endpoint
 * may refuse an order with a lower number than one it has seen. Only the agent on the same VM sends
 * orders to an endpoint, so the wall clock is a sufficient source. A clock that was set back is
 * corrected after a refusal.
 */
package org.toucanspur.core.weights

/** Generates increasing numbers from [wallMillis]. */
class FencingNumberGenerator(private val wallMillis: () -> Long) {
    private var last = 0L
    private var correctionMillis = INITIAL_CORRECTION_MILLIS

    /** Returns the number for the next order. */
    fun next(): Long {
        last = maxOf(wallMillis(), last + 1)
        return last
    }

    /** Skips ahead after a refusal: before a restart, the clock of the agent was ahead. */
    fun onFenced() {
        last += correctionMillis
        correctionMillis *= 2
    }

    private companion object {
        // Clocks are usually set back by less than an hour; each refusal doubles the correction.
        const val INITIAL_CORRECTION_MILLIS = 3_600_000L
    }
}
