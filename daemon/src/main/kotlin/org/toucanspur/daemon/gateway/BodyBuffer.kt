/*
 * Body of a request while it arrives. Parts are copied together, because a part of one byte that
 * is kept as it was read costs more than a hundred bytes.
 */
package org.toucanspur.daemon.gateway

import io.netty.buffer.ByteBuf

/** Collects bytes in segments of increasing size, which are not copied again until the end. */
class BodyBuffer {
    private val segments = ArrayList<ByteArray>()
    private var usedInLast = 0

    /** Number of bytes collected. */
    var size = 0
        private set

    /** Bytes of memory in use. */
    var capacityBytes = 0L
        private set

    /** Copies the readable bytes of [content]. */
    fun add(content: ByteBuf) {
        while (content.isReadable) {
            if (segments.isEmpty() || usedInLast == segments.last().size) grow()
            val segment = segments.last()
            val length = minOf(content.readableBytes(), segment.size - usedInLast)
            content.readBytes(segment, usedInLast, length)
            usedInLast += length
            size += length
        }
    }

    private fun grow() {
        val bytes = capacityBytes.coerceIn(SEGMENT_MIN_BYTES, SEGMENT_MAX_BYTES).toInt()
        segments += ByteArray(bytes)
        capacityBytes += bytes
        usedInLast = 0
    }

    /** Returns the collected bytes and clears the buffer. */
    fun take(): ByteArray {
        val body = ByteArray(size)
        var offset = 0
        segments.forEach {
            val length = minOf(it.size, size - offset)
            it.copyInto(body, offset, 0, length)
            offset += length
        }
        clear()
        return body
    }

    /** Discards the collected bytes. */
    fun clear() {
        segments.clear()
        usedInLast = 0
        size = 0
        capacityBytes = 0
    }

    private companion object {
        const val SEGMENT_MIN_BYTES = 1024L
        const val SEGMENT_MAX_BYTES = 64L * 1024
    }
}
