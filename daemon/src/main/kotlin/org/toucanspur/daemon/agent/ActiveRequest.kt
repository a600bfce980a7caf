/*
 * State of one accepted request at the agent, from its submission until the entry has the response
 * or cancels the request.
 */
package org.toucanspur.daemon.agent

import java.util.concurrent.atomic.AtomicLong
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import org.toucanspur.core.admission.AdmissionEffect
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.transport.PeerConnection
import org.toucanspur.schema.Delivery
import org.toucanspur.schema.Incarnation
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.PoolId
import org.toucanspur.schema.Priority
import org.toucanspur.schema.Refused
import org.toucanspur.schema.RequestId
import org.toucanspur.schema.Revision
import org.toucanspur.schema.Submit

/** A request that the agent has accepted. */
class ActiveRequest(val submit: Submit, windowBytes: Int) {
    /** Response bytes that the entry has not acknowledged yet. */
    val buffer = ResponseBuffer(windowBytes, submit.resumeOffset)

    /** Offset up to which the entry has granted credit. */
    val creditUntil = AtomicLong(submit.resumeOffset + submit.creditBytes)

    /** Monotonic time of the request's deadline. */
    val deadlineMillis = monotonicMillis() + submit.deadlineMillis

    /** Decision of the admission gate; replaced each time the request is offered to it again. */
    @Volatile
    var admission = CompletableDeferred<AdmissionEffect>()

    /** Connection that the response is sent on; replaced when the entry resumes the response. */
    @Volatile
    var entryConnection: PeerConnection? = null

    /** Coroutine that sends the response. */
    @Volatile
    var senderJob: Job? = null

    /** Coroutine that runs the request at the endpoint. */
    @Volatile
    var runJob: Job? = null

    /** Refusal to send in place of a response. */
    @Volatile
    var refusal: Refused? = null

    val isAtMostOnce: Boolean get() = submit.delivery == Delivery.AT_MOST_ONCE

    /** Time left until the deadline. */
    fun remainingMillis(): Long = deadlineMillis - monotonicMillis()

    /** Raises the credit and releases the bytes that it implicitly acknowledges. */
    fun extendCredit(untilOffset: Long, windowBytes: Long) {
        val until = creditUntil.accumulateAndGet(untilOffset, ::maxOf)
        if (!isAtMostOnce) buffer.acknowledge(until - windowBytes)
        buffer.signal()
    }
}

/** Placeholder for the submission of a recorded response; it is never run. */
internal fun placeholderSubmit(id: RequestId, creditBytes: Long): Submit = Submit(
    requestId = id,
    incarnation = Incarnation(0),
    revision = Revision(0),
    pool = PoolId(""),
    organisation = OrganisationId(""),
    priority = Priority.NORMAL,
    delivery = Delivery.AT_MOST_ONCE,
    fingerprint = "",
    method = "",
    path = "",
    headers = emptyList(),
    body = ByteArray(0),
    deadlineMillis = 0,
    creditBytes = creditBytes
)
