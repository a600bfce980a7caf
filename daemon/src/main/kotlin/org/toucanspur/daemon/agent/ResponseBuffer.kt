/*
 * Bounded buffer of the response bytes that the entry has not acknowledged yet. The producer
 * suspends while the window is full. After a reconnect, the entry can resume from any offset that
 * it has not acknowledged.
 */
package org.toucanspur.daemon.agent

import java.util.zip.CRC32
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import org.toucanspur.schema.HeaderField

/** Status code and header fields of a response. */
data class ResponseHead(val status: Int, val headers: List<HeaderField>)

private const val SLICE_BYTES = 2048

/** How a response ended. */
sealed interface ResponseEnd {
    /** All bytes were received from the endpoint. */
    data class Whole(val length: Long, val checksum: Long) : ResponseEnd

    /** The call to the endpoint failed before the end of the body. */
    data class Failed(val reason: String) : ResponseEnd
}

/**
 * Buffers the bytes of one response between its producer and its reader. Safe for concurrent use
 * by coroutines.
 */
class ResponseBuffer(private val windowBytes: Int, startOffset: Long) {
    private val bytes = ArrayDeque<ByteArray>()
    private var baseOffset = startOffset
    private var endOffset = startOffset
    private val crc32 = CRC32()
    private val changes = MutableStateFlow(0L)

    /** Head of the response; null until it arrives. */
    @Volatile
    var head: ResponseHead? = null
        private set

    /** End of the response; null while bytes may still follow. */
    @Volatile
    var end: ResponseEnd? = null
        private set

    /** Number of bytes in the buffer. */
    val heldBytes: Long
        @Synchronized get() = endOffset - baseOffset

    /** Offset after the last appended byte. */
    val producedOffset: Long
        @Synchronized get() = endOffset

    /** Sets the head and notifies waiting coroutines. */
    fun putHead(newHead: ResponseHead) {
        head = newHead
        signal()
    }

    /** Appends [part], split into slices that are released separately on acknowledgement. */
    fun append(part: ByteArray) {
        synchronized(this) {
            for (from in part.indices step SLICE_BYTES) {
                bytes.addLast(part.copyOfRange(from, minOf(part.size, from + SLICE_BYTES)))
            }
            endOffset += part.size
            crc32.update(part)
        }
        signal()
    }

    /** Marks the response as complete, or as failed with [reason]. */
    fun finish(isWhole: Boolean, reason: String = "") {
        end = synchronized(this) {
            if (isWhole) ResponseEnd.Whole(endOffset, crc32.value) else ResponseEnd.Failed(reason)
        }
        signal()
    }

    /** Releases the slices that end at or before [offset], which the reader has acknowledged. */
    fun acknowledge(offset: Long) {
        synchronized(this) {
            while (bytes.isNotEmpty() && baseOffset + bytes.first().size <= offset) {
                baseOffset += bytes.removeFirst().size
            }
        }
        signal()
    }

    /** Whether fewer bytes are buffered than the window allows. */
    fun hasRoom(): Boolean = heldBytes < windowBytes

    /** Suspends until the window has room or the response has ended. */
    suspend fun awaitRoom() {
        changes.first { hasRoom() || end != null }
    }

    /**
     * Returns at most [maxBytes] bytes from [offset] on; empty when none have arrived yet, null
     * when they were already released.
     */
    @Synchronized
    fun read(offset: Long, maxBytes: Int): ByteArray? {
        if (offset < baseOffset) return null
        var position = baseOffset
        for (part in bytes) {
            if (offset < position + part.size) {
                val from = (offset - position).toInt()
                return part.copyOfRange(from, minOf(part.size, from + maxBytes))
            }
            position += part.size
        }
        return ByteArray(0)
    }

    /** Suspends until [condition] holds; evaluates it after each [signal]. */
    suspend fun await(condition: () -> Boolean) {
        changes.first { condition() }
    }

    /** Makes waiting coroutines evaluate their conditions, for example after new credit. */
    fun signal() {
        synchronized(changes) { changes.value++ }
    }
}
