/*
 * Changes the document in force by a conditional update. A submission id inside the document
 * resolves a lost answer, and an operator who loses a race learns whose change won.
 */
package org.toucanspur.core.config

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.toucanspur.core.platform.ABSENT_VERSION
import org.toucanspur.core.platform.ObjectKeys
import org.toucanspur.core.platform.ObjectStore
import org.toucanspur.core.platform.StoreError
import org.toucanspur.schema.Revision
import org.toucanspur.schema.StoredDocument

/** A change as the operator submits it. */
data class Submission(
    val id: String,
    val author: String,
    val note: String,
    val text: String,
    val atMillis: Long,
    val expectedRevision: Revision? = null
)

/** Why a submission was not accepted. */
sealed interface PublishError {
    /** What happened and what to do. */
    val message: String

    /** Another operator's change came first; nothing was written. */
    data class Conflict(val winner: StoredDocument) : PublishError {
        override val message =
            "revision ${winner.revision} by ${winner.author} (\"${winner.note}\") came " +
                "first; compare with `toucanspur diff` and apply again"
    }

    /** The object API is down; nothing was written. */
    data class Unavailable(val reason: String) : PublishError {
        override val message = "$reason; nothing was accepted, apply again later"
    }

    /** Whether the change was accepted cannot be found out now. */
    data class OutcomeUnknown(val submissionId: String) : PublishError {
        override val message =
            "the object API does not tell whether submission $submissionId was " +
                "accepted; look it up with `toucanspur history` before applying again"
    }

    /** A stored object is not readable. */
    data class Malformed(val key: String) : PublishError {
        override val message = "object \"$key\" is malformed; restore it from version control"
    }
}

/** A stored document with the version of its object. */
data class DocumentHead(val document: StoredDocument?, val version: Long)

/** Publishes documents of [environment]. */
class DocumentPublisher(private val environment: String, private val store: ObjectStore) {
    private val key = ObjectKeys.document(environment)

    /** The document in force. */
    suspend fun head(): Result<DocumentHead, PublishError> = store.read(key).fold(
        success = { found ->
            if (found ==
                null
            ) {
                Ok(DocumentHead(null, ABSENT_VERSION))
            } else {
                decode(found.key, found.value).map { DocumentHead(it, found.version) }
            }
        },
        failure = { Err(PublishError.Unavailable(it.message)) }
    )

    /** Submits a change; returns it with its revision once it is accepted. */
    suspend fun publish(submission: Submission): Result<StoredDocument, PublishError> {
        var isOutcomeOpen = false
        repeat(ATTEMPTS_MAX) {
            val ended = attempt(submission, isOutcomeOpen)
            if (ended != null) return ended
            isOutcomeOpen = true
        }
        return Err(PublishError.OutcomeUnknown(submission.id))
    }

    // Returns null when the outcome of the write is open and must be looked up. The same write is
    // then sent again: it expects the same version, so it takes effect once at most.
    private suspend fun attempt(
        submission: Submission,
        isOutcomeOpen: Boolean
    ): Result<StoredDocument, PublishError>? {
        val head = head().fold({ it }, { return if (isOutcomeOpen) null else Err(it) })
        val current = head.document
        if (current?.submissionId == submission.id) return Ok(current)
        if (isOutcomeOpen) findSuperseded(submission, head)?.let { return Ok(it) }
        val fault = conflict(submission, current) ?: keepHistory(current)
        if (fault != null) return Err(fault)
        val next = next(submission, current)
        return store.write(key, encode(next), head.version).fold(
            success = { Ok(next) },
            failure = { afterFailure(it, submission, isOutcomeOpen) }
        )
    }

    private suspend fun afterFailure(
        error: StoreError,
        submission: Submission,
        isOutcomeOpen: Boolean
    ): Result<StoredDocument, PublishError>? = when {
        isOutcomeOpen || error is StoreError.OutcomeUnknown -> null
        error is StoreError.Conflict -> lostRace(submission)
        else -> Err(PublishError.Unavailable(error.message))
    }

    private fun conflict(submission: Submission, current: StoredDocument?): PublishError? {
        val expected = submission.expectedRevision ?: return null
        if (current == null || current.revision == expected) return null
        return PublishError.Conflict(current)
    }

    // The write took effect and was superseded before it was read back.
    private suspend fun findSuperseded(
        submission: Submission,
        head: DocumentHead
    ): StoredDocument? {
        val latest = head.document?.revision?.value ?: return null
        for (revision in latest - 1 downTo maxOf(1, latest - SUPERSEDED_MAX)) {
            val found = revision(Revision(revision)).fold({ it }, { null })
            if (found?.submissionId == submission.id) return found
        }
        return null
    }

    private suspend fun lostRace(submission: Submission): Result<StoredDocument, PublishError> =
        head().fold(
            success = { head ->
                val winner = head.document
                when {
                    winner == null -> Err(PublishError.OutcomeUnknown(submission.id))
                    winner.submissionId == submission.id -> Ok(winner)
                    else -> Err(PublishError.Conflict(winner))
                }
            },
            failure = { Err(it) }
        )

    // A revision enters the history before its successor replaces it, so that none is lost.
    private suspend fun keepHistory(current: StoredDocument?): PublishError? {
        if (current == null) return null
        val historyKey = ObjectKeys.history(environment, current.revision.value)
        return store.write(historyKey, encode(current), ABSENT_VERSION).fold(
            success = { null },
            failure = {
                if (it is StoreError.Conflict) null else PublishError.Unavailable(it.message)
            }
        )
    }

    private fun next(submission: Submission, current: StoredDocument?): StoredDocument =
        StoredDocument(
            Revision((current?.revision?.value ?: 0) + 1),
            submission.id,
            submission.author,
            submission.atMillis,
            submission.note,
            submission.text
        )

    /** The document of an earlier or the current revision; null when it does not exist. */
    suspend fun revision(revision: Revision): Result<StoredDocument?, PublishError> {
        val head = head().fold({ it }, { return Err(it) })
        if (head.document?.revision == revision) return Ok(head.document)
        val historyKey = ObjectKeys.history(environment, revision.value)
        return store.read(historyKey).fold(
            success = { found -> if (found == null) Ok(null) else decode(found.key, found.value) },
            failure = { Err(PublishError.Unavailable(it.message)) }
        )
    }

    /** All revisions, latest first. */
    suspend fun history(): Result<List<StoredDocument>, PublishError> {
        val head = head().fold({ it }, { return Err(it) })
        return store.list(ObjectKeys.historyPrefix(environment))
            .mapError { PublishError.Unavailable(it.message) }
            .map { records ->
                val earlier = records.mapNotNull { record ->
                    decode(record.key, record.value).fold({ it }, { null })
                }
                (earlier + listOfNotNull(head.document)).distinctBy {
                    it.revision
                }.sortedByDescending { it.revision.value }
            }
    }

    private fun encode(document: StoredDocument): String =
        Json.encodeToString(StoredDocument.serializer(), document)

    private fun decode(key: String, value: String): Result<StoredDocument, PublishError> = try {
        Ok(Json.decodeFromString<StoredDocument>(value))
    } catch (_: SerializationException) {
        Err(PublishError.Malformed(key))
    }

    private companion object {
        const val ATTEMPTS_MAX = 6
        const val SUPERSEDED_MAX = 10L
    }
}
