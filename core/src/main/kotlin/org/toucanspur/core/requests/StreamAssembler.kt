/*
 * Reassembles the frames of one response in order. Late and duplicate frames are dropped, gaps are
 * reported, and a response is complete only when its length and checksum match the end frame.
 */
package org.toucanspur.core.requests

import java.util.zip.CRC32
import org.toucanspur.schema.End
import org.toucanspur.schema.Part

/** Result of processing a frame. */
sealed interface StreamStep {
    /** The next bytes in order. */
    class Deliver(val bytes: ByteArray) : StreamStep

    /** The frame contains no new bytes. */
    data object Ignore : StreamStep

    /** Bytes from [offset] on are missing and must be fetched. */
    data class Resume(val offset: Long) : StreamStep

    /** The response is complete. */
    data object Whole : StreamStep

    /** The response does not match its length or checksum and cannot be recovered. */
    data object Corrupt : StreamStep
}

/** Reassembles one response. Not thread-safe. */
class StreamAssembler {
    private val checksum = CRC32()

    /**
     * Restarts the checksum, for a sender that produces the rest of the response from [offset] on.
     */
    fun restartChecksum() = checksum.reset()

    /** Number of bytes delivered so far. */
    var offset = 0L
        private set

    /** Processes a part frame. */
    fun onPart(part: Part): StreamStep {
        if (part.offset < 0 || part.offset > offset) return StreamStep.Resume(offset)
        val skip = offset - part.offset
        if (skip >= part.bytes.size) return StreamStep.Ignore
        val newBytes = if (skip ==
            0L
        ) {
            part.bytes
        } else {
            part.bytes.copyOfRange(skip.toInt(), part.bytes.size)
        }
        checksum.update(newBytes)
        offset += newBytes.size
        return StreamStep.Deliver(newBytes)
    }

    /** Processes the end frame. */
    fun onEnd(end: End): StreamStep = when {
        end.length > offset -> StreamStep.Resume(offset)
        end.length < offset || end.checksum != checksum.value -> StreamStep.Corrupt
        else -> StreamStep.Whole
    }
}
