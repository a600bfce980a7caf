/*
 * Relays one answer from agents to a caller: in order, whole, and with credit for no more than a
 * window. When the connection ends, the answer is fetched from the same agent again; when that
 * agent is gone, an engine's answer continues at another endpoint of the same release.
 */
package org.toucanspur.daemon.entry

import java.io.IOException
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.events.EventSubject
import org.toucanspur.core.requests.StreamAssembler
import org.toucanspur.core.requests.StreamStep
import org.toucanspur.daemon.log.EventLog
import org.toucanspur.schema.Cancel
import org.toucanspur.schema.Credit
import org.toucanspur.schema.End
import org.toucanspur.schema.Fetch
import org.toucanspur.schema.Frame
import org.toucanspur.schema.Head
import org.toucanspur.schema.Part
import org.toucanspur.schema.Refused
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.RequestId

private const val RECONNECT_MILLIS = 3000L
private const val RESUMES_MAX = 5

/** Head of an answer, or the refusal that came instead; null when the agent is gone. */
sealed interface AnswerStart {
    /** The answer begins. */
    data class Begun(val head: Head) : AnswerStart

    /** The agent refuses. */
    data class Declined(val refused: Refused) : AnswerStart

    /** The connection and the agent's life are gone. */
    data object Lost : AnswerStart
}

/** Finds another endpoint that continues an answer; null when there is none. */
fun interface AnswerContinuation {
    /** Submits the request again from [offset], under [release]. */
    suspend fun continueAt(offset: Long, release: ReleaseDigest?, after: Placement): Placed?
}

/** The answer of one request on its way to the caller. Used by one coroutine. */
class AnswerRelay(
    private val links: AgentLinks,
    private val windowBytes: Long,
    private val events: EventLog,
    placed: Placed,
    private val continuation: AnswerContinuation?
) {
    private var link = placed.link
    private var placement = placed.placement
    private val assembler = StreamAssembler()
    private var creditUntil = windowBytes
    private var resumes = 0
    private var isReleased = false
    private val id: RequestId get() = link.id

    /** Waits for the head of the answer. */
    suspend fun start(): AnswerStart {
        while (true) {
            when (val frame = nextFrame()) {
                is Head -> return AnswerStart.Begun(frame)
                is Refused -> return AnswerStart.Declined(frame)
                null -> if (!fetchAgain()) return AnswerStart.Lost
                else -> throw IOException("agent sent ${frame::class.simpleName} before a head")
            }
        }
    }

    private suspend fun nextFrame(): Frame? = link.frames.receiveCatching().getOrNull()

    /** The next bytes in order, or null when the answer is whole; throws when it cannot be. */
    suspend fun next(): ByteArray? {
        grantCredit()
        while (true) {
            val step = when (val frame = nextFrame()) {
                is Part -> assembler.onPart(frame)
                is End -> assembler.onEnd(frame)
                is Refused -> resumeElsewhere(frame.detail)
                null -> StreamStep.Resume(assembler.offset)
                else -> StreamStep.Ignore
            }
            when (step) {
                is StreamStep.Deliver -> {
                    resumes = 0
                    return step.bytes
                }
                is StreamStep.Whole -> return null
                is StreamStep.Resume -> resume()
                is StreamStep.Corrupt -> throw IOException("answer does not match its checksum")
                is StreamStep.Ignore -> Unit
            }
        }
    }

    // Half a window of slack keeps the agent sending while a grant travels.
    private suspend fun grantCredit() {
        val until = assembler.offset + windowBytes
        if (until - creditUntil < windowBytes / 2) return
        creditUntil = until
        link.connection.send(Credit(id, until))
    }

    private suspend fun resume() {
        if (!fetchAgain()) resumeElsewhere("agent ${placement.vm} is gone")
    }

    private suspend fun fetchAgain(): Boolean {
        if (++resumes > RESUMES_MAX) return false
        val connection =
            links.awaitConnection(placement.vm, placement.incarnation, RECONNECT_MILLIS)
                ?: return false
        links.release(link)
        link = links.open(id, connection)
        creditUntil = assembler.offset + windowBytes
        noteResume("fetched again from ${placement.vm}")
        return connection.send(Fetch(id, assembler.offset, windowBytes))
    }

    private suspend fun resumeElsewhere(reason: String): StreamStep {
        if (++resumes > RESUMES_MAX) throw IOException(reason)
        val placed = continuation?.continueAt(assembler.offset, placement.release, placement)
            ?: throw IOException(reason)
        links.release(link)
        link = placed.link
        placement = placed.placement
        creditUntil = assembler.offset + windowBytes
        assembler.restartChecksum()
        noteResume("continued at ${placement.vm}")
        return StreamStep.Ignore
    }

    private fun noteResume(how: String) {
        events.event(EventCode.REQUEST_RESUMED, EventSubject(requestId = id)) {
            "$how from offset ${assembler.offset}"
        }
    }

    /** Ends the relay, whether the answer is whole or the caller has gone. */
    suspend fun close() {
        if (isReleased) return
        isReleased = true
        link.connection.send(Cancel(id))
        links.release(link)
    }
}
