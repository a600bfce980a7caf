/*
 * Holds the document that a process follows. Revisions only rise: a stale watch, relay or peer
 * cannot bring an earlier document back.
 */
package org.toucanspur.core.config

import com.github.michaelbull.result.fold
import org.toucanspur.schema.EnvironmentConfiguration
import org.toucanspur.schema.Revision
import org.toucanspur.schema.StoredDocument

/** A stored document together with its typed content. */
data class AdoptedDocument(val stored: StoredDocument, val configuration: EnvironmentConfiguration)

/** What became of a document that was offered to [DocumentHolder]. */
enum class Adoption { ADOPTED, STALE, INVALID }

/** Keeps the document with the highest revision seen so far. Safe for use by several threads. */
class DocumentHolder {
    @Volatile
    private var held: AdoptedDocument? = null

    @Volatile
    private var highestSeen = Revision(0)

    /** The document in force, or null before the first one. */
    val current: AdoptedDocument? get() = held

    /** Revision of the document in force; 0 before the first one. */
    val revision: Revision get() = held?.stored?.revision ?: Revision(0)

    /** Whether a peer named a revision later than the one in force. */
    val isBehind: Boolean get() = highestSeen.value > revision.value

    /** Notes a [revision] that a peer's heartbeat carried. */
    @Synchronized
    fun observe(revision: Revision) {
        if (revision.value > highestSeen.value) highestSeen = revision
    }

    /**
     * Adopts [document] when its revision is later than the one in force and its text is valid.
     */
    @Synchronized
    fun offer(document: StoredDocument): Adoption {
        observe(document.revision)
        if (document.revision.value <= revision.value) return Adoption.STALE
        return checkDocument("revision ${document.revision}", document.text).fold(
            success = {
                held = AdoptedDocument(document, it.configuration)
                Adoption.ADOPTED
            },
            failure = { Adoption.INVALID }
        )
    }
}
