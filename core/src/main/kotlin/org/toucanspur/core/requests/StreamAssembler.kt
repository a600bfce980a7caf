/*
 * Puts the frames of one answer in order. Late and doubled frames are dropped, a gap is reported,
 * and an answer counts as whole only when its length and checksum match the end frame.
 */
package org.toucanspur.core.requests

import java.util.zip.CRC32
import org.toucanspur.schema.End
import org.toucanspur.schema.Part

/** What became of a frame. */
sealed interface StreamStep {
    /** New bytes, next in order. */
    class Deliver(val bytes: ByteArray) : StreamStep

    /** Nothing new. */
    data object Ignore : StreamStep

    /** Bytes are missing from [offset] on; fetch them. */
    data class Resume(val offset: Long) : StreamStep

    /** The answer is whole. */
    data object Whole : StreamStep

    /** The answer does not match its checksum and cannot be mended. */
    data object Corrupt : StreamStep
}

/** Assembles one answer. Not safe for use by several threads. */
class StreamAssembler {
    private val checksum = CRC32()

    /**
     * Starts a new checksum, for a sender that produces the rest of the answer from [offset] on.
     */
    fun restartChecksum() = checksum.reset()

    /** Bytes delivered so far. */
    var offset = 0L
        private set

    /** Accepts a part at its offset. */
    fun onPart(part: Part): StreamStep {
        if (part.offset < 0 || part.offset > offset) return StreamStep.Resume(offset)
        val skip = offset - part.offset
        if (skip >= part.bytes.size) return StreamStep.Ignore
        val fresh = if (skip ==
            0L
        ) {
            part.bytes
        } else {
            part.bytes.copyOfRange(skip.toInt(), part.bytes.size)
        }
        checksum.update(fresh)
        offset += fresh.size
        return StreamStep.Deliver(fresh)
    }

    /** Accepts the end frame. */
    fun onEnd(end: End): StreamStep = when {
        end.length > offset -> StreamStep.Resume(offset)
        end.length < offset || end.checksum != checksum.value -> StreamStep.Corrupt
        else -> StreamStep.Complete
    }
}
