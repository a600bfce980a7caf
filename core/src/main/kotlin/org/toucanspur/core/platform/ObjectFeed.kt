/*
 * List and watch of the platform's store by object kind: a listing at a revision, then the changes
 * after it.
 */
package org.toucanspur.core.platform

import com.github.michaelbull.result.Result

/** A stored object; [text] is its content as JSON, or null when it cannot be read. */
data class StoredObject(val name: String, val revision: Long, val text: String?)

/**
 * All objects of a kind, each as of [storeRevision] or later. A watch from there returns all
 * changes that the listing lacks, and possibly some that it has. The [era] rises each time that the
 * store returns from an older copy of itself, with a lower revision; null if it names none.
 */
class ObjectListing(val objects: List<StoredObject>, val storeRevision: Long, val era: Long? = null)

/** Update or removal of one object. */
class ObjectChange(val stored: StoredObject, val isRemoved: Boolean)

/**
 * The newest change of each object up to [storeRevision]; empty when the wait timed out.
 * [supersededCount] older changes are left out. The [era] is that of the [storeRevision].
 */
class ObjectChanges(
    val changes: List<ObjectChange>,
    val storeRevision: Long,
    val supersededCount: Int = 0,
    val era: Long? = null
)

/** Reason why a call to the store failed. */
sealed interface FeedFailure {
    /** Description for log lines. */
    val message: String

    /** The store no longer has the changes after the revision; a new listing is needed. */
    data object HistoryGone : FeedFailure {
        override val message = "revision has expired from the history"
    }

    /** There are more changes than the call allows; a listing is smaller. */
    data object TooManyChanges : FeedFailure {
        override val message = "changes are larger than allowed"
    }

    /** The store does not respond or rejects the call. */
    data class Unavailable(override val message: String) : FeedFailure
}

/** Kinds of objects that the system reads. */
enum class ObjectKind { CONFIGURATION, ENDPOINTS, EVACUATIONS, WEIGHT_VERSIONS, ENTRIES, DUTIES }

/**
 * Watch of [kind]: waits up to [waitMillis] for changes after [afterRevision]. Each change has the
 * whole object; the call fails if all together have more than about [maxBytes]. [onBytes] is called
 * when bytes of the response have arrived.
 */
class WatchCall(
    val kind: ObjectKind,
    val afterRevision: Long,
    val waitMillis: Long,
    val maxBytes: Int,
    val onBytes: () -> Unit = {}
)

/** Read access to the platform's store. */
interface ObjectFeed {
    /** Time that a response may take from its first byte on, while bytes arrive. */
    val transferMaxMillis: Long get() = 0

    /** Lists a kind; with [isStaleAllowed] the listing is cheaper but may be seconds old. */
    suspend fun list(
        kind: ObjectKind,
        isStaleAllowed: Boolean = false
    ): Result<ObjectListing, FeedFailure>

    /** Waits for changes as [call] says. */
    suspend fun watch(call: WatchCall): Result<ObjectChanges, FeedFailure>
}
