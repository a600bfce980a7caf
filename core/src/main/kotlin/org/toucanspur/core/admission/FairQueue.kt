/*
 * A bounded queue that divides an endpoint among organisations by deficit round robin, within
 * strict priorities. When it is full, the organisation that holds most beyond its share gives way.
 */
package org.toucanspur.core.admission

import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.Priority

/** Something that waits in a [FairQueue]. */
data class Waiting<T>(
    val item: T,
    val organisation: OrganisationId,
    val priority: Priority,
    val sizeBytes: Long,
    val deadlineMillis: Long
)

/** What became of an offer; [evicted] gave way to it. */
data class OfferResult<T>(val isHeld: Boolean, val evicted: List<Waiting<T>>)

/** The queue in front of one endpoint. Not safe for use by several threads. */
class FairQueue<T>(
    private var countMax: Int,
    private var bytesMax: Long,
    private val shareOf: (OrganisationId) -> Int
) {
    private val lanes = LinkedHashMap<OrganisationId, Lane<T>>()

    /** Entries held. */
    var count = 0
        private set

    /** Bytes held. */
    var bytes = 0L
        private set

    /** Takes over changed bounds; entries beyond them stay until they leave. */
    fun configure(changedCountMax: Int, changedBytesMax: Long) {
        countMax = changedCountMax
        bytesMax = changedBytesMax
    }

    /**
     * Holds [entry] unless the queue is full and no other organisation is further over its share.
     */
    fun offer(entry: Waiting<T>): OfferResult<T> {
        val evicted = mutableListOf<Waiting<T>>()
        while (!fits(entry)) {
            val victim = victimFor(entry) ?: return OfferResult(false, evicted)
            evicted += victim
        }
        val lane = lanes.getOrPut(entry.organisation) { Lane() }
        lane.entries.addLast(entry)
        account(entry, 1)
        return OfferResult(true, evicted)
    }

    private fun fits(entry: Waiting<T>): Boolean =
        count + 1 <= countMax && bytes + entry.sizeBytes <= bytesMax

    private fun victimFor(entry: Waiting<T>): Waiting<T>? {
        val own = loadOf(entry.organisation, lanes[entry.organisation]?.entries?.size ?: 0)
        val most = lanes.entries
            .filter { it.value.entries.isNotEmpty() }
            .maxByOrNull { loadOf(it.key, it.value.entries.size) } ?: return null
        if (loadOf(most.key, most.value.entries.size) <= own + 1.0 / shareOf(entry.organisation)) {
            return null
        }
        val victim = most.value.entries.removeLast()
        account(victim, -1)
        return victim
    }

    private fun loadOf(organisation: OrganisationId, held: Int): Double =
        held.toDouble() / shareOf(organisation)

    /** Takes the next entry, or null when the queue is empty. */
    fun poll(): Waiting<T>? {
        val top = lanes.values.mapNotNull { it.topPriority() }.minOrNull() ?: return null
        while (true) {
            val organisation = lanes.keys.first()
            val lane = lanes.getValue(organisation)
            val entry = lane.take(top)
            if (entry == null) {
                moveToBack(organisation, lane)
            } else if (lane.deficit <= 0 && lanes.size > 1) {
                lane.entries.addFirst(entry)
                moveToBack(organisation, lane)
            } else {
                lane.deficit--
                account(entry, -1)
                if (lane.entries.isEmpty()) lanes.remove(organisation)
                return entry
            }
        }
    }

    // A lane regains its share each time its turn has passed.
    private fun moveToBack(organisation: OrganisationId, lane: Lane<T>) {
        lanes.remove(organisation)
        lane.deficit = shareOf(organisation)
        if (lane.entries.isNotEmpty()) lanes[organisation] = lane
    }

    /** Removes and returns the entries whose deadline has passed. */
    fun expire(nowMillis: Long): List<Waiting<T>> = removeIf { it.deadlineMillis <= nowMillis }

    /** Removes and returns the entries that match [predicate]. */
    fun removeIf(predicate: (Waiting<T>) -> Boolean): List<Waiting<T>> {
        val removed = lanes.values.flatMap { lane ->
            val matching = lane.entries.filter(predicate)
            lane.entries.removeAll(matching)
            matching
        }
        removed.forEach { account(it, -1) }
        lanes.values.removeIf { it.entries.isEmpty() }
        return removed
    }

    private fun account(entry: Waiting<T>, sign: Int) {
        count += sign
        bytes += sign * entry.sizeBytes
    }

    private class Lane<T> {
        val entries = ArrayDeque<Waiting<T>>()
        var deficit = 0

        fun topPriority(): Priority? = entries.minOfOrNull { it.priority }

        fun take(priority: Priority): Waiting<T>? {
            val index = entries.indexOfFirst { it.priority == priority }
            return if (index < 0) null else entries.removeAt(index)
        }
    }
}
