/*
 * Numbers of load orders, which rise over all lives of an agent: an endpoint may refuse an order
 * whose number is lower than one it has seen. Only the agent beside an endpoint gives it orders, so
 * that the wall clock serves, and a clock that was set back is made up for.
 */
package org.toucanspur.core.weights

/** Numbers of one agent, from [wallMillis]. */
class FencingNumbers(private val wallMillis: () -> Long) {
    private var last = 0L
    private var stepMillis = FIRST_STEP_MILLIS

    /** The number of the next order. */
    fun next(): Long {
        last = maxOf(wallMillis(), last + 1)
        return last
    }

    /** Notes that the last number was too low: a former life had a later clock. */
    fun onFenced() {
        last += stepMillis
        stepMillis *= 2
    }

    private companion object {
        // Clocks are mostly set back by less; each refusal doubles it.
        const val FIRST_STEP_MILLIS = 3_600_000L
    }
}
