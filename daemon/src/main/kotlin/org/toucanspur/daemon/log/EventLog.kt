/*
 * Numbered events, written to the log and kept in a bounded history of the process.
 */
package org.toucanspur.daemon.log

import io.github.oshai.kotlinlogging.KotlinLogging
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.events.EventRing
import org.toucanspur.core.events.EventSubject
import org.toucanspur.core.events.HybridClock
import org.toucanspur.daemon.wallMillis
import org.toucanspur.schema.Event
import org.toucanspur.schema.VmId

private val requestEventCodes = EventCode.REQUEST_ACCEPTED.number..EventCode.REQUEST_FAILED.number

/** Records the events of one process; thread-safe. */
class EventLog(private val vm: VmId, capacity: Int, private val isEnabled: Boolean = true) {
    private val logger = KotlinLogging.logger("toucanspur")

    /** Hybrid logical clock, advanced by the heartbeats of peers. */
    val clock = HybridClock(::wallMillis)
    private val ring = EventRing(vm, capacity, clock)

    /** Records an event; [message] is evaluated only if the log is enabled. */
    fun event(code: EventCode, subject: EventSubject = EventSubject(), message: () -> String) {
        if (!isEnabled) return
        val text = message()
        ring.add(code, text, subject)
        if (code.number in requestEventCodes) {
            logger.debug { formatLine(code, text) }
        } else {
            logger.info { formatLine(code, text) }
        }
    }

    private fun formatLine(code: EventCode, text: String): String =
        "E${code.number} ${vm.value}: $text"

    /** Returns the recorded events that are still in the history, oldest first. */
    fun snapshot(): List<Event> = ring.snapshot()
}
