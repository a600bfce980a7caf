/*
 * Cuts an event stream (text/event-stream) into whole events, so that an answer that breaks off in
 * the middle of one can continue at another endpoint after the last event that the caller has.
 */
package org.toucanspur.core.gateway

/** Bytes of whole events, and the id of the last one. */
class EventBatch(val bytes: ByteArray, val lastEventId: String?, val events: Int)

/** Cuts the bytes of one answer; not safe for use by several threads. */
class EventStreamCutter(private val eventMaxBytes: Int = EVENT_MAX_BYTES) {
    private var pending = ByteArray(INITIAL_BYTES)
    private var size = 0
    private var scanned = 0

    /** Bytes of an event that is not complete yet. */
    val pendingBytes: Int get() = size

    /** Whether an event is longer than the limit; the answer cannot be relayed. */
    val isOverflowing: Boolean get() = size > eventMaxBytes

    /** Adds bytes and returns the whole events they complete, or null when there are none. */
    fun add(bytes: ByteArray): EventBatch? {
        ensureRoom(bytes.size)
        bytes.copyInto(pending, size)
        size += bytes.size
        var end = 0
        var events = 0
        var lastId: String? = null
        var position = scanned
        while (position < size) {
            if (isEventEnd(position)) {
                idOf(end, position)?.let { lastId = it }
                end = position + 1
                events++
            }
            position++
        }
        scanned = size - end
        if (end == 0) return null
        val whole = pending.copyOf(end)
        pending.copyInto(pending, 0, end, size)
        size -= end
        return EventBatch(whole, lastId, events)
    }

    private fun isEventEnd(position: Int): Boolean {
        if (pending[position] != LF) return false
        if (position > 0 && pending[position - 1] == LF) return true
        return position > 1 && pending[position - 1] == CR && pending[position - 2] == LF
    }

    private fun idOf(start: Int, end: Int): String? {
        var lineStart = start
        var id: String? = null
        while (lineStart < end) {
            var lineEnd = lineStart
            while (lineEnd < end && pending[lineEnd] != LF) lineEnd++
            if (startsWithId(lineStart, lineEnd)) {
                id = String(pending, lineStart + ID_FIELD.size, lineEnd - lineStart - ID_FIELD.size)
                    .trim()
            }
            lineStart = lineEnd + 1
        }
        return id
    }

    private fun startsWithId(start: Int, end: Int): Boolean {
        if (end - start < ID_FIELD.size) return false
        return ID_FIELD.indices.all { pending[start + it] == ID_FIELD[it] }
    }

    private fun ensureRoom(count: Int) {
        if (size + count > pending.size) {
            pending = pending.copyOf(maxOf(pending.size * 2, size + count))
        }
    }

    private companion object {
        const val INITIAL_BYTES = 1024
        const val EVENT_MAX_BYTES = 1024 * 1024
        const val LF = '\n'.code.toByte()
        const val CR = '\r'.code.toByte()
        val ID_FIELD = "id:".encodeToByteArray()
    }
}
