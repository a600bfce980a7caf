/*
 * Objects of the platform's store by kind: a listing at a revision, and the changes after it.
 */
package org.toucanspur.core.platform

import com.github.michaelbull.result.Result

/** A listed object; [text] is its content as JSON, null when it cannot be read. */
data class StoredObject(val name: String, val revision: Long, val text: String?)

/** All objects of a kind as of [storeRevision]. */
class ObjectListing(val objects: List<StoredObject>, val storeRevision: Long)

/** A change of one object. */
class ObjectChange(val stored: StoredObject, val isRemoved: Boolean)

/** Changes up to [storeRevision]; none when the wait ended without one. */
class ObjectChanges(val changes: List<ObjectChange>, val storeRevision: Long)

/** Why a call to the store gave nothing. */
sealed interface FeedFailure {
    /** What happened, for a log line. */
    val message: String

    /** The history from the revision on is gone; list again. */
    data object HistoryGone : FeedFailure {
        override val message = "history is gone"
    }

    /** The store does not answer or turns the call away. */
    data class Unavailable(override val message: String) : FeedFailure
}

/** Kinds of objects that the system follows. */
enum class ObjectKind { CONFIGURATION, ENDPOINTS, EVACUATIONS, WEIGHT_VERSIONS, ENTRIES }

/** Reads the platform's store. */
interface ObjectFeed {
    /** Lists a kind; a [isStaleAllowed] listing is cheaper and may be seconds old. */
    suspend fun list(
        kind: ObjectKind,
        isStaleAllowed: Boolean = false
    ): Result<ObjectListing, FeedFailure>

    /** Waits up to [waitMillis] for changes after [afterRevision]. */
    suspend fun watch(
        kind: ObjectKind,
        afterRevision: Long,
        waitMillis: Long
    ): Result<ObjectChanges, FeedFailure>
}
