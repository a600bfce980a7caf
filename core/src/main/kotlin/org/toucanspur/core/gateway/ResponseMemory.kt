/*
 * Memory of one entry for responses that it cannot relay yet: bodies that are buffered until they
 * are complete, and incomplete events. Each response has a limit of its own, but a faulty endpoint
 * may come close to it in all of its responses at the same time.
 */
package org.toucanspur.core.gateway

/** Accounts the buffered bytes of all holders [H] against [maxBytes]. Not thread-safe. */
class ResponseMemory<H : Any>(private val maxBytes: Long) {
    private val bytesByHolder = HashMap<H, Int>()

    /** Bytes that are buffered in total. */
    var totalBytes = 0L
        private set

    /**
     * Records that [holder] buffers [bytes] now. Returns the holder that has to give its buffer up,
     * which is the one with the largest, or null while there is room.
     */
    fun update(holder: H, bytes: Int): H? {
        val previous = if (bytes == 0) {
            bytesByHolder.remove(holder)
        } else {
            bytesByHolder.put(holder, bytes)
        }
        totalBytes += bytes - (previous ?: 0)
        if (totalBytes <= maxBytes) return null
        return bytesByHolder.maxByOrNull { it.value }?.key
    }
}
