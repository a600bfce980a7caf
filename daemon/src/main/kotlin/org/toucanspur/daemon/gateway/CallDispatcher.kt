/*
 * Decides whether each request is refused, queued, sent or retried. Policies that need no I/O
 * are in the core module; this class applies them to the state of the entry.
 */
package org.toucanspur.daemon.gateway

import io.netty.handler.codec.http.HttpRequest
import java.net.InetSocketAddress
import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.AttemptHistory
import org.toucanspur.core.gateway.AttemptOutcome
import org.toucanspur.core.gateway.CallExplanation
import org.toucanspur.core.gateway.CallerRequestMetadata
import org.toucanspur.core.gateway.EndpointRequestMetadata
import org.toucanspur.core.gateway.EndpointSignal
import org.toucanspur.core.gateway.EndpointStatement
import org.toucanspur.core.gateway.FleetEndpoint
import org.toucanspur.core.gateway.GracePeriod
import org.toucanspur.core.gateway.Placement
import org.toucanspur.core.gateway.RequestCodec
import org.toucanspur.core.gateway.ResponseMemory
import org.toucanspur.core.gateway.RetryDecision
import org.toucanspur.core.gateway.WaitPolicy
import org.toucanspur.core.gateway.decideRetry
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.net.NettyEventLoop
import org.toucanspur.schema.RequestId

/** Dispatches the requests of one entry; confined to the event loop. */
class CallDispatcher(
    private val loop: NettyEventLoop,
    private val state: GatewayState,
    override val codec: RequestCodec,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
    waitingMaxBytes: Long = Runtime.getRuntime().maxMemory() / WAITING_MEMORY_SHARE,
    responseMemoryBytes: Long = Runtime.getRuntime().maxMemory() / RESPONSE_MEMORY_SHARE
) : CallDelegate {
    private val admission = CallAdmission(state)
    private val versions = CallVersions(state, log, metrics)
    private val overload = OverloadControl(state)
    private val placements = CallPlacement(state, versions, overload)
    private val statements = EndpointStatements(log)
    private val callLog = CallLog(log, state)
    private val speeds = EndpointSpeeds(state, log)
    override val crashes = CrashObserver(state, log, metrics)
    private val refusals = RefusalPolicy(state, placements, overload)
    private val queue = CallScheduler(placements, overload, waitingMaxBytes)
    private val decider = CallDecider(placements, queue, statements)
    private val explainer = CallExplainer(
        state,
        admission,
        CallExplainer.Steps(refusals, overload, decider, queue),
        this
    )
    private val responseMemory = ResponseMemory<Call>(responseMemoryBytes)
    private val activeCalls = LinkedHashSet<Call>()
    private var grace: GracePeriod? = null

    /** Number of requests without a final response. */
    val activeCount: Int get() = activeCalls.size

    /** Bytes of responses that cannot be relayed yet. */
    val bufferedBytes: Long get() = responseMemory.totalBytes

    init {
        loop.scheduleRepeating("dispatch", TICK_MILLIS, ::tick)
    }

    /** Handles a completely received request. Returns its call, or null if it was not admitted. */
    fun onRequest(connection: CallerConnection, request: BufferedRequest): Call? =
        runCatching { admit(connection, request) }.getOrElse { cause ->
            loop.onTaskFailed("admission", cause)
            // Nothing has been sent yet. An idle connection has its response already.
            if (!connection.isIdle) {
                val refusal = Refusal(UNAVAILABLE, INTERNAL_ERROR, SHORT_RETRY_MILLIS)
                connection.writeResponse(refusal.status, emptyList(), refusal.body())
            }
            null
        }

    private fun admit(connection: CallerConnection, request: BufferedRequest): Call? {
        val metadata = codec.decode { request.head.headers().get(it) }
        return when (val admitted = admission.admit(request, metadata)) {
            is Admission.Refused -> {
                refuseUnadmitted(connection, metadata, admitted.refusal)
                null
            }
            is Admission.Admitted -> if (canFinish(admitted, metadata)) {
                start(connection, request, metadata, admitted)
            } else {
                val refusal = Refusal(UNAVAILABLE, "entry is stopping", SHORT_RETRY_MILLIS)
                refuseUnadmitted(connection, metadata, refusal)
                null
            }
        }
    }

    private fun canFinish(admitted: Admission.Admitted, metadata: CallerRequestMetadata): Boolean =
        grace?.admits(
            admitted.route,
            admitted.service,
            monotonicMillis(),
            metadata.remainingMillis
        ) ?: true

    private fun start(
        connection: CallerConnection,
        request: BufferedRequest,
        metadata: CallerRequestMetadata,
        admitted: Admission.Admitted
    ): Call {
        val id = metadata.requestId ?: RequestId("")
        val call = Call(
            connection,
            request,
            id,
            metadata,
            admitted.route,
            admitted.service,
            admitted.organisation,
            this
        )
        activeCalls += call
        call.isOnTime = refusals.isOnTime(call)
        call.costMillis = state.exchange.costMillis(call)
        state.exchange.onRequest(call)
        state.retryAllowance(call.service.id).onRequest(monotonicMillis())
        grace?.let { call.limitDeadline(it.endMillis) }
        scheduleDeadline(call)
        guarded(call) {
            refusals.shareRefusal(call)?.let { refuse(call, it) } ?: sendOrQueue(call)
        }
        return call
    }

    /**
     * Ends all requests within [period]. Those that arrive from now on and cannot be served in that
     * time are refused.
     */
    fun beginStopping(period: GracePeriod) {
        grace = period
        activeCalls.forEach {
            it.limitDeadline(period.endMillis)
            scheduleDeadline(it)
        }
    }

    /** Whether calls wait for a service whose endpoints serve without loading weights first. */
    fun isEndpointAwaited(): Boolean = state.configuration?.services.orEmpty().values
        .any { it.models.isEmpty() && queue.sizeOf(it.id) > 0 }

    private fun sendOrQueue(call: Call) {
        val now = monotonicMillis()
        crashes.refusal(call, now)?.let {
            refuse(call, it)
            return
        }
        val decision = decider.decide(call, now)
        when (decision) {
            is CallDecision.Send -> {
                queue.onPlacedAtOnce(call)
                send(call, decision.placement)
                return
            }
            is CallDecision.Fail -> failUnplaced(call, decision.placement, decision.cause)
            is CallDecision.Wait -> if (queue.add(call)) metrics.queued.increment()
        }
        if (decision.placement is Placement.Send) drainQueue()
    }

    /** What would be done now with a request of [head], which is not sent. Has no effect. */
    fun explain(head: HttpRequest): CallExplanation =
        state.random.detached { explainer.explain(head, ::canFinish) }

    private fun failUnplaced(call: Call, placement: Placement, cause: RefusalCause? = null) =
        if (call.mayHaveExecuted) {
            fail(call, "no endpoint for another send")
        } else {
            refuse(call, refusals.unplaced(call, placement, cause))
        }

    private fun send(call: Call, placement: Placement.Send) {
        val now = monotonicMillis()
        refusalBeforeSend(call, now)?.let {
            refuse(call, it)
            return
        }
        crashes.onSend(call, now)
        val endpoint = placement.endpoint
        val versionMin = versions.versionMin(call, now)
        val isResumed = call.isResumable && call.isCommitted
        val metadata = EndpointRequestMetadata(
            endpoint = endpoint.record.id,
            remainingMillis = maxOf(1, call.deadlineMillis - now),
            organisation = call.organisation?.id,
            urgency = WaitPolicy.urgency(
                call.isOnTime || call.isCommitted,
                call.organisation?.priority ?: call.route.priority
            ),
            expectedVersion = versions.expectedVersion(endpoint, versionMin, now),
            lastEventId = if (isResumed) call.lastEventId else call.metadata.lastEventId
        )
        val request = EndpointRequest(
            InetSocketAddress(endpoint.record.host, endpoint.record.port),
            endpointHead(call.request, metadata, codec),
            call.request.body
        )
        val isRetry = call.executedAttempts + call.unexecutedAttempts > 0
        if (isRetry) metrics.retried.increment()
        callLog.onSend(call, placement, isResumed) {
            versions.describe(this, call, endpoint, versionMin)
        }
        call.predictedMillis = placement.firstByteMillis
        val listener = GuardedExchangeListener(call) { onInternalError(call, it) }
        val exchange = EndpointExchange(loop, request, listener)
        val timing = speeds.begin(call, placement, now)
        call.send(endpoint, exchange, CONNECT_TIMEOUT_MILLIS, versionMin, timing)
    }

    private fun refusalBeforeSend(call: Call, nowMillis: Long): Refusal? {
        // What an endpoint may have begun for the organisation is completed for it.
        val keyRefusal = if (call.mayHaveExecuted) null else admission.keyRefusal(call)
        return keyRefusal ?: crashes.refusal(call, nowMillis)
    }

    // A call whose response has begun at a silent endpoint is not ended for want of another one.
    private fun refuse(call: Call, refusal: Refusal) {
        if (!call.restoreSilentAttempt()) end(call, refusal)
    }

    // Status 503 guarantees that the request was not executed, so it is used only if no endpoint
    // may have executed the request.
    private fun end(call: Call, refusal: Refusal) {
        if (call.isFinished) return
        callLog.onRefused(call, refusal, queue.size)
        if (refusal.status == UNAVAILABLE) state.exchange.onRefused(call)
        metrics.onRefused(refusal.status)
        metrics.onCallRefused(call.priority, refusal.cause)
        call.refuse(refusal.status, refusal.headers(codec, call.id), refusal.body())
        activeCalls -= call
    }

    private fun refuseUnadmitted(
        connection: CallerConnection,
        metadata: CallerRequestMetadata,
        refusal: Refusal
    ) {
        val id = metadata.requestId ?: RequestId("")
        callLog.onUnadmitted(id, refusal)
        metrics.onRefused(refusal.status)
        connection.writeResponse(
            refusal.status,
            refusal.headers(codec, id),
            refusal.body()
        )
    }

    override fun mayRetry(call: Call): Boolean {
        if (call.executedAttempts + 1 >= call.route.endpointsMax) return false
        return refusals.mayRetry(call)
    }

    override fun onAttemptFailed(call: Call, outcome: AttemptOutcome, reason: String) {
        if (call.isFinished) return
        callLog.onAttemptFailed(call, outcome, reason)
        val history =
            AttemptHistory(
                call.executedAttempts,
                call.unexecutedAttempts,
                outcome,
                call.isCommitted
            )
        val mayRetry = when (decideRetry(call.route, history)) {
            RetryDecision.UNBUDGETED -> true
            RetryDecision.BUDGETED -> refusals.tryRetry(call, monotonicMillis())
            RetryDecision.DENIED -> false
        }
        call.mayHaveExecuted = call.mayHaveExecuted || outcome == AttemptOutcome.MAY_HAVE_RUN
        if (mayRetry) sendOrQueue(call) else fail(call, reason)
    }

    private fun fail(call: Call, reason: String) {
        val refusal = if (call.mayHaveExecuted) {
            Refusal(BAD_GATEWAY, reason, cause = RefusalCause.FAILED)
        } else {
            val retryAfterMillis = placements.retryAfterMillis(call, Placement.Nowhere)
            Refusal(UNAVAILABLE, reason, retryAfterMillis, RefusalCause.FAILED)
        }
        refuse(call, refusal)
    }

    override fun onStatement(call: Call, endpoint: FleetEndpoint, statement: EndpointStatement) =
        statements.onStatement(call, endpoint, statement)

    override fun onResponseBegun(call: Call, endpoint: FleetEndpoint) =
        versions.onResponseBegun(call, endpoint)

    override fun onBegun(call: Call) = state.exchange.onBegun(call)

    override fun onResponseComplete(call: Call, status: Int) {
        activeCalls -= call
        state.exchange.onComplete(call)
        val total = monotonicMillis() - call.request.receivedMillis
        val firstByte = call.firstByteMillis - call.request.receivedMillis
        metrics.onResponseComplete(firstByte, total, call.predictedMillis)
        callLog.onComplete(call, status, firstByte, total)
    }

    override fun onEndpointObservation(
        call: Call,
        endpoint: FleetEndpoint,
        observation: EndpointSignal
    ) {
        val now = monotonicMillis()
        // An engine breaks off its requests when it loads weights; this is no endpoint failure.
        if (observation == EndpointSignal.TRANSPORT_FAILURE && endpoint.isPaused(now)) return
        endpoint.onSignal(observation, now)
    }

    override fun onSilenceEnded(call: Call) {
        queue.remove(call)
    }

    override fun onBuffered(call: Call, bytes: Int) {
        responseMemory.update(call, bytes)?.releaseBuffer()
    }

    override fun onCapacityFreed(call: Call) {
        if (queue.size > 0) loop.execute("queue", ::drainQueue)
    }

    /** Called when a load report or an endpoint listing may have changed the available capacity. */
    fun onLoadChanged() {
        if (queue.size > 0) drainQueue()
    }

    /** Called when the caller of [call] has closed its connection. */
    fun onDisconnect(call: Call) {
        if (call.isFinished) return
        queue.remove(call)
        callLog.onAbandoned(call)
        metrics.abandoned.increment()
        versions.onAbandoned(call)
        call.cancel()
        activeCalls -= call
    }

    private fun scheduleDeadline(call: Call) {
        call.deadlineTimer?.cancel(false)
        call.deadlineTimer = loop.schedule("deadline", call.deadlineMillis - monotonicMillis()) {
            // What arrived before the deadline is read before the timers run again.
            call.deadlineTimer = loop.schedule("deadline", 0) { guarded(call) { onDeadline(call) } }
        }
    }

    private fun onDeadline(call: Call) {
        if (call.isFinished) return
        queue.remove(call)
        val wasSent = call.isSent || call.mayHaveExecuted
        val refusal = if (wasSent) {
            Refusal(GATEWAY_TIMEOUT, "time is over")
        } else {
            Refusal(UNAVAILABLE, "time is over while waiting", SHORT_RETRY_MILLIS)
        }
        end(call, refusal)
    }

    private fun onInternalError(call: Call, cause: Throwable) {
        loop.onTaskFailed("request ${call.id.value}", cause)
        queue.remove(call)
        activeCalls -= call
        if (call.isFinished) return
        val mayHaveRun = call.isSent || call.executedAttempts > 0 || call.mayHaveExecuted
        val refusal = if (mayHaveRun) {
            Refusal(BAD_GATEWAY, INTERNAL_ERROR)
        } else {
            Refusal(UNAVAILABLE, INTERNAL_ERROR, SHORT_RETRY_MILLIS)
        }
        val headers = runCatching { refusal.headers(codec, call.id) }.getOrDefault(emptyList())
        call.refuse(refusal.status, headers, refusal.body())
    }

    // An error in the handling of one call ends that call and no other one.
    private inline fun guarded(call: Call, action: () -> Unit) {
        runCatching(action).onFailure { onInternalError(call, it) }
    }

    private fun tick() {
        val now = monotonicMillis()
        step("crashed endpoints") { crashes.confirm(now) }
        step("overload") { queue.update(now) }
        drainQueue()
        queue.removeUnservable(now).forEach { guarded(it) { onWaitExpired(it, now) } }
        // The event loop may have been held up: what has arrived until now is read before the
        // timers run again.
        if (activeCalls.isNotEmpty()) loop.schedule("silence", 0) { judgeSilence(now) }
        step("expired endpoints") {
            state.fleet.expire(now).forEach {
                log.event(EventCode.ENDPOINT_REMOVED) { put("endpoint", it.value) }
            }
        }
    }

    private fun step(name: String, action: () -> Unit) {
        runCatching(action).onFailure { loop.onTaskFailed(name, it) }
    }

    // Endpoints from which everything that arrived by [untilMillis] has been read.
    private fun judgeSilence(untilMillis: Long) {
        activeCalls.filter { it.isAwaitingResponse }
            .forEach { guarded(it) { versions.withdrawIfDue(it, untilMillis) } }
        activeCalls.filter { it.isSent && it.route.isRepeatable }
            .forEach { guarded(it) { checkStall(it, untilMillis) } }
        activeCalls.filter { it.isAwaitingResponse && it.route.isRepeatable }
            .forEach { guarded(it) { leaveIfSilent(it, untilMillis) } }
    }

    private fun onWaitExpired(call: Call, nowMillis: Long) {
        // As a last resort, accepts an endpoint that may load weights before the response ends.
        val finalPlacement = placements.place(call, nowMillis, isFinalAttempt = true)
        when {
            finalPlacement is Placement.Send -> send(call, finalPlacement)
            call.isCommitted -> fail(call, "no endpoint to resume at")
            awaitsLoad(call, finalPlacement, nowMillis) && queue.add(call) -> Unit
            nowMillis < call.untilMillis -> failUnplaced(call, finalPlacement, RefusalCause.WAIT)
            else -> failUnplaced(call, finalPlacement)
        }
    }

    // A call may have begun to wait before all endpoints loaded. One that is refused before its
    // time has expired is behind others that take all of it.
    private fun awaitsLoad(call: Call, placement: Placement, nowMillis: Long): Boolean =
        placement is Placement.Nowhere &&
            nowMillis >= call.untilMillis &&
            placements.isAwaitingLoad(call, nowMillis) &&
            queue.extendForLoad(call, nowMillis)

    private fun drainQueue() {
        val now = monotonicMillis()
        queue.drain { call ->
            var placement: Placement? = null
            guarded(call) {
                val selected = placements.place(call, now)
                placement = selected
                if (selected is Placement.Send) send(call, selected)
            }
            placement
        }
    }

    // Load pattern: connections of a failed or unreachable endpoint stay open but carry no data. A
    // repeatable call is sent to another endpoint, but only to one with free capacity. A sound
    // endpoint may be silent for a second, so it keeps a response that it has begun until the other
    // one responds.
    private fun checkStall(call: Call, untilMillis: Long) {
        if (call.isCommitted && !call.isResumable) return
        // Nothing is read from the endpoint while the caller does not read.
        if (!call.connection.isWritable) return
        val silentMillis = untilMillis - call.lastProgressMillis
        if (silentMillis < speeds.stallMillis(call)) return
        if (call.executedAttempts + 1 >= call.route.endpointsMax) return
        val nowMillis = monotonicMillis()
        // A call that no other endpoint may get stays where it is.
        if (crashes.isRefused(call, nowMillis)) return
        val placement = placements.place(call, nowMillis)
        val endpoint = call.endpoint
        if (placement !is Placement.Send || placement.endpoint === endpoint) return
        if (!refusals.tryRetry(call, nowMillis)) return
        endpoint?.onSignal(EndpointSignal.TRANSPORT_FAILURE, nowMillis)
        endpoint?.onSlowPath(nowMillis)
        callLog.onSilent(call, silentMillis)
        crashes.onLost(call)
        call.leaveSilentEndpoint()
        call.mayHaveExecuted = true
        send(call, placement)
    }

    // An endpoint without any sign of life is not expected to respond in time. Its callers are
    // served by another one, or learn at once that they should try again.
    private fun leaveIfSilent(call: Call, untilMillis: Long) {
        val endpoint = call.endpoint ?: return
        val silentMillis = untilMillis - call.lastProgressMillis
        val isStalled = silentMillis >= speeds.stallMillis(call)
        if (!isStalled || !endpoint.isSilent(untilMillis)) return
        endpoint.onSignal(EndpointSignal.TRANSPORT_FAILURE, monotonicMillis())
        endpoint.onSlowPath(monotonicMillis())
        callLog.onSilent(call, silentMillis)
        crashes.onLost(call)
        call.withdraw("endpoint is silent")
    }

    private companion object {
        // Part of the heap for responses that cannot be relayed yet; 20 MiB in the deployment.
        const val RESPONSE_MEMORY_SHARE = 8
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504

        // Part of the heap for calls that wait; 10 MiB in the deployment.
        const val WAITING_MEMORY_SHARE = 16
        const val TICK_MILLIS = 20L

        // Latency between regions is a few milliseconds; a connection attempt that takes this long
        // has lost a packet or its peer does not respond.
        const val CONNECT_TIMEOUT_MILLIS = 300

        const val SHORT_RETRY_MILLIS = 200L
        const val INTERNAL_ERROR = "internal error"
    }
}
