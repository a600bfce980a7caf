/*
 * Accepts requests from entries, applies admission control, runs them at the endpoint and records
 * their outcomes, so that an at-most-once request id runs no more than once.
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
private const val RECORDED_RESPONSE_MAX_BYTES = 1024 * 1024
private const val RESUME_GRACE_MILLIS = 10_000L
private const val STALL_TIMEOUT_MILLIS = 250L
private const val TICK_MILLIS = 200L

// An engine detects a cancelled call with a delay, and the call occupies a slot there until then.
private const val CANCEL_GRACE_MILLIS = 100L
private const val RETRY_AFTER_MILLIS = 1000L
private const val HTTP_SERVICE_UNAVAILABLE = 503

/** Endpoint state and callbacks that [RequestService] needs from its agent. */
interface RequestServiceContext {
    /** Reason to refuse [submit], or null when the endpoint accepts it. */
    fun refusalReason(submit: Submit): String?

    /** Whether the endpoint can continue a response from a byte offset. */
    val canResume: Boolean

    /** Poison status of requests with [fingerprint], from their crash count. */
    fun poisonStatusOf(fingerprint: String): PoisonStatus

    /**
     * Called when a call to the endpoint failed. After a crash, returns once it is added to the
     * crash counts of the [running] requests.
     */
    suspend fun onEndpointFailure(running: Collection<Submit>)

    /** Called when the response to a request is complete. */
    suspend fun onFinished(submit: Submit)
}

/** The engine refused a request before executing it. */
private class EngineUnavailableException(message: String) : IOException(message)

/** Runs the requests that entries submit to one agent. */
class RequestService(
    private val scope: CoroutineScope,
    private val incarnation: Incarnation,
    private val endpoint: EndpointClient,
    private val streams: StreamsSection,
    gateSettings: AdmissionSettings,
    shareOf: (OrganisationId) -> Int,
    private val context: RequestServiceContext,
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

    /** Current load of the admission gate. */
    fun load(): AdmissionLoad = gate.decide { it.load() }

    /** Response bytes buffered for all requests. */
    fun heldBytes(): Long = active.values.sumOf { it.buffer.heldBytes }

    /** Number of requests that run or whose responses are not delivered yet. */
    fun activeCount(): Int = active.size

    /** Highest number of concurrently running requests since the start. */
    fun peakRunning(): Int = peakRunning.get()

    /** Applies changed limits to the admission gate. */
    fun configure(settings: AdmissionSettings) = gate.decide { it.configure(settings) }

    /** Opens or closes the admission gate; it is open while the endpoint is routable. */
    fun setOpen(isOpen: Boolean) =
        applyEffects(gate.decide { it.setOpen(isOpen, monotonicMillis()) })

    /** Resets the concurrency limit to that of a cold endpoint. */
    fun resetToColdLimit() = gate.decide { it.onColdSignal() }

    /** Stops accepting requests and refuses the waiting ones as not executed. */
    fun drain() = applyEffects(gate.decide { it.drain() })

    /** Accepts requests again. */
    fun undrain() = gate.decide { it.undrain() }

    /** Handles the frames of requests and responses; returns false for all others. */
    suspend fun onFrame(connection: PeerConnection, frame: Frame): Boolean {
        when (frame) {
            is Submit -> onSubmit(connection, frame)
            is Fetch -> onFetch(connection, frame)
            is Credit ->
                active[frame.requestId]?.extendCredit(frame.untilOffset, windowBytes.toLong())
            is Cancel -> active[frame.requestId]?.let(::onCancel)
            else -> return false
        }
        return true
    }

    /**
     * Handles the requests of a lost connection that the entry does not resume in time:
     * at-most-once requests are only detached, all others are cancelled.
     */
    fun onClosed(connection: PeerConnection) {
        val orphans = active.values.filter { it.entryConnection === connection }
        orphans.forEach { it.senderJob?.cancel() }
        scope.launch {
            delay(RESUME_GRACE_MILLIS)
            orphans.filter { it.entryConnection === connection }.forEach(::onCancel)
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
            val knownOutcome = record.begin(submit.requestId, monotonicMillis())
            if (knownOutcome != null) {
                sendKnownOutcome(connection, submit.requestId, knownOutcome, 0, submit.creditBytes)
                return
            }
        }
        val request = ActiveRequest(submit, bufferBytes(submit))
        active[submit.requestId] = request
        attach(request, connection, submit.resumeOffset)
        request.runJob = scope.launch(start = CoroutineStart.LAZY) { run(request) }
        requestAdmission(request)
        request.runJob?.start()
    }

    private fun bufferBytes(submit: Submit): Int =
        if (submit.delivery == Delivery.AT_MOST_ONCE) RECORDED_RESPONSE_MAX_BYTES else windowBytes

    private fun refusalOf(submit: Submit): Refused? {
        val reason = when {
            submit.incarnation != incarnation ->
                "agent incarnation ${submit.incarnation} has ended; choose another endpoint"
            else -> context.refusalReason(submit)
        }
        if (reason != null) return notExecutedRefusal(submit.requestId, "not-accepting", reason)
        if (context.poisonStatusOf(submit.fingerprint) == PoisonStatus.REFUSED) {
            return notExecutedRefusal(
                submit.requestId,
                "poison",
                "the same request has crashed two endpoints; change the request"
            )
        }
        return null
    }

    private fun notExecutedRefusal(id: RequestId, kind: String, detail: String): Refused =
        Refused(id, Ran.NO, kind, detail, RETRY_AFTER_MILLIS)

    private fun requestAdmission(request: ActiveRequest) {
        val submit = request.submit
        request.admission = CompletableDeferred()
        val gateRequest = AdmissionRequest(
            submit.requestId,
            submit.organisation,
            submit.priority,
            submit.body.size.toLong(),
            request.deadlineMillis,
            context.poisonStatusOf(submit.fingerprint) == PoisonStatus.RUNS_EXCLUSIVELY
        )
        applyEffects(gate.decide { it.offer(gateRequest, monotonicMillis()) })
    }

    private fun applyEffects(effects: List<AdmissionEffect>) = effects.forEach { effect ->
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
        val detail = "the endpoint refused the request before it ran ($kind); retry later"
        request.refusal = Refused(id, Ran.NO, kind, detail, decision.retryAfterMillis)
        request.buffer.signal()
        events.event(EventCode.REQUEST_REFUSED, EventSubject(requestId = id)) { detail }
    }

    private suspend fun execute(request: ActiveRequest) {
        peakRunning.accumulateAndGet(load().running, ::maxOf)
        val startMillis = monotonicMillis()
        val firstByte = FirstByteTimer()
        val recorded = ByteArrayOutputStream()
        try {
            val isComplete = produce(request, recorded, firstByte)
            finish(request, recorded, isComplete)
            releaseSlot(request, firstByte.millisSince(startMillis).takeIf { isComplete })
        } catch (e: EngineUnavailableException) {
            onUnavailable(request, e)
        } catch (e: IOException) {
            onFailure(request, e)
        } catch (e: CancellationException) {
            scope.launch {
                delay(CANCEL_GRACE_MILLIS)
                releaseSlot(request, null)
            }
            throw e
        }
    }

    private suspend fun produce(
        request: ActiveRequest,
        recorded: ByteArrayOutputStream,
        firstByte: FirstByteTimer
    ): Boolean {
        while (true) {
            val response = endpoint.open(endpointCall(request))
            if (isEngineUnavailable(request, response)) {
                response.body.cancel()
                throw EngineUnavailableException("engine returned status ${response.head.status}")
            }
            if (request.buffer.head == null) request.buffer.putHead(response.head)
            val hasEnded = copyUntilStalled(request, response.body, recorded, firstByte)
            if (hasEnded) return true
            response.body.cancel()
            pauseUntilDrained(request)
        }
    }

    // A restarted engine responds with 503 until it has loaded its weights again. A request that it
    // refuses this way was not executed.
    private fun isEngineUnavailable(request: ActiveRequest, response: EndpointResponse): Boolean =
        response.head.status == HTTP_SERVICE_UNAVAILABLE &&
            request.buffer.head == null &&
            context.canResume &&
            !request.isAtMostOnce

    private suspend fun onUnavailable(request: ActiveRequest, cause: EngineUnavailableException) {
        val id = request.submit.requestId
        refused.increment()
        context.onEndpointFailure(emptyList())
        releaseSlot(request, null)
        val detail = "the endpoint has no weights loaded; the request did not run"
        request.refusal = Refused(id, Ran.NO, "unavailable", detail, RETRY_AFTER_MILLIS)
        request.buffer.signal()
        events.event(EventCode.REQUEST_REFUSED, EventSubject(requestId = id)) {
            "$detail (${cause.message})"
        }
    }

    /** Copies [body] to the buffer; returns true at its end, false when the reader has stalled. */
    private suspend fun copyUntilStalled(
        request: ActiveRequest,
        body: BodySource,
        recorded: ByteArrayOutputStream,
        firstByte: FirstByteTimer
    ): Boolean {
        while (true) {
            val bytes = body.next() ?: return true
            firstByte.mark()
            if (request.isAtMostOnce &&
                recorded.size() + bytes.size <= RECORDED_RESPONSE_MAX_BYTES
            ) {
                recorded.write(bytes)
            }
            request.buffer.append(bytes)
            if (request.buffer.hasRoom()) continue
            if (!context.canResume || request.isAtMostOnce) {
                request.buffer.awaitRoom()
            } else {
                withTimeoutOrNull(STALL_TIMEOUT_MILLIS) { request.buffer.awaitRoom() }
                    ?: return false
            }
        }
    }

    // A paused request keeps its buffered window but occupies no slot at the endpoint.
    private suspend fun pauseUntilDrained(request: ActiveRequest) {
        val id = request.submit.requestId
        delay(CANCEL_GRACE_MILLIS)
        releaseSlot(request, null)
        request.buffer.awaitRoom()
        while (true) {
            requestAdmission(request)
            if (request.admission.await() is AdmissionEffect.Run) break
            delay(RETRY_AFTER_MILLIS)
        }
        events.event(EventCode.REQUEST_RESUMED, EventSubject(requestId = id)) {
            "engine resumes the response at offset ${request.buffer.producedOffset}"
        }
    }

    private fun endpointCall(request: ActiveRequest): EndpointCall {
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
        isComplete: Boolean
    ) {
        val id = request.submit.requestId
        if (request.isAtMostOnce) {
            val head = request.buffer.head
            val isFullyRecorded = recorded.size().toLong() == request.buffer.producedOffset
            val response = head?.takeIf { isFullyRecorded && isComplete }
                ?.let { RecordedResponse(it.status, it.headers, recorded.toByteArray()) }
            record.finish(id, response, monotonicMillis())
        }
        request.buffer.finish(isComplete)
        finished.increment()
        context.onFinished(request.submit)
        events.event(EventCode.REQUEST_ANSWERED, EventSubject(requestId = id)) {
            "endpoint response ended at offset ${request.buffer.producedOffset}"
        }
    }

    private suspend fun onFailure(request: ActiveRequest, cause: IOException) {
        val id = request.submit.requestId
        val running = gate.decide { it.runningIds() }.mapNotNull { active[it]?.submit }
        context.onEndpointFailure(running)
        if (request.isAtMostOnce) record.finish(id, null, monotonicMillis())
        releaseSlot(request, null)
        request.buffer.finish(isWhole = false, "call to the endpoint failed: ${cause.message}")
        events.event(EventCode.REQUEST_FAILED, EventSubject(requestId = id)) { "${cause.message}" }
    }

    private fun releaseSlot(request: ActiveRequest, firstByteMillis: Long?) {
        val now = monotonicMillis()
        val outcome = gate.decide { it.complete(request.submit.requestId, firstByteMillis, now) }
        if (outcome.turnedCold) {
            events.event(EventCode.ENDPOINT_COLD) {
                "first byte after $firstByteMillis ms; concurrency limit reset"
            }
        }
        applyEffects(outcome.effects)
    }

    private fun attach(request: ActiveRequest, connection: PeerConnection, offset: Long) {
        request.senderJob?.cancel()
        request.entryConnection = connection
        request.senderJob = scope.launch { sendResponse(request, connection, offset) }
    }

    private suspend fun onFetch(connection: PeerConnection, fetch: Fetch) {
        val request = active[fetch.requestId]
        if (request != null) {
            request.creditUntil.set(fetch.offset + fetch.creditBytes)
            attach(request, connection, fetch.offset)
            return
        }
        val outcome = record.query(fetch.requestId, monotonicMillis())
        sendKnownOutcome(connection, fetch.requestId, outcome, fetch.offset, fetch.creditBytes)
    }

    private suspend fun sendKnownOutcome(
        connection: PeerConnection,
        id: RequestId,
        outcome: Outcome,
        offset: Long,
        creditBytes: Long
    ) {
        when (outcome) {
            is Outcome.Barred -> connection.send(
                notExecutedRefusal(id, "barred", "the request was never submitted to this agent")
            )
            is Outcome.DidNotRun -> connection.send(
                notExecutedRefusal(
                    id,
                    "turned-away",
                    "the endpoint refused the request before it ran"
                )
            )
            is Outcome.Running -> active[id]?.let { attach(it, connection, offset) }
            is Outcome.Unknown -> connection.send(
                unknownOutcomeRefusal(id, "the outcome record of that time was dropped")
            )
            is Outcome.Done -> {
                val response = outcome.response
                if (response == null) {
                    connection.send(
                        unknownOutcomeRefusal(id, "the request ran but its response is not kept")
                    )
                } else {
                    scope.launch {
                        sendRecordedResponse(connection, id, response, offset, creditBytes)
                    }
                }
            }
        }
    }

    private fun unknownOutcomeRefusal(id: RequestId, detail: String): Refused =
        Refused(id, Ran.UNKNOWN, "outcome-unknown", detail, RETRY_AFTER_MILLIS)

    private suspend fun sendRecordedResponse(
        connection: PeerConnection,
        id: RequestId,
        response: RecordedResponse,
        offset: Long,
        creditBytes: Long
    ) {
        events.event(EventCode.REQUEST_REPLAYED, EventSubject(requestId = id)) {
            "response sent from the outcome record"
        }
        val request = recordedRequest(id, response, offset, creditBytes)
        active[id] = request
        attach(request, connection, offset)
    }

    private fun recordedRequest(
        id: RequestId,
        response: RecordedResponse,
        offset: Long,
        creditBytes: Long
    ): ActiveRequest {
        val request = ActiveRequest(placeholderSubmit(id, creditBytes), RECORDED_RESPONSE_MAX_BYTES)
        request.creditUntil.set(offset + creditBytes)
        request.buffer.putHead(ResponseHead(response.status, response.headers))
        request.buffer.append(response.body)
        request.buffer.finish(isWhole = true)
        return request
    }

    private fun onCancel(request: ActiveRequest) {
        val id = request.submit.requestId
        request.senderJob?.cancel()
        if (request.isAtMostOnce) {
            if (request.buffer.end != null || request.refusal != null) active.remove(id)
            request.entryConnection = null
            return
        }
        active.remove(id)
        gate.decide { it.cancelWaiting(id) }
        request.runJob?.cancel()
    }

    private suspend fun tickLoop() {
        while (true) {
            delay(TICK_MILLIS)
            applyEffects(gate.decide { it.tick(monotonicMillis()) })
            dropFinished()
        }
    }

    // A finished at-most-once request without a connection stays available in the outcome record.
    private fun dropFinished() {
        active.values
            .filter { it.isAtMostOnce && it.entryConnection == null }
            .filter { it.buffer.end != null || it.refusal != null }
            .forEach { active.remove(it.submit.requestId, it) }
    }

    private class FirstByteTimer {
        private var atMillis: Long? = null

        fun mark() {
            if (atMillis == null) atMillis = monotonicMillis()
        }

        fun millisSince(startMillis: Long): Long? = atMillis?.let { it - startMillis }
    }
}
