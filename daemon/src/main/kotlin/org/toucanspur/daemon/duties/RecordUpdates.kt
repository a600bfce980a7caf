/*
 * Changes of the record in the lease object. Several duties change it.
 */
package org.toucanspur.daemon.duties

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.toucanspur.core.duties.DutyLease
import org.toucanspur.core.duties.DutyRecord

/** Changes the record of [lease], one change after the other. */
class RecordUpdates(private val lease: DutyLease) {
    private val mutex = Mutex()

    /**
     * Stores what [change] makes of the confirmed record, unless it makes null of it. Returns the
     * stored record; null if nothing was stored, or if that is not confirmed.
     */
    suspend fun update(change: (DutyRecord) -> DutyRecord?): DutyRecord? = mutex.withLock {
        val changed = lease.record?.let(change) ?: return null
        changed.takeIf { lease.store(it) }
    }
}
