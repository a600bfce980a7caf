/*
 * Notices that the store has returned from an older copy of itself. It then lacks what was written
 * since the copy, gives revisions out again, and names another era.
 */
package org.toucanspur.core.gateway

import java.util.EnumMap
import java.util.EnumSet
import org.toucanspur.core.platform.ObjectKind

/** Eras of the store in which each kind of object was listed. Not thread-safe. */
class StoreRestores {
    private val eras = EnumMap<ObjectKind, Long>(ObjectKind::class.java)
    private val restored = EnumSet.noneOf(ObjectKind::class.java)

    /** Records that [kind] is about to be listed in [era]. */
    fun onEra(kind: ObjectKind, era: Long) {
        val previous = eras.put(kind, era)
        if (previous != null && previous != era) restored += kind
    }

    /** Whether [kind] is listed for the first time in its era, after listings in another one. */
    fun takeRestored(kind: ObjectKind): Boolean = restored.remove(kind)
}
