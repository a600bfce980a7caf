/*
 * Splits an event stream (text/event-stream) into complete events, so that a response interrupted
 * in the middle of an event can resume at another endpoint after the last event relayed to the
 * caller.
 */
package org.toucanspur.core.gateway

/** Bytes of one or more complete events, and the last event id among them. */
class EventBatch(val bytes: ByteArray, val lastEventId: String?, val events: Int)

/** Splits the bytes of one response. Not thread-safe. */
class EventStreamSplitter(private val eventMaxBytes: Int = EVENT_MAX_BYTES) {
    private var pending = ByteArray(INITIAL_BYTES)
    private var size = 0
    private var scanned = 0
    private var hasContent = false

    /** Number of buffered bytes of an incomplete event. */
    val pendingBytes: Int get() = size

    /** Size of the buffer. */
    val capacityBytes: Int get() = pending.size

    /** Whether an event has begun and not ended; blank lines between events begin none. */
    val isInsideEvent: Boolean get() = hasContent

    /** Buffered bytes that were not returned by [add]. */
    fun remainder(): ByteArray = pending.copyOf(size)

    /** Whether an event exceeds the size limit, so that the response cannot be relayed. */
    val isOverflowing: Boolean get() = size > eventMaxBytes

    /** Adds bytes and returns the events they complete, or null when there are none. */
    fun add(bytes: ByteArray): EventBatch? {
        ensureCapacity(bytes.size)
        bytes.copyInto(pending, size)
        size += bytes.size
        var end = 0
        var events = 0
        var lastId: String? = null
        var position = scanned
        while (position < size) {
            if (hasContent && isEventEnd(position)) {
                eventIdIn(end, position)?.let { lastId = it }
                end = position + 1
                events++
                hasContent = false
            } else if (pending[position] != LF && pending[position] != CR) {
                hasContent = true
            }
            position++
        }
        scanned = size - end
        if (end == 0) return null
        val complete = pending.copyOf(end)
        pending.copyInto(pending, 0, end, size)
        size -= end
        return EventBatch(complete, lastId, events)
    }

    private fun isEventEnd(position: Int): Boolean {
        if (pending[position] != LF) return false
        if (position > 0 && pending[position - 1] == LF) return true
        return position > 1 && pending[position - 1] == CR && pending[position - 2] == LF
    }

    private fun eventIdIn(start: Int, end: Int): String? {
        var lineStart = start
        var id: String? = null
        while (lineStart < end) {
            var lineEnd = lineStart
            while (lineEnd < end && pending[lineEnd] != LF) lineEnd++
            if (isIdField(lineStart, lineEnd)) {
                id = String(pending, lineStart + ID_FIELD.size, lineEnd - lineStart - ID_FIELD.size)
                    .trim()
            }
            lineStart = lineEnd + 1
        }
        return id
    }

    private fun isIdField(start: Int, end: Int): Boolean {
        if (end - start < ID_FIELD.size) return false
        return ID_FIELD.indices.all { pending[start + it] == ID_FIELD[it] }
    }

    private fun ensureCapacity(count: Int) {
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
