/*
 * Numbered events: each goes to the log and to the time line of the process.
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

private val requestCodes = EventCode.REQUEST_ACCEPTED.number..EventCode.REQUEST_FAILED.number

/** Records events of one process. Safe for use by several threads. */
class EventLog(private val vm: VmId, capacity: Int, private val isEnabled: Boolean = true) {
    private val logger = KotlinLogging.logger("toucanspur")

    /** Clock that peers' heartbeats advance. */
    val clock = HybridClock(::wallMillis)
    private val ring = EventRing(vm, capacity, clock)

    /** Records one event; [message] is built only when the event is kept. */
    fun event(code: EventCode, subject: EventSubject = EventSubject(), message: () -> String) {
        if (!isEnabled) return
        val text = message()
        ring.add(code, text, subject)
        if (code.number in requestCodes) {
            logger.debug { line(code, text) }
        } else {
            logger.info { line(code, text) }
        }
    }

    private fun line(code: EventCode, text: String): String = "E${code.number} ${vm.value}: $text"

    /** All events kept, oldest first. */
    fun snapshot(): List<Event> = ring.snapshot()
}
