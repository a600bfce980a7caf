/*
 * Assembles a listing that the store returns in several responses. Each page is of its own moment,
 * so the listing proves only what the earliest one does: an object on an earlier page may have
 * changed before a later page was read. Pages of stale copies need not even follow in order.
 */
package org.toucanspur.core.platform

/** Pages of one listing. Not thread-safe. */
class PagedListing {
    private val objects = mutableListOf<StoredObject>()
    private var earliestRevision: Long? = null
    private var era: Long? = null

    /**
     * Adds a page with [items] as of [revision] of [pageEra]. Returns false, and adds nothing, if
     * the pages before are of another era, so that their revisions cannot be compared.
     */
    fun add(items: List<StoredObject>, revision: Long, pageEra: Long?): Boolean {
        val earliest = earliestRevision
        if (earliest != null && pageEra != era) return false
        era = pageEra
        earliestRevision = minOf(earliest ?: revision, revision)
        objects += items
        return true
    }

    /** The listing; requires at least one page. */
    fun toListing() = ObjectListing(objects.toList(), checkNotNull(earliestRevision), era)
}
