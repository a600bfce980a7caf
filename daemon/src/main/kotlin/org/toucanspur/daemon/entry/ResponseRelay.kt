/*
 * Relays one response from an agent to the caller: complete, in order and with at most one window
 * of flow-control credit. When the connection is lost, the rest is fetched again from the same
 * agent; when that agent is gone, an engine's response continues at another endpoint with the same
 * release.
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
private const val RESUME_ATTEMPTS_MAX = 5

/** First result of a request: the head of the response, a refusal, or loss of the agent. */
sealed interface ResponseStart {
    /** The agent sent the head of the response. */
    data class Accepted(val head: Head) : ResponseStart

    /** The agent refused the request. */
    data class Refusal(val refused: Refused) : ResponseStart

    /** The connection was lost and could not be restored to the same incarnation of the agent. */
    data object Lost : ResponseStart
}

/** Continues an interrupted response at another endpoint. */
fun interface ResponseContinuation {
    /**
     * Submits the request again from byte [offset] to an endpoint other than [previous] that runs
     * [release]; null if there is none.
     */
    suspend fun continueAt(
        offset: Long,
        release: ReleaseDigest?,
        previous: Placement
    ): SubmittedRequest?
}

/** Relays the response of one request to the caller; confined to one coroutine. */
class ResponseRelay(
    private val connections: AgentConnections,
    private val windowBytes: Long,
    private val events: EventLog,
    submitted: SubmittedRequest,
    private val continuation: ResponseContinuation?
) {
    private var stream = submitted.stream
    private var placement = submitted.placement
    private val assembler = StreamAssembler()
    private var creditEndOffset = windowBytes
    private var resumeAttempts = 0
    private var isClosed = false
    private val id: RequestId get() = stream.id

    /** Waits for the head of the response or the refusal. */
    suspend fun awaitStart(): ResponseStart {
        while (true) {
            when (val frame = receiveFrame()) {
                is Head -> return ResponseStart.Accepted(frame)
                is Refused -> return ResponseStart.Refusal(frame)
                null -> if (!refetch()) return ResponseStart.Lost
                else -> throw IOException("agent sent ${frame::class.simpleName} before a head")
            }
        }
    }

    private suspend fun receiveFrame(): Frame? = stream.frames.receiveCatching().getOrNull()

    /**
     * The next bytes of the response in order, or null after the end. Throws [IOException] if the
     * response cannot be completed.
     */
    suspend fun nextBytes(): ByteArray? {
        grantCredit()
        while (true) {
            val step = when (val frame = receiveFrame()) {
                is Part -> assembler.onPart(frame)
                is End -> assembler.onEnd(frame)
                is Refused -> failOver(frame.detail)
                null -> StreamStep.Resume(assembler.offset)
                else -> StreamStep.Ignore
            }
            when (step) {
                is StreamStep.Deliver -> {
                    resumeAttempts = 0
                    return step.bytes
                }
                is StreamStep.Whole -> return null
                is StreamStep.Resume -> resume()
                is StreamStep.Corrupt -> throw IOException("response does not match its checksum")
                is StreamStep.Ignore -> Unit
            }
        }
    }

    // Grants credit before the window is used up: with half of it left, the agent can keep sending
    // while the grant is in transit.
    private suspend fun grantCredit() {
        val endOffset = assembler.offset + windowBytes
        if (endOffset - creditEndOffset < windowBytes / 2) return
        creditEndOffset = endOffset
        stream.connection.send(Credit(id, endOffset))
    }

    private suspend fun resume() {
        if (!refetch()) failOver("connection to agent ${placement.vm} was lost")
    }

    private suspend fun refetch(): Boolean {
        if (++resumeAttempts > RESUME_ATTEMPTS_MAX) return false
        val connection =
            connections.awaitConnection(placement.vm, placement.incarnation, RECONNECT_MILLIS)
                ?: return false
        connections.closeStream(stream)
        stream = connections.openStream(id, connection)
        creditEndOffset = assembler.offset + windowBytes
        logResume("fetched again from ${placement.vm}")
        return connection.send(Fetch(id, assembler.offset, windowBytes))
    }

    private suspend fun failOver(reason: String): StreamStep {
        if (++resumeAttempts > RESUME_ATTEMPTS_MAX) throw IOException(reason)
        val submitted = continuation?.continueAt(assembler.offset, placement.release, placement)
            ?: throw IOException(reason)
        connections.closeStream(stream)
        stream = submitted.stream
        placement = submitted.placement
        creditEndOffset = assembler.offset + windowBytes
        assembler.restartChecksum()
        logResume("continued at ${placement.vm}")
        return StreamStep.Ignore
    }

    private fun logResume(action: String) {
        events.event(EventCode.REQUEST_RESUMED, EventSubject(requestId = id)) {
            "$action from offset ${assembler.offset}"
        }
    }

    /** Cancels the request at the agent and closes the stream; may be called at any time. */
    suspend fun close() {
        if (isClosed) return
        isClosed = true
        stream.connection.send(Cancel(id))
        connections.closeStream(stream)
    }
}
