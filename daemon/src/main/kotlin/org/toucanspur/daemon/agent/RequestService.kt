/*
 * Takes requests from entries, passes them through the gate, runs them at the endpoint and keeps
 * the record that makes a request id run at most once.
 */
package org.toucanspur.daemon.agent

import io.micrometer.core.instrument.MeterRegistry
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.toucanspur.core.admission.AdmissionController
import org.toucanspur.core.admission.AdmissionEffect
import org.toucanspur.core.admission.AdmissionLoad
import org.toucanspur.core.admission.AdmissionRequest
import org.toucanspur.core.admission.AdmissionSettings
import org.toucanspur.core.admission.SharedAdmissionController
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.events.EventSubject
import org.toucanspur.core.requests.Outcome
import org.toucanspur.core.requests.OutcomeTableLimits
import org.toucanspur.core.requests.PoisonStatus
import org.toucanspur.core.requests.RecordedResponse
import org.toucanspur.core.requests.RequestOutcomeTable
import org.toucanspur.daemon.log.EventLog
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.transport.PeerConnection
import org.toucanspur.schema.Cancel
import org.toucanspur.schema.Credit
import org.toucanspur.schema.Delivery
import org.toucanspur.schema.Fetch
import org.toucanspur.schema.Frame
import org.toucanspur.schema.Incarnation
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.Ran
import org.toucanspur.schema.Refused
import org.toucanspur.schema.RequestId
import org.toucanspur.schema.StreamsSection
import org.toucanspur.schema.Submit

private const val BYTES_PER_KIB = 1024
private const val BYTES_PER_MIB = 1024L * 1024
private const val MILLIS_PER_SECOND = 1000L
private const val RECORDED_ANSWER_MAX_BYTES = 1024 * 1024
private const val LINGER_MILLIS = 10_000L
private const val PARK_AFTER_MILLIS = 250L
private const val TICK_MILLIS = 200L

// An engine notices that a call was broken off some time later, and bears it until then.
private const val CANCEL_GRACE_MILLIS = 100L
private const val RETRY_AFTER_MILLIS = 1000L
private const val UNAVAILABLE = 503

/** What the service needs to know of its surroundings. */
interface RequestSurroundings {
    /** Why new work is refused now, or null when it is welcome. */
    fun refusalReason(submit: Submit): String?

    /** Whether the endpoint's engine can continue an answer from an offset. */
    val canResume: Boolean

    /** How a request with [fingerprint] is treated. */
    fun poisonStatusOf(fingerprint: String): PoisonStatus

    /** Called when the endpoint broke off; returns after a crash has been charged. */
    suspend fun onEndpointFailure(running: Collection<Submit>)

    /** Called when a request finished. */
    suspend fun onFinished(submit: Submit)
}

/** The engine turned a request away before it ran. */
private class EngineUnavailableException(message: String) : IOException(message)

/** The requests of one agent. */
class RequestService(
    private val scope: CoroutineScope,
    private val incarnation: Incarnation,
    private val endpoint: EndpointClient,
    private val streams: StreamsSection,
    gateSettings: AdmissionSettings,
    shareOf: (OrganisationId) -> Int,
    private val surroundings: RequestSurroundings,
    private val events: EventLog,
    metrics: MeterRegistry
) {
    private val windowBytes = streams.windowKib * BYTES_PER_KIB
    private val gate = SharedAdmissionController(AdmissionController(gateSettings, shareOf))
    private val record = RequestOutcomeTable(
        OutcomeTableLimits(
            streams.recordMib * BYTES_PER_MIB,
            streams.recordSeconds * MILLIS_PER_SECOND
        )
    )
    private val active = ConcurrentHashMap<RequestId, ActiveRequest>()
    private val peakRunning = AtomicInteger(0)
    private val finished = metrics.counter("toucanspur.agent.requests.finished")
    private val refused = metrics.counter("toucanspur.agent.requests.refused")

    init {
        metrics.gauge("toucanspur.agent.held.bytes", this) { heldBytes().toDouble() }
        metrics.gauge("toucanspur.agent.running", this) { load().running.toDouble() }
        scope.launch { tickLoop() }
    }

    /** Load of the gate. */
    fun load(): AdmissionLoad = gate.decide { it.load() }

    /** Answer bytes held for all requests. */
    fun heldBytes(): Long = active.values.sumOf { it.buffer.heldBytes }

    /** Requests that run or whose answers are not delivered yet. */
    fun activeCount(): Int = active.size

    /** Most requests that ran at once so far. */
    fun peakRunning(): Int = peakRunning.get()

    /** Takes over changed limits. */
    fun configure(settings: AdmissionSettings) = gate.decide { it.configure(settings) }

    /** Opens the gate when the endpoint is routable and closes it when it is not. */
    fun setOpen(isOpen: Boolean) = apply(gate.decide { it.setOpen(isOpen, monotonicMillis()) })

    /** Lowers the limit to the cold limit. */
    fun onColdSignal() = gate.decide { it.onColdSignal() }

    /** Takes no new work; what waits is refused truthfully. */
    fun drain() = apply(gate.decide { it.drain() })

    /** Takes new work again. */
    fun undrain() = gate.decide { it.undrain() }

    /** Handles frames that concern requests; returns false for all others. */
    suspend fun onFrame(connection: PeerConnection, frame: Frame): Boolean {
        when (frame) {
            is Submit -> onSubmit(connection, frame)
            is Fetch -> onFetch(connection, frame)
            is Credit -> active[frame.requestId]?.grant(frame.untilOffset, windowBytes.toLong())
            is Cancel -> active[frame.requestId]?.let(::onCancel)
            else -> return false
        }
        return true
    }

    /** Gives the entry of a lost connection some time to resume its answers. */
    fun onClosed(connection: PeerConnection) {
        val orphans = active.values.filter { it.reader === connection }
        orphans.forEach { it.sender?.cancel() }
        scope.launch {
            delay(LINGER_MILLIS)
            orphans.filter { it.reader === connection }.forEach(::onCancel)
        }
    }

    private suspend fun onSubmit(connection: PeerConnection, submit: Submit) {
        val refusal = refusalOf(submit)
        if (refusal != null) {
            refused.increment()
            connection.send(refusal)
            return
        }
        if (submit.delivery == Delivery.AT_MOST_ONCE) {
            val known = record.begin(submit.requestId, monotonicMillis())
            if (known != null) {
                answerKnown(connection, submit.requestId, known, 0, submit.creditBytes)
                return
            }
        }
        val request = ActiveRequest(submit, bufferBytes(submit))
        active[submit.requestId] = request
        attach(request, connection, submit.resumeOffset)
        request.runner = scope.launch(start = CoroutineStart.LAZY) { run(request) }
        offer(request)
        request.runner?.start()
    }

    private fun bufferBytes(submit: Submit): Int =
        if (submit.delivery == Delivery.AT_MOST_ONCE) RECORDED_ANSWER_MAX_BYTES else windowBytes

    private fun refusalOf(submit: Submit): Refused? {
        val reason = when {
            submit.incarnation != incarnation ->
                "agent life ${submit.incarnation} is gone; choose another endpoint"
            else -> surroundings.refusalReason(submit)
        }
        if (reason != null) return notRun(submit.requestId, "not-accepting", reason)
        if (surroundings.poisonStatusOf(submit.fingerprint) == PoisonStatus.REFUSED) {
            return notRun(
                submit.requestId,
                "poison",
                "the same request has crashed two endpoints; change it"
            )
        }
        return null
    }

    private fun notRun(id: RequestId, kind: String, detail: String): Refused =
        Refused(id, Ran.NO, kind, detail, RETRY_AFTER_MILLIS)

    private fun offer(request: ActiveRequest) {
        val submit = request.submit
        request.admission = CompletableDeferred()
        val gateRequest = AdmissionRequest(
            submit.requestId,
            submit.organisation,
            submit.priority,
            submit.body.size.toLong(),
            request.deadlineMillis,
            surroundings.poisonStatusOf(submit.fingerprint) == PoisonStatus.RUNS_EXCLUSIVELY
        )
        apply(gate.decide { it.offer(gateRequest, monotonicMillis()) })
    }

    private fun apply(effects: List<AdmissionEffect>) = effects.forEach { effect ->
        when (effect) {
            is AdmissionEffect.Run -> active[effect.id]?.admission?.complete(effect)
            is AdmissionEffect.Refuse -> active[effect.id]?.admission?.complete(effect)
        }
    }

    private suspend fun run(request: ActiveRequest) {
        when (val decision = request.admission.await()) {
            is AdmissionEffect.Refuse -> refuse(request, decision)
            is AdmissionEffect.Run -> execute(request)
        }
    }

    private fun refuse(request: ActiveRequest, decision: AdmissionEffect.Refuse) {
        val id = request.submit.requestId
        refused.increment()
        if (request.isAtMostOnce) record.didNotRun(id, monotonicMillis())
        val kind = decision.reason.name.lowercase()
        val detail = "the endpoint turned the request away before it ran ($kind); retry later"
        request.refusal = Refused(id, Ran.NO, kind, detail, decision.retryAfterMillis)
        request.buffer.signal()
        events.event(EventCode.REQUEST_REFUSED, EventSubject(requestId = id)) { detail }
    }

    private suspend fun execute(request: ActiveRequest) {
        peakRunning.accumulateAndGet(load().running, ::maxOf)
        val startMillis = monotonicMillis()
        val firstByte = FirstByte()
        val recorded = ByteArrayOutputStream()
        try {
            val isWhole = produce(request, recorded, firstByte)
            finish(request, recorded, isWhole)
            release(request, firstByte.millisSince(startMillis).takeIf { isWhole })
        } catch (e: EngineUnavailableException) {
            onUnavailable(request, e)
        } catch (e: IOException) {
            onFailure(request, e)
        } catch (e: CancellationException) {
            scope.launch {
                delay(CANCEL_GRACE_MILLIS)
                release(request, null)
            }
            throw e
        }
    }

    private suspend fun produce(
        request: ActiveRequest,
        recorded: ByteArrayOutputStream,
        firstByte: FirstByte
    ): Boolean {
        while (true) {
            val answer = endpoint.open(callOf(request))
            if (isEngineUnavailable(request, answer)) {
                answer.body.cancel()
                throw EngineUnavailableException("engine answered ${answer.head.status}")
            }
            if (request.buffer.head == null) request.buffer.putHead(answer.head)
            val isEnded = copyUntilStalled(request, answer.body, recorded, firstByte)
            if (isEnded) return true
            answer.body.cancel()
            park(request)
        }
    }

    // An engine that has restarted holds no weights until it has loaded them again, and says so
    // before it runs anything.
    private fun isEngineUnavailable(request: ActiveRequest, answer: EndpointAnswer): Boolean =
        answer.head.status == UNAVAILABLE &&
            request.buffer.head == null &&
            surroundings.canResume &&
            !request.isAtMostOnce

    private suspend fun onUnavailable(request: ActiveRequest, cause: EngineUnavailableException) {
        val id = request.submit.requestId
        refused.increment()
        surroundings.onEndpointFailure(emptyList())
        release(request, null)
        val detail = "the endpoint has no weights loaded; the request did not run"
        request.refusal = Refused(id, Ran.NO, "unavailable", detail, RETRY_AFTER_MILLIS)
        request.buffer.signal()
        events.event(EventCode.REQUEST_REFUSED, EventSubject(requestId = id)) {
            "$detail (${cause.message})"
        }
    }

    /** Copies until the end (true) or until the reader has stalled for too long (false). */
    private suspend fun copyUntilStalled(
        request: ActiveRequest,
        body: BodySource,
        recorded: ByteArrayOutputStream,
        firstByte: FirstByte
    ): Boolean {
        while (true) {
            val bytes = body.next() ?: return true
            firstByte.note()
            if (request.isAtMostOnce && recorded.size() + bytes.size <= RECORDED_ANSWER_MAX_BYTES) {
                recorded.write(bytes)
            }
            request.buffer.append(bytes)
            if (request.buffer.hasRoom()) continue
            if (!surroundings.canResume || request.isAtMostOnce) {
                request.buffer.awaitRoom()
            } else {
                withTimeoutOrNull(PARK_AFTER_MILLIS) { request.buffer.awaitRoom() } ?: return false
            }
        }
    }

    // While parked, a request holds its window of bytes and no place at the endpoint.
    private suspend fun park(request: ActiveRequest) {
        val id = request.submit.requestId
        delay(CANCEL_GRACE_MILLIS)
        release(request, null)
        request.buffer.awaitRoom()
        while (true) {
            offer(request)
            if (request.admission.await() is AdmissionEffect.Run) break
            delay(RETRY_AFTER_MILLIS)
        }
        events.event(EventCode.REQUEST_RESUMED, EventSubject(requestId = id)) {
            "engine resumed at offset ${request.buffer.producedOffset}"
        }
    }

    private fun callOf(request: ActiveRequest): EndpointCall {
        val submit = request.submit
        return EndpointCall(
            submit.method,
            submit.path,
            submit.headers,
            submit.body,
            request.buffer.producedOffset,
            request.remainingMillis()
        )
    }

    private suspend fun finish(
        request: ActiveRequest,
        recorded: ByteArrayOutputStream,
        isWhole: Boolean
    ) {
        val id = request.submit.requestId
        if (request.isAtMostOnce) {
            val head = request.buffer.head
            val isComplete = recorded.size().toLong() == request.buffer.producedOffset
            val answer = head?.takeIf { isComplete && isWhole }
                ?.let { RecordedResponse(it.status, it.headers, recorded.toByteArray()) }
            record.finish(id, answer, monotonicMillis())
        }
        request.buffer.finish(isWhole)
        finished.increment()
        surroundings.onFinished(request.submit)
        events.event(EventCode.REQUEST_ANSWERED, EventSubject(requestId = id)) {
            "endpoint produced ${request.buffer.producedOffset} bytes"
        }
    }

    private suspend fun onFailure(request: ActiveRequest, cause: IOException) {
        val id = request.submit.requestId
        val running = gate.decide { it.runningIds() }.mapNotNull { active[it]?.submit }
        surroundings.onEndpointFailure(running)
        if (request.isAtMostOnce) record.finish(id, null, monotonicMillis())
        release(request, null)
        request.buffer.finish(isWhole = false, "endpoint broke off: ${cause.message}")
        events.event(EventCode.REQUEST_FAILED, EventSubject(requestId = id)) { "${cause.message}" }
    }

    private fun release(request: ActiveRequest, firstByteMillis: Long?) {
        val now = monotonicMillis()
        val outcome = gate.decide { it.complete(request.submit.requestId, firstByteMillis, now) }
        if (outcome.turnedCold) {
            events.event(EventCode.ENDPOINT_COLD) {
                "first byte after $firstByteMillis ms; limit lowered"
            }
        }
        apply(outcome.effects)
    }

    private fun attach(request: ActiveRequest, connection: PeerConnection, offset: Long) {
        request.sender?.cancel()
        request.reader = connection
        request.sender = scope.launch { sendAnswer(request, connection, offset) }
    }

    private suspend fun onFetch(connection: PeerConnection, fetch: Fetch) {
        val request = active[fetch.requestId]
        if (request != null) {
            request.creditUntil.set(fetch.offset + fetch.creditBytes)
            attach(request, connection, fetch.offset)
            return
        }
        val outcome = record.query(fetch.requestId, monotonicMillis())
        answerKnown(connection, fetch.requestId, outcome, fetch.offset, fetch.creditBytes)
    }

    private suspend fun answerKnown(
        connection: PeerConnection,
        id: RequestId,
        outcome: Outcome,
        offset: Long,
        creditBytes: Long
    ) {
        when (outcome) {
            is Outcome.Barred -> connection.send(
                notRun(id, "barred", "the request was never submitted here")
            )
            is Outcome.DidNotRun -> connection.send(
                notRun(id, "turned-away", "the endpoint turned the request away")
            )
            is Outcome.Running -> active[id]?.let { attach(it, connection, offset) }
            is Outcome.Unknown -> connection.send(unknown(id, "the record of that time is gone"))
            is Outcome.Done -> {
                val answer = outcome.response
                if (answer == null) {
                    connection.send(unknown(id, "the request ran but its answer is not kept"))
                } else {
                    scope.launch { replay(connection, id, answer, offset, creditBytes) }
                }
            }
        }
    }

    private fun unknown(id: RequestId, detail: String): Refused =
        Refused(id, Ran.UNKNOWN, "outcome-unknown", detail, RETRY_AFTER_MILLIS)

    private suspend fun replay(
        connection: PeerConnection,
        id: RequestId,
        answer: RecordedResponse,
        offset: Long,
        creditBytes: Long
    ) {
        events.event(EventCode.REQUEST_REPLAYED, EventSubject(requestId = id)) {
            "answer served from the record"
        }
        val request = replayRequest(id, answer, offset, creditBytes)
        active[id] = request
        attach(request, connection, offset)
    }

    private fun replayRequest(
        id: RequestId,
        answer: RecordedResponse,
        offset: Long,
        creditBytes: Long
    ): ActiveRequest {
        val request = ActiveRequest(replaySubmit(id, creditBytes), RECORDED_ANSWER_MAX_BYTES)
        request.creditUntil.set(offset + creditBytes)
        request.buffer.putHead(AnswerHead(answer.status, answer.headers))
        request.buffer.append(answer.body)
        request.buffer.finish(isWhole = true)
        return request
    }

    private fun onCancel(request: ActiveRequest) {
        val id = request.submit.requestId
        request.sender?.cancel()
        if (request.isAtMostOnce) {
            if (request.buffer.end != null || request.refusal != null) active.remove(id)
            request.reader = null
            return
        }
        active.remove(id)
        gate.decide { it.cancelWaiting(id) }
        request.runner?.cancel()
    }

    private suspend fun tickLoop() {
        while (true) {
            delay(TICK_MILLIS)
            apply(gate.decide { it.tick(monotonicMillis()) })
            dropFinished()
        }
    }

    // At-most-once requests whose entry is gone end in the record alone.
    private fun dropFinished() {
        active.values
            .filter { it.isAtMostOnce && it.reader == null }
            .filter { it.buffer.end != null || it.refusal != null }
            .forEach { active.remove(it.submit.requestId, it) }
    }

    private class FirstByte {
        private var atMillis: Long? = null

        fun note() {
            if (atMillis == null) atMillis = monotonicMillis()
        }

        fun millisSince(startMillis: Long): Long? = atMillis?.let { it - startMillis }
    }
}
