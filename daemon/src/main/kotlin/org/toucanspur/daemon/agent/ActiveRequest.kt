/*
 * One request that an agent has taken on, from its submission until the entry needs it no more.
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

/** State of a request at the agent. */
class ActiveRequest(val submit: Submit, windowBytes: Int) {
    /** Bytes that wait for the entry. */
    val buffer = AnswerBuffer(windowBytes, submit.resumeOffset)

    /** Offset up to which the entry takes bytes. */
    val creditUntil = AtomicLong(submit.resumeOffset + submit.creditBytes)

    /** Monotonic time at which the request is given up. */
    val deadlineMillis = monotonicMillis() + submit.deadlineMillis

    /** Decision of the gate; replaced each time the request goes through the gate again. */
    @Volatile
    var admission = CompletableDeferred<AdmissionEffect>()

    /** Connection over which the answer goes, replaced when the entry resumes. */
    @Volatile
    var reader: PeerConnection? = null

    /** Coroutine that sends the answer. */
    @Volatile
    var sender: Job? = null

    /** Coroutine that runs the request. */
    @Volatile
    var runner: Job? = null

    /** Refusal to send instead of an answer. */
    @Volatile
    var refusal: Refused? = null

    val isAtMostOnce: Boolean get() = submit.delivery == Delivery.AT_MOST_ONCE

    /** Time left until the deadline. */
    fun remainingMillis(): Long = deadlineMillis - monotonicMillis()

    /** Raises the credit; bytes that the entry has acknowledged by it are dropped. */
    fun grant(untilOffset: Long, windowBytes: Long) {
        val until = creditUntil.accumulateAndGet(untilOffset, ::maxOf)
        if (!isAtMostOnce) buffer.acknowledge(until - windowBytes)
        buffer.signal()
    }
}

/** The submission that stands for a recorded answer; it is never run. */
internal fun replaySubmit(id: RequestId, creditBytes: Long): Submit = Submit(
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
