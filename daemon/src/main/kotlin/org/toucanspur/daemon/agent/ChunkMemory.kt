/*
 * Bounded off-heap store of weight chunks. A chunk is stored only after its digest was verified.
 */
package org.toucanspur.daemon.agent

import java.nio.ByteBuffer
import org.toucanspur.core.weights.hasDigest
import org.toucanspur.schema.ChunkDigest

/** Result of [ChunkMemory.put]. */
enum class ChunkPutResult { STORED, CORRUPT, FULL }

/** Verified chunks by digest. Thread-safe, except for [allocatedBytes]. */
class ChunkMemory(private val capacityBytes: Long) {
    private val chunks = HashMap<ChunkDigest, ByteBuffer>()
    private val freeBuffers = HashMap<Int, ArrayDeque<ByteBuffer>>()

    /** Allocated bytes, including the buffers of dropped chunks that are kept for reuse. */
    var allocatedBytes = 0L
        private set

    /** Verifies [bytes] against [digest] and stores them. */
    fun put(digest: ChunkDigest, bytes: ByteArray): ChunkPutResult {
        if (!hasDigest(bytes, digest)) return ChunkPutResult.CORRUPT
        return synchronized(this) { store(digest, bytes) }
    }

    private fun store(digest: ChunkDigest, bytes: ByteArray): ChunkPutResult {
        if (digest in chunks) return ChunkPutResult.STORED
        val buffer =
            freeBuffers[bytes.size]?.removeLastOrNull()
                ?: allocate(bytes.size)
                ?: return ChunkPutResult.FULL
        buffer.clear()
        buffer.put(bytes).flip()
        chunks[digest] = buffer
        return ChunkPutResult.STORED
    }

    private fun allocate(sizeBytes: Int): ByteBuffer? {
        if (allocatedBytes + sizeBytes > capacityBytes) discardFree()
        if (allocatedBytes + sizeBytes > capacityBytes) return null
        allocatedBytes += sizeBytes
        return ByteBuffer.allocateDirect(sizeBytes)
    }

    // The garbage collector frees direct buffers that are no longer referenced.
    private fun discardFree() {
        val freeBytes =
            freeBuffers.entries.sumOf { (size, buffers) -> size.toLong() * buffers.size }
        allocatedBytes -= freeBytes
        freeBuffers.clear()
    }

    /** Returns a copy of the chunk, or null when it is not stored. */
    @Synchronized
    fun get(digest: ChunkDigest): ByteArray? {
        val buffer = chunks[digest]?.duplicate() ?: return null
        return ByteArray(buffer.remaining()).also { buffer.get(it) }
    }

    /** Whether the chunk is stored. */
    @Synchronized
    fun contains(digest: ChunkDigest): Boolean = digest in chunks

    /** Drops all chunks whose digests are not in [keep]. */
    @Synchronized
    fun retain(keep: Set<ChunkDigest>) {
        val dropped = chunks.keys - keep
        dropped.forEach { digest ->
            val buffer = chunks.remove(digest) ?: return@forEach
            freeBuffers.getOrPut(buffer.capacity()) { ArrayDeque() }.addLast(buffer)
        }
    }

    /** Number of bytes in the stored chunks. */
    @Synchronized
    fun heldBytes(): Long = chunks.values.sumOf { it.capacity().toLong() }
}
