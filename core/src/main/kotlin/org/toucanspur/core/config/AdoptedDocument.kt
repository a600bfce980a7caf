/*
 * Holds the active environment document of a process. Its revision only increases: a stale watch,
 * relay or peer cannot restore an earlier document.
 */
package org.toucanspur.core.config

import com.github.michaelbull.result.fold
import org.toucanspur.schema.EnvironmentConfiguration
import org.toucanspur.schema.Revision
import org.toucanspur.schema.StoredDocument

/** A stored document with its parsed configuration. */
data class AdoptedDocument(val stored: StoredDocument, val configuration: EnvironmentConfiguration)

/** Result of offering a document to [DocumentHolder]. */
enum class AdoptionResult { ADOPTED, STALE, INVALID }

/** Keeps the valid document with the highest revision seen so far. Thread-safe. */
class DocumentHolder {
    @Volatile
    private var active: AdoptedDocument? = null

    @Volatile
    private var highestSeen = Revision(0)

    /** The active document, or null before the first one. */
    val current: AdoptedDocument? get() = active

    /** Revision of the active document; 0 before the first one. */
    val revision: Revision get() = active?.stored?.revision ?: Revision(0)

    /** Whether a revision later than the active one has been observed. */
    val isBehind: Boolean get() = highestSeen.value > revision.value

    /** Records a [revision] reported in the heartbeat of a peer. */
    @Synchronized
    fun observe(revision: Revision) {
        if (revision.value > highestSeen.value) highestSeen = revision
    }

    /**
     * Makes [document] the active one if its revision is later and its text is valid.
     */
    @Synchronized
    fun offer(document: StoredDocument): AdoptionResult {
        observe(document.revision)
        if (document.revision.value <= revision.value) return AdoptionResult.STALE
        return checkDocument("revision ${document.revision}", document.text).fold(
            success = {
                active = AdoptedDocument(document, it.configuration)
                AdoptionResult.ADOPTED
            },
            failure = { AdoptionResult.INVALID }
        )
    }
}
