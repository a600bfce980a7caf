/*
 * Memory of one process for what its callers have sent and not got answered yet, and for responses
 * that they do not read. Over the budget, the connections that make least progress with most
 * memory are closed first, so that callers that send normal requests steadily are not affected.
 */
package org.toucanspur.core.gateway

/**
 * What a connection holds: [bytes] as in memory. While it [isClosable], it may be closed without a
 * request that runs losing its response; its last progress was at [progressMillis].
 */
data class CallerHolding(val bytes: Long, val progressMillis: Long, val isClosable: Boolean)

/** Accounts what the connections [H] hold against [maxBytes]. Not thread-safe. */
class CallerMemory<H : Any>(private val maxBytes: Long) {
    private class Entry(var holding: CallerHolding, var groups: Set<Any>)

    private val entries = LinkedHashMap<H, Entry>()
    private class Group(var bytes: Long = 0, var members: Int = 0)

    private val closableByGroup = HashMap<Any, Group>()

    // Groups over their share, kept apart so that an update within the budget searches nothing.
    private val groupsOverShare = LinkedHashSet<Any>()

    /** Bytes that all connections hold. */
    var totalBytes = 0L
        private set

    /** Bytes of requests that run, and of responses that are under way. */
    var runningBytes = 0L
        private set

    /** Records that [holder], a member of [groups], holds [holding] now. */
    fun update(holder: H, holding: CallerHolding, groups: Set<Any>) {
        val entry = entries[holder]
        if (holding.bytes == 0L) {
            remove(holder)
            return
        }
        if (entry == null) {
            entries[holder] = Entry(holding, groups).also { account(it, 1) }
            return
        }
        account(entry, -1)
        entry.holding = holding
        entry.groups = groups
        account(entry, 1)
    }

    /** Forgets [holder]. */
    fun remove(holder: H) {
        entries.remove(holder)?.let { account(it, -1) }
    }

    private fun account(entry: Entry, sign: Int) {
        val bytes = sign * entry.holding.bytes
        totalBytes += bytes
        if (!entry.holding.isClosable) {
            runningBytes += bytes
            return
        }
        entry.groups.forEach { key ->
            val group = closableByGroup.getOrPut(key, ::Group)
            group.bytes += bytes
            group.members += sign
            if (group.members == 0) closableByGroup -= key
            // A single connection may use what nobody else needs.
            if (group.members > 1 && group.bytes > maxBytes / GROUP_SHARE) {
                groupsOverShare += key
            } else {
                groupsOverShare -= key
            }
        }
    }

    /**
     * Whether a request of [bytes] may begin to run. Requests that run are not closed, so large
     * ones must leave half of the budget to those that arrive. Normal ones may exceed the budget,
     * but not without limit. One request always may.
     */
    fun admits(bytes: Long): Boolean {
        val runningMaxBytes =
            if (bytes <= NORMAL_BYTES) maxBytes * NORMAL_RUNNING_BUDGETS else maxBytes / 2
        return runningBytes == 0L || runningBytes + bytes <= runningMaxBytes
    }

    /** The next connection to close; null while the budget and the shares of groups are kept. */
    fun nextToClose(nowMillis: Long): H? {
        val group = groupsOverShare.firstOrNull()
        if (group == null && totalBytes <= maxBytes) return null
        return entries.entries
            .filter { it.value.holding.isClosable && (group == null || group in it.value.groups) }
            .maxByOrNull { score(it.value.holding, nowMillis) }
            ?.key
    }

    // Largest for connections that hold much for long without progress.
    private fun score(holding: CallerHolding, nowMillis: Long): Long {
        val stalledMillis = maxOf(0, nowMillis - holding.progressMillis)
        return holding.bytes * (stalledMillis + SCORE_BASE_MILLIS)
    }

    companion object {
        /** A normal request is not larger than this. */
        const val NORMAL_BYTES = 128L * 1024

        // By default half of the heap. With the descriptors of the deployment, 1,800 connections
        // with 128 KiB each would need 225 MiB of a heap of 160 MiB.
        private const val NORMAL_RUNNING_BUDGETS = 2

        // The callers at one path, or with one key or address, get at most this part of the budget.
        private const val GROUP_SHARE = 2

        // Progress within this time does not count as stalled; then the size decides.
        private const val SCORE_BASE_MILLIS = 100L
    }
}

/**
 * Progress of a transfer. Small transfers within a unit of [unitBytes] are no progress, so that a
 * few bytes at a time do not keep a connection from being the first one to close.
 */
class TransferProgress(private val unitBytes: Long = UNIT_BYTES) {
    private var countedBytes = 0L

    /** Time at which the transfer began. */
    var startMillis = 0L
        private set

    /** Time of the last progress. */
    var lastMillis = 0L
        private set

    /** Bytes transferred since the start. */
    var totalBytes = 0L
        private set

    /** Begins a new transfer. */
    fun start(nowMillis: Long) {
        startMillis = nowMillis
        lastMillis = nowMillis
        totalBytes = 0
        countedBytes = 0
    }

    /** Records that [bytes] have been transferred. */
    fun onBytes(bytes: Long, nowMillis: Long) {
        totalBytes += bytes
        if (totalBytes - countedBytes < unitBytes) return
        countedBytes = totalBytes
        lastMillis = nowMillis
    }

    private companion object {
        const val UNIT_BYTES = 16L * 1024
    }
}
