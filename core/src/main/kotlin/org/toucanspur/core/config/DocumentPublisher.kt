/*
 * Replaces the active document by a conditional update. The submission id stored in the document
 * resolves the outcome when a response is lost. After a conflict, the operator is told whose change
 * was published first.
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

/** A change submitted by an operator. */
data class Submission(
    val id: String,
    val author: String,
    val note: String,
    val text: String,
    val atMillis: Long,
    val expectedRevision: Revision? = null
)

/** Reason why a submission was not accepted. */
sealed interface PublishError {
    /** Description with the remedy. */
    val message: String

    /** Another change was published first; nothing was written. */
    data class Conflict(val winner: StoredDocument) : PublishError {
        override val message =
            "revision ${winner.revision} by ${winner.author} (\"${winner.note}\") was " +
                "published first; compare with `toucanspur diff` and apply again"
    }

    /** The object API is unavailable; nothing was written. */
    data class Unavailable(val reason: String) : PublishError {
        override val message = "$reason; nothing was accepted, apply again later"
    }

    /** It cannot be determined whether the change was accepted. */
    data class OutcomeUnknown(val submissionId: String) : PublishError {
        override val message =
            "the object API did not confirm whether submission $submissionId was " +
                "accepted; look it up with `toucanspur history` before applying again"
    }

    /** A stored object cannot be parsed. */
    data class Malformed(val key: String) : PublishError {
        override val message = "object \"$key\" is malformed; restore it from version control"
    }
}

/** A stored document with the version of its object. */
data class DocumentHead(val document: StoredDocument?, val version: Long)

/** Publishes the documents of [environment]. */
class DocumentPublisher(private val environment: String, private val store: ObjectStore) {
    private val key = ObjectKeys.document(environment)

    /** Reads the active document. */
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
        var isOutcomeUnknown = false
        repeat(ATTEMPTS_MAX) {
            val outcome = attempt(submission, isOutcomeUnknown)
            if (outcome != null) return outcome
            isOutcomeUnknown = true
        }
        return Err(PublishError.OutcomeUnknown(submission.id))
    }

    // Returns null when the outcome of the write is unknown. The next attempt looks the submission
    // up and writes it again if it is not found. Every write is conditional on the object version,
    // so at most one of them takes effect.
    private suspend fun attempt(
        submission: Submission,
        isOutcomeUnknown: Boolean
    ): Result<StoredDocument, PublishError>? {
        val head = head().fold({ it }, { return if (isOutcomeUnknown) null else Err(it) })
        val current = head.document
        if (current?.submissionId == submission.id) return Ok(current)
        if (isOutcomeUnknown) findInHistory(submission, head)?.let { return Ok(it) }
        val error = checkExpected(submission, current) ?: archiveCurrent(current)
        if (error != null) return Err(error)
        val nextDocument = nextDocument(submission, current)
        return store.write(key, encode(nextDocument), head.version).fold(
            success = { Ok(nextDocument) },
            failure = { onWriteFailure(it, submission, isOutcomeUnknown) }
        )
    }

    private suspend fun onWriteFailure(
        error: StoreError,
        submission: Submission,
        isOutcomeUnknown: Boolean
    ): Result<StoredDocument, PublishError>? = when {
        isOutcomeUnknown || error is StoreError.OutcomeUnknown -> null
        error is StoreError.Conflict -> onConflict(submission)
        else -> Err(PublishError.Unavailable(error.message))
    }

    private fun checkExpected(submission: Submission, current: StoredDocument?): PublishError? {
        val expected = submission.expectedRevision ?: return null
        if (current == null || current.revision == expected) return null
        return PublishError.Conflict(current)
    }

    // Finds a write that took effect and was superseded before it was read back.
    private suspend fun findInHistory(submission: Submission, head: DocumentHead): StoredDocument? {
        val latest = head.document?.revision?.value ?: return null
        for (revision in latest - 1 downTo maxOf(1, latest - HISTORY_LOOKUP_MAX)) {
            val found = revision(Revision(revision)).fold({ it }, { null })
            if (found?.submissionId == submission.id) return found
        }
        return null
    }

    private suspend fun onConflict(submission: Submission): Result<StoredDocument, PublishError> =
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

    // A revision is written to the history before its successor replaces it, so none is lost.
    private suspend fun archiveCurrent(current: StoredDocument?): PublishError? {
        if (current == null) return null
        val historyKey = ObjectKeys.history(environment, current.revision.value)
        return store.write(historyKey, encode(current), ABSENT_VERSION).fold(
            success = { null },
            failure = {
                if (it is StoreError.Conflict) null else PublishError.Unavailable(it.message)
            }
        )
    }

    private fun nextDocument(submission: Submission, current: StoredDocument?): StoredDocument =
        StoredDocument(
            Revision((current?.revision?.value ?: 0) + 1),
            submission.id,
            submission.author,
            submission.atMillis,
            submission.note,
            submission.text
        )

    /** Returns the document of the current or an earlier revision; null when it does not exist. */
    suspend fun revision(revision: Revision): Result<StoredDocument?, PublishError> {
        val head = head().fold({ it }, { return Err(it) })
        if (head.document?.revision == revision) return Ok(head.document)
        val historyKey = ObjectKeys.history(environment, revision.value)
        return store.read(historyKey).fold(
            success = { found -> if (found == null) Ok(null) else decode(found.key, found.value) },
            failure = { Err(PublishError.Unavailable(it.message)) }
        )
    }

    /** Returns all revisions, latest first. */
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
        const val HISTORY_LOOKUP_MAX = 10L
    }
}
