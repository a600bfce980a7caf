/*
 * Counts of the requests that began to run, by usage window and organisation, at all entries. The
 * counts of one run of an entry only rise, so a merge takes the maximum, and notices may be lost,
 * repeated or reordered.
 */
package org.toucanspur.core.duties

import java.util.TreeMap
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.WindowCounts

/** Counts by windows of [windowMillis] that the entry [self] knows. Not thread-safe. */
class UsageCounts(private val self: EntryRun, private val windowMillis: Long) {
    private val windows = TreeMap<Long, HashMap<EntryRun, RunCounts>>()

    /** Number of the window that contains [trueMillis]. */
    fun windowAt(trueMillis: Long): Long = Math.floorDiv(trueMillis, windowMillis)

    /** True time at which [window] ends. */
    fun endMillis(window: Long): Long = (window + 1) * windowMillis

    /** Counts a request of [organisation] that began to run at [trueMillis]. */
    fun count(organisation: OrganisationId, trueMillis: Long) {
        val counts = countsOf(windowAt(trueMillis), self).counts
        counts.merge(organisation, 1L, Long::plus)
    }

    /**
     * Merges what the entry [run] counted by [sentMillis] of true time; it is now [trueMillis].
     * Windows that are not recent are ignored.
     */
    fun merge(run: EntryRun, received: WindowCounts, sentMillis: Long, trueMillis: Long) {
        val current = windowAt(trueMillis)
        if (run == self || received.window !in current - keptWindows..current + 1) return
        val known = countsOf(received.window, run)
        received.organisations.zip(received.counts).take(ORGANISATIONS_MAX).forEach { (id, count) ->
            if (count > 0) known.counts.merge(id, count, ::maxOf)
        }
        if (sentMillis >= endMillis(received.window)) {
            known.closedTotal = maxOf(known.closedTotal ?: 0, received.total)
        }
    }

    /** Whether all counts of [window] at the entry [run] are known. */
    fun isComplete(window: Long, run: EntryRun): Boolean {
        val known = windows[window]?.get(run) ?: return false
        val total = known.closedTotal ?: return false
        return known.counts.values.sum() >= total
    }

    /** Counts of [window] at all entries together. */
    fun totals(window: Long): Map<OrganisationId, Long> {
        val totals = HashMap<OrganisationId, Long>()
        windows[window]?.values?.forEach { run ->
            run.counts.forEach { (id, count) -> totals.merge(id, count, Long::plus) }
        }
        return totals
    }

    /**
     * Counts of this entry that a notice at [trueMillis] carries: those of the current and the last
     * window, and in turn those of one earlier window, for an entry that has started or was cut
     * off. A window without requests is included, as others wait for it.
     */
    fun ownCounts(trueMillis: Long, sequence: Long): List<WindowCounts> {
        val current = windowAt(trueMillis)
        windows.headMap(current - keptWindows).clear()
        val earlier = current - 2 - Math.floorMod(sequence, keptWindows - 1)
        return listOfNotNull(
            current,
            current - 1,
            earlier.takeIf { windows[it]?.containsKey(self) == true }
        ).map { window ->
            val own = windows[window]?.get(self)?.counts.orEmpty().toList()
            WindowCounts(
                window,
                own.map {
                    it.first
                },
                own.map { it.second },
                own.sumOf { it.second }
            )
        }
    }

    private fun countsOf(window: Long, run: EntryRun): RunCounts =
        windows.getOrPut(window) { HashMap() }.getOrPut(run) { RunCounts() }

    private class RunCounts {
        val counts = HashMap<OrganisationId, Long>()

        /** Sum of the counts after the end of the window; null before one is known. */
        var closedTotal: Long? = null
    }

    private val keptWindows: Long get() = maxOf(KEPT_MILLIS / windowMillis, 2)

    private companion object {
        // The store may be down for half a minute before reports are missed.
        const val KEPT_MILLIS = 40_000L
        const val ORGANISATIONS_MAX = 10_000
    }
}
