/*
 * What an agent remembers of the requests that were submitted to it, so that a request id runs at
 * most once and its answer can be fetched again. Answers are kept for a bounded time and number of
 * bytes; the ids outlive their answers as tombstones.
 */
package org.toucanspur.core.requests

import org.toucanspur.schema.HeaderField
import org.toucanspur.schema.RequestId

/** An answer in full. */
class RecordedResponse(val status: Int, val headers: List<HeaderField>, val body: ByteArray)

/** What is known of a request id. */
sealed interface Outcome {
    /** Never submitted here, and from now on it never will run here. */
    data object Barred : Outcome

    /** Admitted and not finished yet. */
    data object Running : Outcome

    /** Turned away before it ran. */
    data object DidNotRun : Outcome

    /** Finished; [answer] is null when it was cut off or has been dropped from memory. */
    data class Done(val answer: RecordedResponse?) : Outcome

    /** The record has forgotten ids of that age; nobody can know. */
    data object Unknown : Outcome
}

/** Bounds of the record. */
data class OutcomeTableLimits(val answerBytesMax: Long, val answerMillis: Long, val idsMax: Int = 100_000)

/** The record of one life of an agent. Safe for use by several threads. */
class RequestOutcomeTable(private val bounds: OutcomeTableLimits) {
    private val entries = LinkedHashMap<RequestId, Entry>()
    private var answerBytes = 0L
    private var hasForgotten = false

    /** Registers a submission; returns null when it is new and may run, else what is known. */
    @Synchronized
    fun begin(id: RequestId, nowMillis: Long): Outcome? {
        val known = entries[id]
        if (known != null) return known.outcome
        put(id, Outcome.Running, nowMillis)
        return null
    }

    /** Records the end of a request. */
    @Synchronized
    fun finish(id: RequestId, answer: RecordedResponse?, nowMillis: Long) {
        put(id, Outcome.Done(answer), nowMillis)
        answerBytes += answer?.body?.size ?: 0
        trim(nowMillis)
    }

    /** Records that a submitted request was turned away before it ran. */
    @Synchronized
    fun didNotRun(id: RequestId, nowMillis: Long) = put(id, Outcome.DidNotRun, nowMillis)

    /**
     * What is known of [id]. An id that was never submitted is barred from now on, so that a late
     * submission cannot make a `did not run` answer false.
     */
    @Synchronized
    fun query(id: RequestId, nowMillis: Long): Outcome {
        entries[id]?.let { return it.outcome }
        if (hasForgotten) return Outcome.Unknown
        put(id, Outcome.Barred, nowMillis)
        return Outcome.Barred
    }

    private fun put(id: RequestId, outcome: Outcome, nowMillis: Long) {
        entries.remove(id)?.let { answerBytes -= it.answerBytes }
        entries[id] = Entry(outcome, nowMillis)
        while (entries.size > bounds.idsMax) forgetOldest()
    }

    private fun forgetOldest() {
        val oldest = entries.entries.firstOrNull { it.value.outcome != Outcome.Running } ?: return
        entries.remove(oldest.key)
        answerBytes -= oldest.value.answerBytes
        hasForgotten = true
    }

    private fun trim(nowMillis: Long) {
        val iterator = entries.entries.iterator()
        while (iterator.hasNext()) {
            val entry = iterator.next().value
            val isOld = nowMillis - entry.sinceMillis >= bounds.answerMillis
            if (!isOld && answerBytes <= bounds.answerBytesMax) return
            if (entry.answerBytes > 0) {
                answerBytes -= entry.answerBytes
                entry.outcome = Outcome.Done(null)
            }
        }
    }

    private class Entry(var outcome: Outcome, val sinceMillis: Long) {
        val answerBytes: Long
            get() = (outcome as? Outcome.Done)?.answer?.body?.size?.toLong() ?: 0
    }
}
