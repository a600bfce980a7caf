/*
 * A caller's request from arrival to response. A call is sent to one endpoint at a time; if that
 * endpoint fails, the route configuration determines whether it may be sent to another one.
 */
package org.toucanspur.daemon.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.ScheduledFuture
import java.io.ByteArrayOutputStream
import org.toucanspur.core.gateway.AttemptOutcome
import org.toucanspur.core.gateway.AttemptTiming
import org.toucanspur.core.gateway.CallKind
import org.toucanspur.core.gateway.CallerRequestMetadata
import org.toucanspur.core.gateway.EndpointRun
import org.toucanspur.core.gateway.EndpointSignal
import org.toucanspur.core.gateway.EndpointStatement
import org.toucanspur.core.gateway.EventStreamSplitter
import org.toucanspur.core.gateway.FleetEndpoint
import org.toucanspur.core.gateway.HeaderLine
import org.toucanspur.core.gateway.NamedLimit
import org.toucanspur.core.gateway.Organisation
import org.toucanspur.core.gateway.RequestCodec
import org.toucanspur.core.gateway.TrafficRoute
import org.toucanspur.core.gateway.TrafficService
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.RequestId

/** Callbacks and services that a [Call] needs from its dispatcher. */
interface CallDelegate {
    /** Codec for request and response headers. */
    val codec: RequestCodec

    /** Observer of attempts that are lost. */
    val crashes: CrashObserver

    /** Called when an attempt ends with [outcome]; the call may be sent to another endpoint. */
    fun onAttemptFailed(call: Call, outcome: AttemptOutcome, reason: String)

    /** Called with the [statement] in the head of a response of [endpoint]. */
    fun onStatement(call: Call, endpoint: FleetEndpoint, statement: EndpointStatement)

    /** Called when the response of an [endpoint] that ran the request begins. */
    fun onResponseBegun(call: Call, endpoint: FleetEndpoint)

    /** Called once, when an endpoint has begun to run [call] for the first time. */
    fun onBegun(call: Call)

    /** Called when the response of the endpoint is complete. */
    fun onResponseComplete(call: Call, status: Int)

    /** Called when the outcome of an attempt gives an [observation] about [endpoint]. */
    fun onEndpointObservation(call: Call, endpoint: FleetEndpoint, observation: EndpointSignal)

    /** Called when the silent endpoint of [call] goes on while the call waits for another one. */
    fun onSilenceEnded(call: Call)

    /** Called when [call] buffers [bytes] of a response that cannot be relayed yet. */
    fun onBuffered(call: Call, bytes: Int)

    /** Called when the call no longer occupies capacity at its endpoint. */
    fun onCapacityFreed(call: Call)

    /** Whether the call may be retried although an endpoint may already have executed it. */
    fun mayRetry(call: Call): Boolean
}

/** An active call; confined to the event loop. */
class Call(
    val connection: CallerConnection,
    request: BufferedRequest,
    val id: RequestId,
    val metadata: CallerRequestMetadata,
    route: TrafficRoute,
    service: TrafficService,
    organisation: Organisation?,
    private val delegate: CallDelegate
) : RoutedCall(request, route, service, organisation),
    ExchangeListener {
    /** Time by which the caller receives a final response. */
    var deadlineMillis: Long = request.receivedMillis +
        minOf(route.timeoutMillis, metadata.remainingMillis ?: route.timeoutMillis)
        private set

    /** Endpoints to which the call was sent. */
    val tried = LinkedHashSet<EndpointId>()

    /** Number of attempts after which an endpoint may have executed the call. */
    var executedAttempts = 0
        private set

    /** Number of attempts that reached no endpoint or were refused without being executed. */
    var unexecutedAttempts = 0
        private set

    override var isCommitted = false
        private set

    /** Whether the call is finished from the point of view of the caller. */
    var isFinished = false
        private set

    /** Id of the last event written to the caller. */
    var lastEventId: String? = metadata.lastEventId
        private set

    /** Endpoint that is currently processing the call. */
    var endpoint: FleetEndpoint? = null
        private set

    /** What identifies the call when requests crash endpoints. */
    val fingerprints = CallFingerprints(this)

    /** Time at which the current or last attempt began. */
    var sentMillis = 0L
        private set

    /** Run of the endpoint to which the current or last attempt was sent. */
    var endpointRun: EndpointRun? = null
        private set

    /** Number of times that the current or last attempt received complete events. */
    var attemptEvents = 0
        private set

    /** Time at which the endpoint last sent data, or the start of the attempt if none was sent. */
    var lastProgressMillis = 0L
        private set

    /** Weight version on which the current response began; null while it is unknown. */
    var weightVersion: Long? = null
        private set

    /** Time at which the first response byte was written to the caller; 0 before that. */
    var firstByteMillis = 0L
        private set

    /** Whether any endpoint may have executed the request. */
    var mayHaveExecuted = false

    /** Time to first byte predicted by the last placement. */
    var predictedMillis = 0.0

    /** Lowest weight version allowed when the call was last sent. */
    var versionMin = 0L

    /** Timer that fires at the deadline. */
    var deadlineTimer: ScheduledFuture<*>? = null

    private var exchange: EndpointExchange? = null
    private var timing: AttemptTiming? = null
    private var responseHead: HttpResponse? = null
    private var eventSplitter: EventStreamSplitter? = null
    private var bufferedBody = ByteArrayOutputStream(0)
    private var isSealed = false
    private var isBegun = false
    private var committedMediaType = ""
    private var silentAttempt: SilentAttempt? = null

    /** Whether a stream may be resumed at another endpoint. */
    val isResumable: Boolean get() = route.kind == CallKind.STREAM && route.isResumable

    /** Whether the call is currently at an endpoint. */
    val isSent: Boolean get() = exchange != null

    /** Whether the call is at an endpoint that has not begun its response. */
    val isAwaitingResponse: Boolean
        get() = exchange != null && responseHead == null && eventSplitter == null

    /** Whether the endpoint of the attempt has begun a stream without crashing at its begin. */
    val hasProgressed: Boolean get() = attemptEvents >= PROGRESS_EVENTS

    /** Moves the deadline forward to [millis] if it is later than that. */
    fun limitDeadline(millis: Long) {
        deadlineMillis = minOf(deadlineMillis, millis)
    }

    /**
     * Sends the call to [target] through [newExchange], to start on [version] or any if 0. The
     * attempt is measured by [newTiming].
     */
    fun send(
        target: FleetEndpoint,
        newExchange: EndpointExchange,
        connectTimeoutMillis: Int,
        version: Long,
        newTiming: AttemptTiming
    ) {
        endpoint = target
        versionMin = version
        endpointRun = EndpointRun(target.record.id, target.record.startedAtMillis)
        exchange = newExchange
        timing = newTiming
        responseHead = null
        eventSplitter = null
        bufferedBody = ByteArrayOutputStream(0)
        weightVersion = null
        attemptEvents = 0
        sentMillis = monotonicMillis()
        lastProgressMillis = sentMillis
        target.onAttempt(sentMillis)
        newExchange.start(connectTimeoutMillis)
        if (!connection.isWritable) setReading(false)
    }

    /**
     * Leaves an endpoint that has gone silent, so that the call can be sent to another one. Within
     * a response, the attempt is kept: it is dropped when another endpoint has sent an event or a
     * whole response, and continues if its endpoint goes on first or if no other one takes the
     * call. The attempt that has come furthest is kept, which is the first one.
     */
    fun leaveSilentEndpoint() {
        val current = exchange ?: return
        val target = endpoint ?: return
        timing?.onMoved(target.hasSentSince(sentMillis), monotonicMillis())
        timing = null
        if (isAwaitingResponse || silentAttempt != null) {
            cancelAttempt()
            return
        }
        silentAttempt = SilentAttempt(
            target,
            endpointRun,
            current,
            sentMillis,
            versionMin,
            weightVersion,
            eventSplitter,
            attemptEvents,
            responseHead,
            bufferedBody,
            isSealed
        )
        recordAttempt(AttemptOutcome.MAY_HAVE_RUN)
        exchange = null
        endpoint = null
    }

    private fun dropSilentAttempt() {
        val kept = silentAttempt ?: return
        silentAttempt = null
        kept.exchange.cancel()
        kept.endpoint.onEnd()
        reportBuffered()
        delegate.onCapacityFreed(this)
    }

    // Reports the memory of the current and the silent attempt.
    private fun reportBuffered() {
        val current = if (isSent) eventSplitter?.capacityBytes ?: bufferedBody.size() else 0
        delegate.onBuffered(this, current + (silentAttempt?.bufferedBytes ?: 0))
    }

    /** Makes the silent attempt the current one again; returns false if there is none. */
    fun restoreSilentAttempt(): Boolean {
        val kept = silentAttempt ?: return false
        silentAttempt = null
        executedAttempts--
        endpoint = kept.endpoint
        endpointRun = kept.run
        exchange = kept.exchange
        sentMillis = kept.sentMillis
        versionMin = kept.versionMin
        weightVersion = kept.weightVersion
        eventSplitter = kept.eventSplitter
        attemptEvents = kept.attemptEvents
        responseHead = kept.responseHead
        bufferedBody = kept.bufferedBody
        isSealed = kept.isSealed
        reportBuffered()
        lastProgressMillis = monotonicMillis()
        return true
    }

    // Whether [source] is the exchange of the current attempt. A silent endpoint that goes on
    // before another one has responded makes its attempt the current one.
    private fun isCurrent(source: EndpointExchange): Boolean {
        if (source === exchange) return true
        if (source !== silentAttempt?.exchange) return false
        if (exchange == null) delegate.onSilenceEnded(this) else cancelAttempt()
        return restoreSilentAttempt()
    }

    /** Cancels the current attempt; the endpoint is assumed to have executed the call. */
    fun cancelAttempt() {
        exchange?.cancel()
        recordAttempt(AttemptOutcome.MAY_HAVE_RUN)
        releaseEndpoint()
    }

    /** Takes the call back from an endpoint that must not start it any more. */
    fun withdraw(reason: String) {
        cancelAttempt()
        delegate.onAttemptFailed(this, AttemptOutcome.MAY_HAVE_RUN, reason)
    }

    private fun recordAttempt(outcome: AttemptOutcome) {
        val target = endpoint ?: return
        tried += target.record.id
        if (outcome == AttemptOutcome.MAY_HAVE_RUN) executedAttempts++ else unexecutedAttempts++
    }

    private fun releaseEndpoint() {
        exchange = null
        timing?.close()
        timing = null
        reportBuffered()
        endpoint?.let {
            it.onEnd()
            delegate.onCapacityFreed(this)
        }
        endpoint = null
    }

    /** Gives up the buffered part of the response, because memory is short. */
    fun releaseBuffer() {
        if (silentAttempt != null) {
            dropSilentAttempt()
            return
        }
        if (eventSplitter == null && isSealed) {
            relayBuffer()
        } else {
            onBrokenResponse("no memory for an incomplete response")
        }
    }

    /** Ends the call without writing anything more to the caller. */
    fun cancel() {
        if (isFinished) return
        isFinished = true
        deadlineTimer?.cancel(false)
        exchange?.cancel()
        if (exchange != null) recordAttempt(AttemptOutcome.MAY_HAVE_RUN)
        releaseEndpoint()
        dropSilentAttempt()
    }

    /** Responds with an error generated by the gateway, or aborts a response already begun. */
    fun refuse(status: Int, headers: List<HeaderLine>, body: ByteArray) {
        if (isFinished) return
        if (isCommitted) connection.abort() else connection.writeResponse(status, headers, body)
        cancel()
    }

    override fun onHead(exchange: EndpointExchange, response: HttpResponse) {
        if (exchange !== this.exchange) return
        onHeard()
        val status = response.status().code()
        val lookup = { name: String -> response.headers().get(name) }
        val respondedId = delegate.codec.requestIdOf(lookup)
        weightVersion = delegate.codec.weightVersionOf(lookup)
        val isIdentified = respondedId == id || id.value.isEmpty()
        applyStatement(status, lookup, isIdentified)
        when {
            respondedId != null && respondedId != id -> onBrokenResponse(
                "answer to another request"
            )
            delegate.codec.isNotExecuted(status, lookup) ->
                // An endpoint may write an earlier refusal again; only its id shows that.
                if (isIdentified) {
                    onNotExecuted(status)
                } else {
                    onBrokenResponse("refusal without a request id")
                }
            status in SUCCESS && !delegate.codec.isSealed(lookup) ->
                onBrokenResponse("answer without a seal")
            isCommitted && !response.isStreamOf(committedMediaType) ->
                onBrokenResponse("status $status instead of the rest of the stream")
            status >= FIRST_SERVER_ERROR &&
                route.isRepeatable &&
                (silentAttempt != null || delegate.mayRetry(this)) -> onServerError(status)
            else -> acceptResponse(response, status)
        }
    }

    private fun applyStatement(status: Int, lookup: (String) -> String?, isIdentified: Boolean) {
        val statement = delegate.codec.statementOf(status, lookup)
        // A response lifts the limit only if it certainly comes from the endpoint.
        val isOwn = status != MISDIRECTED &&
            (delegate.codec.isSealed(lookup) || delegate.codec.isNotExecuted(status, lookup))
        val isLimitKnown = isIdentified && (isOwn || statement.limit != NamedLimit.None)
        val limit = if (isLimitKnown) statement.limit else NamedLimit.Unreadable
        endpoint?.let { delegate.onStatement(this, it, statement.copy(limit = limit)) }
    }

    private fun acceptResponse(response: HttpResponse, status: Int) {
        endpoint?.let { delegate.onResponseBegun(this, it) }
        endpoint?.let { delegate.onEndpointObservation(this, it, acceptedSignal(status)) }
        if (isCommitted) {
            eventSplitter = EventStreamSplitter()
            return
        }
        responseHead = response
        isSealed = delegate.codec.isSealed { response.headers().get(it) }
        // A stream has begun to run with its first event.
        if (isSealed && route.kind != CallKind.STREAM) markBegun()
        val type = response.headers().get(HttpHeaderNames.CONTENT_TYPE).orEmpty()
        val isStream = route.kind == CallKind.STREAM && status in SUCCESS
        if (isStream || type.startsWith(EVENT_STREAM)) eventSplitter = EventStreamSplitter()
    }

    private fun markBegun() {
        if (isBegun) return
        isBegun = true
        delegate.onBegun(this)
    }

    private fun onNotExecuted(status: Int) {
        val observation = notExecutedSignal(status, isVersionExpected = versionMin > 0)
        val reason = "endpoint answered $status without running it"
        failAttempt(observation, AttemptOutcome.TURNED_AWAY, reason)
    }

    private fun onServerError(status: Int) {
        endpoint?.let { delegate.onResponseBegun(this, it) }
        failAttempt(
            EndpointSignal.SERVER_ERROR,
            AttemptOutcome.MAY_HAVE_RUN,
            "endpoint answered $status"
        )
    }

    private fun onBrokenResponse(reason: String) {
        failAttempt(EndpointSignal.TRANSPORT_FAILURE, AttemptOutcome.MAY_HAVE_RUN, reason)
    }

    private fun failAttempt(observation: EndpointSignal, outcome: AttemptOutcome, reason: String) {
        exchange?.cancel()
        endpoint?.let {
            delegate.onEndpointObservation(this, it, observation)
            val wasLost = observation == EndpointSignal.TRANSPORT_FAILURE &&
                outcome == AttemptOutcome.MAY_HAVE_RUN
            if (wasLost) delegate.crashes.onLost(this)
        }
        recordAttempt(outcome)
        releaseEndpoint()
        delegate.onAttemptFailed(this, outcome, reason)
    }

    override fun onBody(exchange: EndpointExchange, bytes: ByteArray) {
        if (!isCurrent(exchange)) return
        onHeard()
        val events = eventSplitter
        if (events == null) bufferOrRelay(bytes) else relayEvents(events, bytes)
        if (exchange === this.exchange) reportBuffered()
    }

    private fun onHeard() {
        lastProgressMillis = monotonicMillis()
        endpoint?.onHeard(lastProgressMillis)
    }

    private fun relayEvents(events: EventStreamSplitter, bytes: ByteArray) {
        val batch = events.add(bytes)
        if (events.isOverflowing) {
            onBrokenResponse("event is too long")
            return
        }
        if (batch == null) return
        markBegun()
        commit()
        attemptEvents++
        timing?.onEvents(lastProgressMillis)
        if (attemptEvents == PROGRESS_EVENTS) delegate.crashes.onProgress(this)
        batch.lastEventId?.let { lastEventId = it }
        connection.writeChunk(batch.bytes)
        // May end the current attempt too, if memory is short.
        dropSilentAttempt()
    }

    private fun bufferOrRelay(bytes: ByteArray) {
        if (isCommitted) {
            connection.writeChunk(bytes)
            return
        }
        bufferedBody.write(bytes, 0, bytes.size)
        if (bufferedBody.size() <= BUFFERED_MAX_BYTES) return
        if (!isSealed) {
            onBrokenResponse("response without a seal is too long")
            return
        }
        relayBuffer()
    }

    private fun relayBuffer() {
        commit()
        connection.writeChunk(bufferedBody.toByteArray())
        bufferedBody = ByteArrayOutputStream(0)
        dropSilentAttempt()
        reportBuffered()
    }

    private fun commit() {
        if (isCommitted) return
        isCommitted = true
        firstByteMillis = monotonicMillis()
        val response = checkNotNull(responseHead)
        committedMediaType = response.mediaType()
        connection.writeResponseHead(response.status().code(), relayedHeaders(response))
    }

    override fun onEnd(exchange: EndpointExchange) {
        val silent = silentAttempt?.takeIf { it.exchange === exchange }
        if (silent?.isComplete == false) dropSilentAttempt()
        if (silent?.isComplete == true) isCurrent(exchange)
        if (exchange !== this.exchange) return
        if (responseHead == null && !isCommitted) {
            onBrokenResponse("response without a head")
            return
        }
        val events = eventSplitter
        if (events != null && events.isInsideEvent) {
            onBrokenResponse("stream ended within an event")
            return
        }
        if (events != null && events.pendingBytes > 0) bufferOrRelay(events.remainder())
        val response = responseHead
        val status = response?.status()?.code() ?: OK
        if (status in SUCCESS) delegate.crashes.onComplete(this)
        timing?.onComplete(status in SUCCESS, monotonicMillis())
        recordAttempt(AttemptOutcome.MAY_HAVE_RUN)
        releaseEndpoint()
        complete(response, status)
    }

    private fun complete(response: HttpResponse?, status: Int) {
        dropSilentAttempt()
        if (isCommitted) {
            connection.writeLastChunk()
        } else {
            firstByteMillis = monotonicMillis()
            val headers = response?.let(::relayedHeaders).orEmpty()
            connection.writeResponse(status, headers, bufferedBody.toByteArray())
        }
        isFinished = true
        deadlineTimer?.cancel(false)
        delegate.onResponseComplete(this, status)
    }

    override fun onFailure(exchange: EndpointExchange, stage: FailureStage, reason: String) {
        if (exchange === silentAttempt?.exchange) dropSilentAttempt()
        if (exchange !== this.exchange) return
        val now = monotonicMillis()
        if (stage == FailureStage.REFUSED) endpoint?.onConnectionRefused(now)
        if (stage != FailureStage.SENT) endpoint?.onSlowPath(now)
        val outcome = if (stage == FailureStage.SENT) {
            AttemptOutcome.MAY_HAVE_RUN
        } else {
            AttemptOutcome.UNREACHED
        }
        failAttempt(EndpointSignal.TRANSPORT_FAILURE, outcome, reason)
    }

    /** Starts or stops reading from the endpoint, to apply the backpressure of the caller. */
    fun setReading(isReading: Boolean) {
        // The silence of the endpoint counts from here: nothing was read from it before.
        if (isReading) lastProgressMillis = monotonicMillis()
        // What arrives after a pause shows the speed of the caller, not of the endpoint.
        if (!isReading) timing?.close()
        exchange?.setReading(isReading)
        silentAttempt?.exchange?.setReading(isReading)
    }

    private companion object {
        val SUCCESS = 200..299
        const val OK = 200

        // An endpoint may crash right after the first event.
        const val PROGRESS_EVENTS = 2
        const val EVENT_STREAM = "text/event-stream"

        // Responses up to this size are buffered until they are complete, so that the request can
        // be retried if the response breaks off.
        const val BUFFERED_MAX_BYTES = 128 * 1024
    }
}

private const val MISDIRECTED = 421
private const val FIRST_SERVER_ERROR = 500

private fun acceptedSignal(status: Int): EndpointSignal =
    if (status >= FIRST_SERVER_ERROR) EndpointSignal.SERVER_ERROR else EndpointSignal.SUCCEEDED

private fun notExecutedSignal(status: Int, isVersionExpected: Boolean): EndpointSignal = when {
    status != MISDIRECTED -> EndpointSignal.OVERLOADED
    isVersionExpected -> EndpointSignal.OTHER_VERSION
    else -> EndpointSignal.ADDRESS_REUSED
}

private fun HttpResponse.mediaType(): String = headers().get(HttpHeaderNames.CONTENT_TYPE)
    .orEmpty()
    .substringBefore(';')
    .trim()
    .lowercase()

private fun HttpResponse.isStreamOf(mediaType: String): Boolean =
    status().code() == HttpResponseStatus.OK.code() && mediaType() == mediaType
