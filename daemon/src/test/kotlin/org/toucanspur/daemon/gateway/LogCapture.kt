package org.toucanspur.daemon.gateway

import java.io.OutputStream
import java.io.PrintStream
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.toucanspur.core.events.EventCode
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.schema.VmId

private const val WAIT_SECONDS = 20L

/** A log whose events can be read back. */
class LogCapture {
    private val events = LinkedBlockingQueue<JsonObject>()
    private val line = StringBuilder()

    /** The log to pass to the code under test. */
    val log = DecisionLog(VmId("vm"), PrintStream(LineOutput()))

    /** Removes and returns the next event with [code], or null if none is written in time. */
    fun next(code: EventCode): JsonObject? {
        while (true) {
            val event = events.poll(WAIT_SECONDS, TimeUnit.SECONDS) ?: return null
            if (event.getValue("event").jsonPrimitive.int == code.number) return event
        }
    }

    private inner class LineOutput : OutputStream() {
        override fun write(byte: Int) {
            if (byte.toChar() != '\n') {
                line.append(byte.toChar())
                return
            }
            events += Json.parseToJsonElement(line.toString()).jsonObject
            line.clear()
        }
    }
}
