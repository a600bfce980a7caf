/*
 * Bounded queue that shares an endpoint among organisations by deficit round robin within strict
 * priorities. When it is full, it evicts from the organisation that is furthest above its share.
 */
package org.toucanspur.core.admission

import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.Priority

/** Entry of a [FairQueue]. */
data class QueueEntry<T>(
    val item: T,
    val organisation: OrganisationId,
    val priority: Priority,
    val sizeBytes: Long,
    val deadlineMillis: Long
)

/** Result of an offer; [evicted] lists the entries that were removed to make room. */
data class OfferResult<T>(val isHeld: Boolean, val evicted: List<QueueEntry<T>>)

/** Queue of the requests to one endpoint. Not thread-safe. */
class FairQueue<T>(
    private var countMax: Int,
    private var bytesMax: Long,
    private val shareOf: (OrganisationId) -> Int
) {
    private val flows = LinkedHashMap<OrganisationId, FlowQueue<T>>()

    /** Number of queued entries. */
    var count = 0
        private set

    /** Total size of the queued entries. */
    var bytes = 0L
        private set

    /** Applies changed limits; entries already queued beyond them are kept. */
    fun configure(changedCountMax: Int, changedBytesMax: Long) {
        countMax = changedCountMax
        bytesMax = changedBytesMax
    }

    /**
     * Queues [entry] unless the queue is full and no other organisation is further above its share.
     */
    fun offer(entry: QueueEntry<T>): OfferResult<T> {
        val evicted = mutableListOf<QueueEntry<T>>()
        while (!fits(entry)) {
            val victim = evictFor(entry) ?: return OfferResult(false, evicted)
            evicted += victim
        }
        val flow = flows.getOrPut(entry.organisation) { FlowQueue() }
        flow.entries.addLast(entry)
        updateTotals(entry, 1)
        return OfferResult(true, evicted)
    }

    private fun fits(entry: QueueEntry<T>): Boolean =
        count + 1 <= countMax && bytes + entry.sizeBytes <= bytesMax

    private fun evictFor(entry: QueueEntry<T>): QueueEntry<T>? {
        val own = loadOf(entry.organisation, flows[entry.organisation]?.entries?.size ?: 0)
        val mostLoaded = flows.entries
            .filter { it.value.entries.isNotEmpty() }
            .maxByOrNull { loadOf(it.key, it.value.entries.size) } ?: return null
        if (loadOf(mostLoaded.key, mostLoaded.value.entries.size) <=
            own + 1.0 / shareOf(entry.organisation)
        ) {
            return null
        }
        val victim = mostLoaded.value.entries.removeLast()
        updateTotals(victim, -1)
        return victim
    }

    private fun loadOf(organisation: OrganisationId, held: Int): Double =
        held.toDouble() / shareOf(organisation)

    /** Removes and returns the next entry, or null when the queue is empty. */
    fun poll(): QueueEntry<T>? {
        val top = flows.values.mapNotNull { it.topPriority() }.minOrNull() ?: return null
        while (true) {
            val organisation = flows.keys.first()
            val flow = flows.getValue(organisation)
            val entry = flow.take(top)
            if (entry == null) {
                moveToBack(organisation, flow)
            } else if (flow.deficit <= 0 && flows.size > 1) {
                flow.entries.addFirst(entry)
                moveToBack(organisation, flow)
            } else {
                flow.deficit--
                updateTotals(entry, -1)
                if (flow.entries.isEmpty()) flows.remove(organisation)
                return entry
            }
        }
    }

    // The deficit counter is refilled with the share at the end of each turn.
    private fun moveToBack(organisation: OrganisationId, flow: FlowQueue<T>) {
        flows.remove(organisation)
        flow.deficit = shareOf(organisation)
        if (flow.entries.isNotEmpty()) flows[organisation] = flow
    }

    /** Removes and returns the entries whose deadline has passed. */
    fun expire(nowMillis: Long): List<QueueEntry<T>> = removeIf { it.deadlineMillis <= nowMillis }

    /** Removes and returns the entries that match [predicate]. */
    fun removeIf(predicate: (QueueEntry<T>) -> Boolean): List<QueueEntry<T>> {
        val removed = flows.values.flatMap { flow ->
            val matching = flow.entries.filter(predicate)
            flow.entries.removeAll(matching)
            matching
        }
        removed.forEach { updateTotals(it, -1) }
        flows.values.removeIf { it.entries.isEmpty() }
        return removed
    }

    private fun updateTotals(entry: QueueEntry<T>, sign: Int) {
        count += sign
        bytes += sign * entry.sizeBytes
    }

    private class FlowQueue<T> {
        val entries = ArrayDeque<QueueEntry<T>>()
        var deficit = 0

        fun topPriority(): Priority? = entries.minOfOrNull { it.priority }

        fun take(priority: Priority): QueueEntry<T>? {
            val index = entries.indexOfFirst { it.priority == priority }
            return if (index < 0) null else entries.removeAt(index)
        }
    }
}
