/*
 * Sends the answer of a request to the entry as credit allows.
 */
package org.toucanspur.daemon.agent

import org.toucanspur.daemon.transport.PeerConnection
import org.toucanspur.schema.End
import org.toucanspur.schema.Head
import org.toucanspur.schema.Part
import org.toucanspur.schema.Ran
import org.toucanspur.schema.Refused

private const val PART_MAX_BYTES = 16 * 1024

/** Kind of refusal for an answer that the endpoint broke off. */
const val KIND_ENDPOINT_FAILED = "endpoint-failed"

/** Sends the answer of [request] over [connection] from [fromOffset] until it ends. */
internal suspend fun sendAnswer(
    request: ActiveRequest,
    connection: PeerConnection,
    fromOffset: Long
) {
    val buffer = request.buffer
    val id = request.submit.requestId
    buffer.await { buffer.head != null || buffer.end != null || request.refusal != null }
    request.refusal?.let {
        connection.send(it)
        return
    }
    buffer.head?.let { connection.send(Head(id, it.status, it.headers)) }
    var offset = fromOffset
    while (true) {
        val credit = request.creditUntil.get() - offset
        val bytes = buffer.read(offset, minOf(PART_MAX_BYTES.toLong(), maxOf(0, credit)).toInt())
        if (bytes == null) {
            connection.send(
                failed(request, "answer before offset $offset was acknowledged and dropped")
            )
            return
        }
        if (bytes.isNotEmpty()) {
            if (!connection.send(Part(id, offset, bytes))) return
            offset += bytes.size
            continue
        }
        if (offset == buffer.producedOffset && buffer.end != null) break
        awaitMore(request, offset)
    }
    when (val end = buffer.end) {
        is AnswerEnd.Whole -> connection.send(End(id, end.length, end.checksum))
        is AnswerEnd.Failed -> connection.send(failed(request, end.reason))
        null -> Unit
    }
}

private suspend fun awaitMore(request: ActiveRequest, offset: Long) {
    val buffer = request.buffer
    buffer.await {
        val hasBytes = buffer.producedOffset > offset
        val hasCredit = request.creditUntil.get() > offset
        (hasBytes && hasCredit) || (!hasBytes && buffer.end != null)
    }
}

private fun failed(request: ActiveRequest, reason: String): Refused = Refused(
    request.submit.requestId,
    Ran.UNKNOWN,
    KIND_ENDPOINT_FAILED,
    reason,
    retryAfterMillis = 0
)
