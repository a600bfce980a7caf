/*
 * Limits how often an event is logged. Callers cause some events with each request, so a crowd of
 * callers could otherwise fill the log and take the processor time of the process. Each event has a
 * limit of its own, so that a flood of one does not displace the others.
 */
package org.toucanspur.core.events

import java.util.EnumMap

private const val MILLIS_PER_SECOND = 1000L

/** Allows [linesPerSecond] lines of each event per second of the wall clock. Not thread-safe. */
class EventRateLimit(private val linesPerSecond: Int) {
    private val counts = EnumMap<EventCode, Int>(EventCode::class.java)
    private var second = Long.MIN_VALUE

    /** Whether a line of [code] may be written at [wallMillis]. */
    fun allows(code: EventCode, wallMillis: Long): Boolean {
        val current = Math.floorDiv(wallMillis, MILLIS_PER_SECOND)
        if (current != second) {
            second = current
            counts.clear()
        }
        return counts.merge(code, 1, Int::plus)!! <= linesPerSecond
    }
}
