/*
 * The part of an answer that an agent holds: bytes that the entry has not acknowledged yet,
 * bounded by a window. The producer waits while the window is full; a new connection resumes from
 * any offset that was not acknowledged.
 */
package org.toucanspur.daemon.agent

import java.util.zip.CRC32
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import org.toucanspur.schema.HeaderField

/** Status line and header fields of an answer. */
data class AnswerHead(val status: Int, val headers: List<HeaderField>)

private const val SLICE_BYTES = 2048

/** How an answer ended. */
sealed interface AnswerEnd {
    /** All bytes were produced. */
    data class Whole(val length: Long, val checksum: Long) : AnswerEnd

    /** The endpoint broke off. */
    data class Failed(val reason: String) : AnswerEnd
}

/** Bytes of one answer between its producer and its reader. Safe for use by several coroutines. */
class AnswerBuffer(private val windowBytes: Int, startOffset: Long) {
    private val bytes = ArrayDeque<ByteArray>()
    private var baseOffset = startOffset
    private var endOffset = startOffset
    private val checksum = CRC32()
    private val changes = MutableStateFlow(0L)

    /** Head of the answer, once known. */
    @Volatile
    var head: AnswerHead? = null
        private set

    /** End of the answer, once known. */
    @Volatile
    var end: AnswerEnd? = null
        private set

    /** Bytes held now. */
    val heldBytes: Long
        @Synchronized get() = endOffset - baseOffset

    /** Offset up to which bytes were produced. */
    val producedOffset: Long
        @Synchronized get() = endOffset

    /** Sets the head. */
    fun putHead(answerHead: AnswerHead) {
        head = answerHead
        signal()
    }

    /** Appends produced bytes, in slices that can be dropped one by one. */
    fun append(part: ByteArray) {
        synchronized(this) {
            for (from in part.indices step SLICE_BYTES) {
                bytes.addLast(part.copyOfRange(from, minOf(part.size, from + SLICE_BYTES)))
            }
            endOffset += part.size
            checksum.update(part)
        }
        signal()
    }

    /** Ends the answer. */
    fun finish(isWhole: Boolean, reason: String = "") {
        end = synchronized(this) {
            if (isWhole) AnswerEnd.Whole(endOffset, checksum.value) else AnswerEnd.Failed(reason)
        }
        signal()
    }

    /** Drops bytes below [offset], which the reader has acknowledged. */
    fun acknowledge(offset: Long) {
        synchronized(this) {
            while (bytes.isNotEmpty() && baseOffset + bytes.first().size <= offset) {
                baseOffset += bytes.removeFirst().size
            }
        }
        signal()
    }

    /** Whether the window has room for more. */
    fun hasRoom(): Boolean = heldBytes < windowBytes

    /** Waits until the window has room. */
    suspend fun awaitRoom() {
        changes.first { hasRoom() || end != null }
    }

    /**
     * Bytes from [offset] on, at most [maxBytes]; empty when there are none yet, null when gone.
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

    /** Waits until [condition] may have changed and holds. */
    suspend fun await(condition: () -> Boolean) {
        changes.first { condition() }
    }

    /** Wakes readers and producers, for example after credit arrived. */
    fun signal() {
        synchronized(changes) { changes.value++ }
    }
}
