/*
 * Outcomes of the requests submitted to an agent, so that a request id is executed at most once and
 * its response can be fetched again. Responses are retained for a limited time and number of bytes;
 * the ids are kept longer as tombstones.
 */
package org.toucanspur.core.requests

import org.toucanspur.schema.HeaderField
import org.toucanspur.schema.RequestId

/** Complete response. */
class RecordedResponse(val status: Int, val headers: List<HeaderField>, val body: ByteArray)

/** Outcome of a request id. */
sealed interface Outcome {
    /** Never submitted here, and any later submission is prevented. */
    data object Barred : Outcome

    /** Submitted and not finished yet. */
    data object Running : Outcome

    /** Refused before execution. */
    data object DidNotRun : Outcome

    /** Finished; [response] is null when it was incomplete or is no longer retained. */
    data class Done(val response: RecordedResponse?) : Outcome

    /** Not in the table, which has already evicted ids, so the outcome cannot be determined. */
    data object Unknown : Outcome
}

/** Retention limits of the table. */
data class OutcomeTableLimits(
    val responseBytesMax: Long,
    val responseRetentionMillis: Long,
    val idsMax: Int = 100_000
)

/** Request outcomes of one agent incarnation. Thread-safe. */
class RequestOutcomeTable(private val limits: OutcomeTableLimits) {
    private val entries = LinkedHashMap<RequestId, Entry>()
    private var responseBytes = 0L
    private var hasEvicted = false

    /** Registers a submission; returns null when it is new and may run, else its known outcome. */
    @Synchronized
    fun begin(id: RequestId, nowMillis: Long): Outcome? {
        val known = entries[id]
        if (known != null) return known.outcome
        put(id, Outcome.Running, nowMillis)
        return null
    }

    /** Records the completion of a request. */
    @Synchronized
    fun finish(id: RequestId, response: RecordedResponse?, nowMillis: Long) {
        put(id, Outcome.Done(response), nowMillis)
        responseBytes += response?.body?.size ?: 0
        evictResponses(nowMillis)
    }

    /** Records that a submitted request was refused before execution. */
    @Synchronized
    fun didNotRun(id: RequestId, nowMillis: Long) = put(id, Outcome.DidNotRun, nowMillis)

    /**
     * Returns the outcome of [id]. An id that was never submitted is barred from then on, so that a
     * late submission cannot invalidate a reply that the request was not executed.
     */
    @Synchronized
    fun query(id: RequestId, nowMillis: Long): Outcome {
        entries[id]?.let { return it.outcome }
        if (hasEvicted) return Outcome.Unknown
        put(id, Outcome.Barred, nowMillis)
        return Outcome.Barred
    }

    private fun put(id: RequestId, outcome: Outcome, nowMillis: Long) {
        entries.remove(id)?.let { responseBytes -= it.responseBytes }
        entries[id] = Entry(outcome, nowMillis)
        while (entries.size > limits.idsMax) evictOldest()
    }

    private fun evictOldest() {
        val oldest = entries.entries.firstOrNull { it.value.outcome != Outcome.Running } ?: return
        entries.remove(oldest.key)
        responseBytes -= oldest.value.responseBytes
        hasEvicted = true
    }

    private fun evictResponses(nowMillis: Long) {
        val iterator = entries.entries.iterator()
        while (iterator.hasNext()) {
            val entry = iterator.next().value
            val isOld = nowMillis - entry.sinceMillis >= limits.responseRetentionMillis
            if (!isOld && responseBytes <= limits.responseBytesMax) return
            if (entry.responseBytes > 0) {
                responseBytes -= entry.responseBytes
                entry.outcome = Outcome.Done(null)
            }
        }
    }

    private class Entry(var outcome: Outcome, val sinceMillis: Long) {
        val responseBytes: Long
            get() = (outcome as? Outcome.Done)?.response?.body?.size?.toLong() ?: 0
    }
}
