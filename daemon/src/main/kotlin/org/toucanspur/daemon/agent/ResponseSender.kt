/*
 * Sends the response to a request to the entry, within the credit that the entry has granted.
 */
package org.toucanspur.daemon.agent

import org.toucanspur.daemon.transport.PeerConnection
import org.toucanspur.schema.End
import org.toucanspur.schema.Head
import org.toucanspur.schema.Part
import org.toucanspur.schema.Ran
import org.toucanspur.schema.Refused

private const val PART_MAX_BYTES = 16 * 1024

/** Refusal kind for a response that failed at the endpoint before its end. */
const val KIND_ENDPOINT_FAILED = "endpoint-failed"

/** Sends the response to [request] over [connection], from [fromOffset] to its end. */
internal suspend fun sendResponse(
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
                endpointFailure(
                    request,
                    "response bytes at offset $offset were already acknowledged and released"
                )
            )
            return
        }
        if (bytes.isNotEmpty()) {
            if (!connection.send(Part(id, offset, bytes))) return
            offset += bytes.size
            continue
        }
        if (offset == buffer.producedOffset && buffer.end != null) break
        awaitBytesAndCredit(request, offset)
    }
    when (val end = buffer.end) {
        is ResponseEnd.Whole -> connection.send(End(id, end.length, end.checksum))
        is ResponseEnd.Failed -> connection.send(endpointFailure(request, end.reason))
        null -> Unit
    }
}

private suspend fun awaitBytesAndCredit(request: ActiveRequest, offset: Long) {
    val buffer = request.buffer
    buffer.await {
        val hasBytes = buffer.producedOffset > offset
        val hasCredit = request.creditUntil.get() > offset
        (hasBytes && hasCredit) || (!hasBytes && buffer.end != null)
    }
}

private fun endpointFailure(request: ActiveRequest, reason: String): Refused = Refused(
    request.submit.requestId,
    Ran.UNKNOWN,
    KIND_ENDPOINT_FAILED,
    reason,
    retryAfterMillis = 0
)
