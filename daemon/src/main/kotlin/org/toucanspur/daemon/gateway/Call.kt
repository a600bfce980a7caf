/*
 * One request of a caller, from its arrival to its answer. A call is sent to one endpoint at a
 * time; when that endpoint fails, the rules of its route say whether another may run it.
 */
package org.toucanspur.daemon.gateway

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.util.concurrent.ScheduledFuture
import java.io.ByteArrayOutputStream
import org.toucanspur.core.gateway.AttemptOutcome
import org.toucanspur.core.gateway.CallKind
import org.toucanspur.core.gateway.CallerRequestMetadata
import org.toucanspur.core.gateway.EndpointSignal
import org.toucanspur.core.gateway.EventStreamSplitter
import org.toucanspur.core.gateway.FleetEndpoint
import org.toucanspur.core.gateway.HeaderLine
import org.toucanspur.core.gateway.Organisation
import org.toucanspur.core.gateway.QueuedCall
import org.toucanspur.core.gateway.RequestCodec
import org.toucanspur.core.gateway.TrafficRoute
import org.toucanspur.core.gateway.TrafficService
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.RequestId

/** What a call asks of its dispatcher. */
interface CallHost {
    /** Reads and writes headers. */
    val codec: RequestCodec

    /** A send has ended with [outcome]; the call may go to another endpoint. */
    fun onSendFailed(call: Call, outcome: AttemptOutcome, reason: String)

    /** The answer of the endpoint is complete. */
    fun onAnswered(call: Call, status: Int)

    /** An endpoint shows [sign]. */
    fun onSignal(call: Call, endpoint: FleetEndpoint, sign: EndpointSignal)

    /** The endpoint's place is free again. */
    fun onPlaceFree(call: Call)

    /** Whether the call may be sent again after it may have run. */
    fun mayRepeat(call: Call): Boolean
}

/** A call in progress; confined to the event loop. */
class Call(
    val connection: CallerConnection,
    val request: ReadRequest,
    val id: RequestId,
    val metadata: CallerRequestMetadata,
    val route: TrafficRoute,
    val service: TrafficService,
    val organisation: Organisation?,
    private val host: CallHost
) : QueuedCall,
    ExchangeListener {
    /** Time after which the caller gets a final answer. */
    val deadlineMillis: Long = request.receivedMillis +
        minOf(route.timeoutMillis, metadata.remainingMillis ?: route.timeoutMillis)

    /** Endpoints that the call was sent to. */
    val tried = LinkedHashSet<EndpointId>()

    /** Sends after which an endpoint may have run the call. */
    var sends = 0
        private set

    /** Sends that reached no endpoint or were turned away. */
    var missed = 0
        private set

    override var untilMillis = 0L
    override var isOnTime = true

    /** Whether part of an answer has been given to the caller. */
    var isCommitted = false
        private set

    /** Whether the call has ended for the caller. */
    var isOver = false
        private set

    /** Last event that the caller has. */
    var lastEventId: String? = metadata.lastEventId
        private set

    /** The endpoint that works on the call. */
    var endpoint: FleetEndpoint? = null
        private set

    /** Time of the last sign of the endpoint, or of the send. */
    var lastProgressMillis = 0L
        private set

    /** Time of the first byte for the caller; 0 before it. */
    var firstByteMillis = 0L
        private set

    /** Whether some endpoint may have run the request. */
    var mayHaveRun = false

    /** Time to the first byte that the last placement predicted. */
    var predictedMillis = 0.0

    /** Timer of the deadline. */
    var deadlineTimer: ScheduledFuture<*>? = null

    private var exchange: EndpointExchange? = null
    private var head: HttpResponse? = null
    private var cutter: EventStreamSplitter? = null
    private var buffered = ByteArrayOutputStream(0)

    /** Whether a stream may go on at another endpoint. */
    val isResumable: Boolean get() = route.kind == CallKind.STREAM && route.isResumable

    /** Whether the call is at an endpoint. */
    val isSent: Boolean get() = exchange != null

    /** Sends the call to [target]. */
    fun send(target: FleetEndpoint, started: EndpointExchange, connectTimeoutMillis: Int) {
        endpoint = target
        exchange = started
        head = null
        cutter = null
        buffered = ByteArrayOutputStream(0)
        lastProgressMillis = monotonicMillis()
        target.onSend(lastProgressMillis)
        started.start(connectTimeoutMillis)
    }

    /** Takes the call away from its endpoint, which counts as a run. */
    fun withdraw() {
        exchange?.cancel()
        noteSent(AttemptOutcome.MAY_HAVE_RUN)
        release()
    }

    private fun noteSent(outcome: AttemptOutcome) {
        val target = endpoint ?: return
        tried += target.record.id
        if (outcome == AttemptOutcome.MAY_HAVE_RUN) sends++ else missed++
    }

    private fun release() {
        exchange = null
        endpoint?.let {
            it.onEnd()
            host.onPlaceFree(this)
        }
        endpoint = null
    }

    /** Ends the call without a further word to the caller. */
    fun end() {
        if (isOver) return
        isOver = true
        deadlineTimer?.cancel(false)
        exchange?.cancel()
        if (exchange != null) noteSent(AttemptOutcome.MAY_HAVE_RUN)
        release()
    }

    /** Answers the caller with a status of the system's own. */
    fun refuse(status: Int, headers: List<HeaderLine>, body: ByteArray) {
        if (isOver) return
        if (isCommitted) connection.abort() else connection.writeWhole(status, headers, body)
        end()
    }

    override fun onHead(exchange: EndpointExchange, response: HttpResponse) {
        if (exchange !== this.exchange) return
        lastProgressMillis = monotonicMillis()
        val status = response.status().code()
        val lookup = { name: String -> response.headers().get(name) }
        val answered = host.codec.requestIdOf(lookup)
        when {
            answered != null && answered != id -> onBroken("answer to another request")
            host.codec.isNotExecuted(status, lookup) -> onNotRun(status)
            status in SUCCESS && !host.codec.isSealed(lookup) -> onBroken("answer without a seal")
            isCommitted && status !in SUCCESS -> onBroken("status $status instead of a stream")
            status >= FIRST_SERVER_ERROR && route.isRepeatable && host.mayRepeat(this) ->
                onServerError(status)
            else -> accept(response, status)
        }
    }

    private fun accept(response: HttpResponse, status: Int) {
        val sign = if (status >= FIRST_SERVER_ERROR) {
            EndpointSignal.SERVER_ERROR
        } else {
            EndpointSignal.SUCCEEDED
        }
        endpoint?.let { host.onSignal(this, it, sign) }
        if (isCommitted) {
            cutter = EventStreamSplitter()
            return
        }
        head = response
        val type = response.headers().get(HttpHeaderNames.CONTENT_TYPE).orEmpty()
        val isStream = route.kind == CallKind.STREAM && status in SUCCESS
        if (isStream || type.startsWith(EVENT_STREAM)) cutter = EventStreamSplitter()
    }

    private fun onNotRun(status: Int) {
        val sign = if (status == MISDIRECTED) {
            EndpointSignal.ADDRESS_REUSED
        } else {
            EndpointSignal.OVERLOADED
        }
        val reason = "endpoint answered $status without running it"
        drop(sign, AttemptOutcome.TURNED_AWAY, reason)
    }

    private fun onServerError(status: Int) {
        drop(EndpointSignal.SERVER_ERROR, AttemptOutcome.MAY_HAVE_RUN, "endpoint answered $status")
    }

    private fun onBroken(reason: String) {
        drop(EndpointSignal.TRANSPORT_FAILURE, AttemptOutcome.MAY_HAVE_RUN, reason)
    }

    private fun drop(sign: EndpointSignal, outcome: AttemptOutcome, reason: String) {
        exchange?.cancel()
        endpoint?.let { host.onSignal(this, it, sign) }
        noteSent(outcome)
        release()
        host.onSendFailed(this, outcome, reason)
    }

    override fun onBody(exchange: EndpointExchange, bytes: ByteArray) {
        if (exchange !== this.exchange) return
        lastProgressMillis = monotonicMillis()
        val events = cutter
        if (events == null) bufferOrRelay(bytes) else relayEvents(events, bytes)
    }

    private fun relayEvents(events: EventStreamSplitter, bytes: ByteArray) {
        val batch = events.add(bytes)
        if (events.isOverflowing) {
            onBroken("event is too long")
            return
        }
        if (batch == null) return
        commit()
        batch.lastEventId?.let { lastEventId = it }
        connection.writePart(batch.bytes)
    }

    private fun bufferOrRelay(bytes: ByteArray) {
        if (isCommitted) {
            connection.writePart(bytes)
            return
        }
        buffered.write(bytes, 0, bytes.size)
        if (buffered.size() <= BUFFERED_MAX_BYTES) return
        commit()
        connection.writePart(buffered.toByteArray())
    }

    private fun commit() {
        if (isCommitted) return
        isCommitted = true
        firstByteMillis = monotonicMillis()
        val response = checkNotNull(head)
        connection.writeHead(response.status().code(), relayedHeaders(response))
    }

    override fun onEnd(exchange: EndpointExchange) {
        if (exchange !== this.exchange) return
        if ((cutter?.pendingBytes ?: 0) > 0) {
            onBroken("stream ended within an event")
            return
        }
        val response = head
        val status = response?.status()?.code() ?: OK
        noteSent(AttemptOutcome.MAY_HAVE_RUN)
        release()
        finish(response, status)
    }

    private fun finish(response: HttpResponse?, status: Int) {
        if (isCommitted) {
            connection.writeEnd()
        } else {
            firstByteMillis = monotonicMillis()
            val headers = response?.let(::relayedHeaders).orEmpty()
            connection.writeWhole(status, headers, buffered.toByteArray())
        }
        isOver = true
        deadlineTimer?.cancel(false)
        host.onAnswered(this, status)
    }

    override fun onFailure(exchange: EndpointExchange, wasSent: Boolean, reason: String) {
        if (exchange !== this.exchange) return
        val outcome = if (wasSent) AttemptOutcome.MAY_HAVE_RUN else AttemptOutcome.UNREACHED
        drop(EndpointSignal.TRANSPORT_FAILURE, outcome, reason)
    }

    /** Reads from the endpoint only as fast as the caller does. */
    fun setReading(isReading: Boolean) {
        exchange?.setReading(isReading)
    }

    private companion object {
        val SUCCESS = 200..299
        const val OK = 200
        const val MISDIRECTED = 421
        const val FIRST_SERVER_ERROR = 500
        const val EVENT_STREAM = "text/event-stream"

        // Answers up to this size are held until they are whole, so that a broken one can be
        // asked for again.
        const val BUFFERED_MAX_BYTES = 128 * 1024
    }
}
