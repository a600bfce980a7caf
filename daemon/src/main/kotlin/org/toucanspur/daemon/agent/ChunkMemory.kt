/*
 * Chunks of weights in off-heap memory, bounded. A chunk enters only after its digest was
 * verified.
 */
package org.toucanspur.daemon.agent

import java.nio.ByteBuffer
import org.toucanspur.core.weights.hasDigest
import org.toucanspur.schema.ChunkDigest

/** What became of a chunk that was offered to [ChunkMemory]. */
enum class ChunkPut { STORED, CORRUPT, FULL }

/** Verified chunks by digest. Safe for use by several threads. */
class ChunkMemory(private val capacityBytes: Long) {
    private val chunks = HashMap<ChunkDigest, ByteBuffer>()
    private val free = HashMap<Int, ArrayDeque<ByteBuffer>>()

    /** Bytes taken, those of dropped chunks kept for reuse included. */
    var allocatedBytes = 0L
        private set

    /** Verifies and stores [bytes]. */
    fun put(digest: ChunkDigest, bytes: ByteArray): ChunkPut {
        if (!hasDigest(bytes, digest)) return ChunkPut.CORRUPT
        return synchronized(this) { store(digest, bytes) }
    }

    private fun store(digest: ChunkDigest, bytes: ByteArray): ChunkPut {
        if (digest in chunks) return ChunkPut.STORED
        val buffer =
            free[bytes.size]?.removeLastOrNull() ?: allocate(bytes.size) ?: return ChunkPut.FULL
        buffer.clear()
        buffer.put(bytes).flip()
        chunks[digest] = buffer
        return ChunkPut.STORED
    }

    private fun allocate(sizeBytes: Int): ByteBuffer? {
        if (allocatedBytes + sizeBytes > capacityBytes) discardFree()
        if (allocatedBytes + sizeBytes > capacityBytes) return null
        allocatedBytes += sizeBytes
        return ByteBuffer.allocateDirect(sizeBytes)
    }

    // Unreferenced direct buffers are returned to the system by the collector.
    private fun discardFree() {
        val freeBytes = free.entries.sumOf { (size, buffers) -> size.toLong() * buffers.size }
        allocatedBytes -= freeBytes
        free.clear()
    }

    /** A copy of the chunk, or null when it is not here. */
    @Synchronized
    fun get(digest: ChunkDigest): ByteArray? {
        val buffer = chunks[digest]?.duplicate() ?: return null
        return ByteArray(buffer.remaining()).also { buffer.get(it) }
    }

    /** Whether the chunk is here. */
    @Synchronized
    fun contains(digest: ChunkDigest): Boolean = digest in chunks

    /** Drops all chunks that [keep] does not name. */
    @Synchronized
    fun retain(keep: Set<ChunkDigest>) {
        val dropped = chunks.keys - keep
        dropped.forEach { digest ->
            val buffer = chunks.remove(digest) ?: return@forEach
            free.getOrPut(buffer.capacity()) { ArrayDeque() }.addLast(buffer)
        }
    }

    /** Bytes of the chunks held. */
    @Synchronized
    fun heldBytes(): Long = chunks.values.sumOf { it.capacity().toLong() }
}
