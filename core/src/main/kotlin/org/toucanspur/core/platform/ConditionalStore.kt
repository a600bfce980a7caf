/*
 * Reads and conditional writes of single objects of the platform's store.
 */
package org.toucanspur.core.platform

import com.github.michaelbull.result.Result

/** An object as a response shows it, null if there is none, and the [era] that it names. */
class ObjectReading(val stored: StoredObject?, val era: Long?)

/** Response to a conditional write, with the [era] that it names. */
sealed interface WriteReply {
    val era: Long?

    /** The object was written; [revision] is its new one, or null if the response lacks it. */
    class Written(val revision: Long?, override val era: Long?) : WriteReply

    /** Nothing was written; [current] is the object that is there, or null if it is not known. */
    class Conflict(val current: StoredObject?, override val era: Long?) : WriteReply
}

/** Access to single objects of the platform's store. */
interface ConditionalStore {
    /** Reads an object; with [isStaleAllowed] it is cheaper but may be seconds old. */
    suspend fun read(
        kind: ObjectKind,
        name: String,
        isStaleAllowed: Boolean
    ): Result<ObjectReading, FeedFailure>

    /**
     * Writes [content], a JSON object, if the object has [expectedRevision], or does not exist if
     * that is null. After a failure the write may have been executed, or may be executed later.
     */
    suspend fun write(
        kind: ObjectKind,
        name: String,
        content: String,
        expectedRevision: Long?
    ): Result<WriteReply, FeedFailure>
}
