/*
 * The structured log of a process: one JSON object a line on standard output. Lines go through a
 * bounded queue to a thread of their own, so that a stuck output delays nothing; what does not fit
 * is dropped and counted, and the count is logged with the next line that fits.
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
import org.toucanspur.daemon.wallMillis
import org.toucanspur.schema.VmId

// About 2 MB of lines of 500 bytes.
private const val QUEUE_LINES = 4096

// Repeats of one kind of event within a second beyond this are counted, not written.
private const val LINES_PER_SECOND = 400

/** Writes events; safe for use by several threads. */
class DecisionLog(private val vm: VmId, private val output: PrintStream = System.out) {
    private val lines = ArrayBlockingQueue<String>(QUEUE_LINES)
    private val dropped = AtomicLong()
    private var second = 0L
    private var writtenInSecond = 0

    init {
        thread(name = "log", isDaemon = true) { drain() }
    }

    /** Writes an event with [fields]; events that change a belief are [isEssential]. */
    fun event(
        code: EventCode,
        isEssential: Boolean = true,
        fields: JsonObjectBuilder.() -> Unit = {}
    ) {
        val now = wallMillis()
        if (!isEssential && isOverRate(now)) {
            dropped.incrementAndGet()
            return
        }
        val line = buildJsonObject {
            put("t", now)
            put("vm", vm.value)
            put("event", code.number)
            put("name", code.title)
            fields()
            val missing = dropped.getAndSet(0)
            if (missing > 0) put("linesDropped", missing)
        }
        if (!lines.offer(line.toString())) dropped.incrementAndGet()
    }

    @Synchronized
    private fun isOverRate(nowMillis: Long): Boolean {
        val current = nowMillis / MILLIS_PER_SECOND
        if (current != second) {
            second = current
            writtenInSecond = 0
        }
        return ++writtenInSecond > LINES_PER_SECOND
    }

    /** Waits until the queue is written, for [timeoutMillis] at most. */
    fun flush(timeoutMillis: Long) {
        val end = System.nanoTime() + timeoutMillis * NANOS_PER_MILLI
        while (lines.isNotEmpty() && System.nanoTime() < end) Thread.onSpinWait()
        output.flush()
    }

    private fun drain() {
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
        const val MILLIS_PER_SECOND = 1000L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
