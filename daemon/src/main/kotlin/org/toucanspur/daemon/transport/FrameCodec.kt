/*
 * Encoding of frames on the wire: a length of four bytes, then one CBOR message. The length is
 * checked before a buffer is allocated.
 */
package org.toucanspur.daemon.transport

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import java.io.IOException
import kotlinx.serialization.cbor.Cbor
import org.toucanspur.schema.Frame

/** Maximum frame size, large enough for a chunk of weights with its header. */
const val FRAME_MAX_BYTES = 8 * 1024 * 1024

/** Maximum frame size until the peer is authenticated. */
const val HANDSHAKE_FRAME_MAX_BYTES = 1024

/** The peer violated the protocol; the connection is closed. */
class ProtocolException(message: String, cause: Throwable? = null) : IOException(message, cause)

private val cbor = Cbor {
    ignoreUnknownKeys = true
}

// Each call of Frame.serializer() creates a serializer with those of all messages.
private val frameSerializer = Frame.serializer()

/** Encodes [frame] without the length prefix. */
fun encodeFrame(frame: Frame): ByteArray = cbor.encodeToByteArray(frameSerializer, frame)

/**
 * Decodes a frame; throws [ProtocolException] when [bytes] are malformed, for which the library
 * throws exceptions of many kinds.
 */
fun decodeFrame(bytes: ByteArray): Frame =
    runCatching { cbor.decodeFromByteArray(frameSerializer, bytes) }.getOrElse {
        throw ProtocolException("frame is malformed (${it.message}); check the peer's version", it)
    }

/** Writes [frame] without flushing. */
suspend fun ByteWriteChannel.writeFrame(frame: Frame) {
    val bytes = encodeFrame(frame)
    writeInt(bytes.size)
    writeFully(bytes)
}

/** Reads the next frame; throws [ProtocolException] when it exceeds [maxBytes] or is malformed. */
suspend fun ByteReadChannel.readFrame(maxBytes: Int = FRAME_MAX_BYTES): Frame {
    val length = readInt()
    if (length !in 1..maxBytes) {
        throw ProtocolException(
            "frame length $length is outside 1..$maxBytes; check the peer's version"
        )
    }
    return decodeFrame(readByteArray(length))
}
