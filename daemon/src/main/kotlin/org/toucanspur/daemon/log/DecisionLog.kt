/*
 * Structured log of a process: one JSON object per line on standard output. A dedicated thread
 * writes the lines from a bounded queue, so that blocked output does not delay callers. Lines that
 * do not fit into the queue are dropped and counted; the next line carries the count, which is lost
 * if that line is dropped too.
 */
package org.toucanspur.daemon.log

import java.io.PrintStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.events.EventRateLimit
import org.toucanspur.daemon.wallMillis
import org.toucanspur.schema.VmId

// About 2 MB at 500 bytes per line.
private const val QUEUE_LINES = 4096

// Lines of one non-essential event in excess of this number per second are dropped and counted. An
// entry gets about a hundred requests a second.
private const val NON_ESSENTIAL_LINES_PER_SECOND = 200

/** Writes events; thread-safe. */
class DecisionLog(private val vm: VmId, private val output: PrintStream = System.out) {
    private val lines = ArrayBlockingQueue<String>(QUEUE_LINES)
    private val droppedLines = AtomicLong()
    private val rateLimit = EventRateLimit(NON_ESSENTIAL_LINES_PER_SECOND)

    init {
        thread(name = "log", isDaemon = true) { writeLines() }
    }

    /** Writes an event with [fields]; only events that are not [isEssential] are rate-limited. */
    fun event(
        code: EventCode,
        isEssential: Boolean = true,
        fields: JsonObjectBuilder.() -> Unit = {}
    ) {
        val now = wallMillis()
        if (!isEssential && !isAllowed(code, now)) {
            droppedLines.incrementAndGet()
            return
        }
        val line = buildJsonObject {
            put("t", now)
            put("vm", vm.value)
            put("event", code.number)
            put("name", code.title)
            fields()
            val newlyDropped = droppedLines.getAndSet(0)
            if (newlyDropped > 0) put("linesDropped", newlyDropped)
        }
        if (!lines.offer(line.toString())) droppedLines.incrementAndGet()
    }

    @Synchronized
    private fun isAllowed(code: EventCode, nowMillis: Long): Boolean =
        rateLimit.allows(code, nowMillis)

    /** Waits up to [timeoutMillis] until the queue is empty, then flushes the output. */
    fun flush(timeoutMillis: Long) {
        val end = System.nanoTime() + timeoutMillis * NANOS_PER_MILLI
        while (lines.isNotEmpty() && System.nanoTime() < end) Thread.onSpinWait()
        output.flush()
    }

    private fun writeLines() {
        val batch = ArrayList<String>()
        while (true) {
            batch.clear()
            batch += lines.take()
            lines.drainTo(batch)
            val text = StringBuilder()
            batch.forEach { text.append(it).append('\n') }
            output.print(text)
            output.flush()
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
