/*
 * Revisions at which the objects of a watched kind are known. A watch that starts at the revision
 * of a listing in pages returns again what later pages had already.
 */
package org.toucanspur.core.platform

/** Revisions of the known objects, by name. Not thread-safe. */
class KnownRevisions {
    private val revisions = HashMap<String, Long>()

    /** Replaces all with those of a complete listing. */
    fun replaceAll(objects: List<StoredObject>) {
        revisions.clear()
        objects.forEach { revisions[it.name] = it.revision }
    }

    /**
     * Records [changes] and returns those that are not known. An update is known if the object has
     * its revision or a later one. A removal names the last revision of the object or its own, so
     * it is known only if the object has a later one, because it was created again.
     */
    fun takeUnknown(changes: List<ObjectChange>): List<ObjectChange> = changes.filter { change ->
        val revision = change.stored.revision
        val known = revisions[change.stored.name] ?: UNKNOWN_REVISION
        val isKnown = if (change.isRemoved) known > revision else known >= revision
        // Objects of which the store names no revision cannot be compared.
        val isNew = !isKnown || revision == UNKNOWN_REVISION
        if (isNew) record(change)
        isNew
    }

    private fun record(change: ObjectChange) {
        if (change.isRemoved) {
            revisions -= change.stored.name
        } else {
            revisions[change.stored.name] = change.stored.revision
        }
    }

    private companion object {
        const val UNKNOWN_REVISION = 0L
    }
}
