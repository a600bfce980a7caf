/*
 * Decides what becomes of each request: refuse it, let it wait, send it, send it again. Rules that
 * need no I/O are in the core module; this class brings them together with the state of the entry.
 */
package org.toucanspur.daemon.gateway

import java.net.InetSocketAddress
import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.AttemptHistory
import org.toucanspur.core.gateway.AttemptOutcome
import org.toucanspur.core.gateway.CallQueue
import org.toucanspur.core.gateway.CallerRequestMetadata
import org.toucanspur.core.gateway.EndpointRequestMetadata
import org.toucanspur.core.gateway.EndpointSignal
import org.toucanspur.core.gateway.FleetEndpoint
import org.toucanspur.core.gateway.Placement
import org.toucanspur.core.gateway.PlacementQuery
import org.toucanspur.core.gateway.RequestCodec
import org.toucanspur.core.gateway.RetryDecision
import org.toucanspur.core.gateway.WaitPolicy
import org.toucanspur.core.gateway.decideRetry
import org.toucanspur.core.gateway.stallMillis
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.net.NetLoop
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.RequestId

/** Dispatches the requests of one entry; confined to the event loop. */
class CallDispatcher(
    private val loop: NetLoop,
    private val state: GatewayState,
    override val codec: RequestCodec,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics
) : CallHost {
    private val admission = CallAdmission(state)
    private val waiting = CallQueue<Call>(WAITING_MAX)
    private val active = LinkedHashSet<Call>()
    private val longestRemaining = HashMap<String, Long>()

    /** Requests that have no final answer yet. */
    val activeCount: Int get() = active.size

    init {
        loop.every(TICK_MILLIS, ::tick)
    }

    /** Takes a request that was read whole. Returns its call, or null when it is over already. */
    fun onRequest(connection: CallerConnection, request: ReadRequest): Call? {
        val metadata = codec.decode { request.head.headers().get(it) }
        return when (val admitted = admission.admit(request, metadata)) {
            is Admission.Rejected -> {
                answer(connection, metadata, admitted.rejection)
                null
            }
            is Admission.Admitted -> start(connection, request, metadata, admitted)
        }
    }

    private fun start(
        connection: CallerConnection,
        request: ReadRequest,
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
        active += call
        call.isOnTime = isOnTime(call)
        state.allowance(call.service.id).onRequest(monotonicMillis())
        call.deadlineTimer = loop.schedule(call.deadlineMillis - monotonicMillis()) {
            onDeadline(call)
        }
        placeOrWait(call, isFirst = true)
        return call
    }

    // Callers that come back after a refusal have less time left than the usual ones.
    private fun isOnTime(call: Call): Boolean {
        val remaining = call.metadata.remainingMillis ?: return true
        val longest = maxOf(remaining, longestRemaining[call.route.name] ?: 0)
        longestRemaining[call.route.name] = longest
        return longest - remaining < call.route.targetMillis / 2
    }

    private fun placeOrWait(call: Call, isFirst: Boolean) {
        val now = monotonicMillis()
        val placement = place(call, now)
        if (placement is Placement.Send) {
            send(call, placement)
            return
        }
        val remaining = call.deadlineMillis - now
        val waitMillis = if (call.isCommitted) {
            RESUME_WAIT_MILLIS
        } else {
            WaitPolicy.waitMillis(call.route.targetMillis, remaining, call.isOnTime)
        }
        call.untilMillis = now + minOf(waitMillis, remaining)
        val isHopeless = isFirst && placement is Placement.Nowhere && !mayAppear(call)
        if (isHopeless || !waiting.add(call)) {
            refuse(call, placement)
        } else {
            metrics.waited.increment()
        }
    }

    // Endpoints that are listed but cannot serve now may be back within the wait.
    private fun mayAppear(call: Call): Boolean =
        state.fleet.of(call.service.id).any { it.record.isReady }

    private fun place(call: Call, nowMillis: Long, isLastChance: Boolean = false): Placement {
        val elapsed = nowMillis - call.request.receivedMillis
        val budget = if (call.isCommitted) {
            RESUME_BUDGET_MILLIS
        } else {
            WaitPolicy.firstByteBudgetMillis(call.route.targetMillis, elapsed, call.isOnTime)
        }
        val query = PlacementQuery(
            service = call.service,
            promptTokens = call.metadata.promptTokens
                ?: call.service.engine?.typicalPromptTokens
                ?: 0,
            regions = homes(call),
            excludedZones = state.excludedZones,
            tried = call.tried,
            versionMin = versionMin(call, nowMillis),
            mustFinish = !isLastChance &&
                call.sends > 0 &&
                call.sends + 1 >= call.route.endpointsMax
        )
        return state.placer.place(query, budget, nowMillis, state.entries(nowMillis))
    }

    private fun versionMin(call: Call, nowMillis: Long): Long {
        val loadedMax =
            state.fleet.of(call.service.id).maxOfOrNull { it.loadedVersion(nowMillis) ?: 0 } ?: 0
        return state.versions.versionMin(call.metadata.model, nowMillis, loadedMax)
    }

    private fun homes(call: Call): Set<RegionId>? {
        val own = call.organisation?.homeRegions.orEmpty()
        val routes = call.route.homeRegions
        return when {
            own.isEmpty() && routes.isEmpty() -> null
            own.isEmpty() -> routes
            routes.isEmpty() -> own
            else -> own intersect routes
        }
    }

    private fun send(call: Call, placement: Placement.Send) {
        val now = monotonicMillis()
        val endpoint = placement.endpoint
        val versionMin = versionMin(call, now)
        val isResumed = call.isResumable && call.isCommitted
        val metadata = EndpointRequestMetadata(
            endpoint = endpoint.record.id,
            remainingMillis = maxOf(1, call.deadlineMillis - now),
            organisation = call.organisation?.id,
            urgency = WaitPolicy.urgency(
                call.isOnTime || call.isCommitted,
                call.organisation?.priority ?: call.route.priority
            ),
            expectedVersion = versionMin.takeIf { it > 0 },
            lastEventId = if (isResumed) call.lastEventId else call.metadata.lastEventId
        )
        val request = EndpointRequest(
            InetSocketAddress(endpoint.record.host, endpoint.record.port),
            endpointHead(call.request, metadata, codec),
            call.request.body
        )
        val isAgain = call.sends + call.missed > 0
        if (isAgain) metrics.repeated.increment()
        log.event(
            if (isResumed) EventCode.REQUEST_RESUMED else EventCode.REQUEST_DISPATCHED,
            isEssential = isAgain
        ) {
            put("request", call.id.value)
            put("endpoint", endpoint.record.id.value)
            put("waitedMillis", now - call.request.receivedMillis)
            put("predictedMillis", placement.firstByteMillis.toLong())
            put("isOnTime", call.isOnTime)
            put("occupancy", endpoint.occupancy(now, state.entries(now)))
            put("reportAgeMillis", endpoint.reportAgeMillis(now))
            endpoint.nextLoadMillis(now)?.let { put("nextLoadMillis", it) }
            put("configuration", state.configuration?.version ?: 0)
            if (isAgain) put("send", call.sends + call.missed + 1)
        }
        call.predictedMillis = placement.firstByteMillis
        call.send(endpoint, EndpointExchange(loop, request, call), CONNECT_TIMEOUT_MILLIS)
    }

    private fun refuse(call: Call, placement: Placement) {
        val isBusy = placement is Placement.Busy
        val predicted =
            if (placement is Placement.Busy) placement.firstByteMillis else NOWHERE_MILLIS
        val retryMillis = WaitPolicy.retryAfterMillis(predicted, state.random)
        val reason = if (isBusy) "all endpoints are busy" else "no endpoint can serve"
        finish(call, Rejection(UNAVAILABLE, reason, retryMillis))
    }

    // A refusal with 503 promises that the request did not run, so that it is given only when no
    // endpoint may have run it.
    private fun finish(call: Call, rejection: Rejection) {
        if (call.isOver) return
        val event = if (call.isCommitted) {
            EventCode.RESPONSE_ABORTED
        } else {
            EventCode.REQUEST_REFUSED
        }
        log.event(event) {
            put("request", call.id.value)
            put("route", call.route.name)
            put("status", rejection.status)
            put("reason", rejection.reason)
            put("sends", call.sends)
            put("missed", call.missed)
            put("waitedMillis", monotonicMillis() - call.request.receivedMillis)
            put("isOnTime", call.isOnTime)
            put("waiting", waiting.size)
            rejection.retryAfterMillis?.let { put("retryAfterMillis", it) }
        }
        metrics.onRefused(rejection.status)
        call.refuse(rejection.status, rejection.headers(codec, call.id), rejection.body())
        active -= call
    }

    private fun answer(
        connection: CallerConnection,
        metadata: CallerRequestMetadata,
        rejection: Rejection
    ) {
        val id = metadata.requestId ?: RequestId("")
        log.event(EventCode.REQUEST_REFUSED) {
            put("request", id.value)
            put("status", rejection.status)
            put("reason", rejection.reason)
            put("configuration", state.configuration?.version ?: 0)
            put("proofAgeMillis", state.proof.ageMillis(systemClocks.now()) ?: -1)
        }
        metrics.onRefused(rejection.status)
        connection.writeWhole(
            rejection.status,
            rejection.headers(codec, id),
            rejection.body()
        )
    }

    override fun mayRepeat(call: Call): Boolean {
        if (call.sends + 1 >= call.route.endpointsMax) return false
        val now = monotonicMillis()
        return state.allowance(call.service.id).hasRoom(now, state.entries(now))
    }

    override fun onSendFailed(call: Call, outcome: AttemptOutcome, reason: String) {
        if (call.isOver) return
        log.event(EventCode.REQUEST_FAILED) {
            put("request", call.id.value)
            put("endpoint", call.tried.lastOrNull()?.value ?: "")
            put("reason", reason)
            put("outcome", outcome.name)
            put("sends", call.sends)
        }
        val history = AttemptHistory(call.sends, call.missed, outcome, call.isCommitted)
        val mayGoOn = when (decideRetry(call.route, history)) {
            RetryDecision.UNBUDGETED -> true
            RetryDecision.BUDGETED -> takeFromBudget(call, monotonicMillis())
            RetryDecision.DENIED -> false
        }
        call.mayHaveRun = call.mayHaveRun || outcome == AttemptOutcome.MAY_HAVE_RUN
        if (mayGoOn) placeOrWait(call, isFirst = false) else fail(call, reason)
    }

    private fun fail(call: Call, reason: String) {
        val rejection = if (call.mayHaveRun) {
            Rejection(BAD_GATEWAY, reason)
        } else {
            Rejection(
                UNAVAILABLE,
                reason,
                WaitPolicy.retryAfterMillis(SHORT_RETRY_MILLIS, state.random)
            )
        }
        finish(call, rejection)
    }

    override fun onAnswered(call: Call, status: Int) {
        active -= call
        val total = monotonicMillis() - call.request.receivedMillis
        val firstByte = call.firstByteMillis - call.request.receivedMillis
        metrics.onAnswered(firstByte, total, call.predictedMillis)
        log.event(EventCode.REQUEST_ANSWERED, isEssential = false) {
            put("request", call.id.value)
            put("route", call.route.name)
            put("status", status)
            put("firstByteMillis", firstByte)
            put("totalMillis", total)
            put("sends", call.sends)
        }
    }

    override fun onSignal(call: Call, endpoint: FleetEndpoint, sign: EndpointSignal) {
        val now = monotonicMillis()
        // An engine that loads cuts its requests off; that is no fault of it.
        if (sign == EndpointSignal.TRANSPORT_FAILURE && endpoint.isPaused(now)) return
        endpoint.onSignal(sign, now)
    }

    override fun onPlaceFree(call: Call) {
        if (waiting.size > 0) loop.executor.execute(::drainWaiting)
    }

    /** A report or a listing has changed what endpoints can take. */
    fun onLoadChanged() {
        if (waiting.size > 0) drainWaiting()
    }

    /** The caller of [call] has left. */
    fun onLeft(call: Call) {
        if (call.isOver) return
        waiting.remove(call)
        log.event(EventCode.REQUEST_ABANDONED, isEssential = false) {
            put("request", call.id.value)
            put("afterMillis", monotonicMillis() - call.request.receivedMillis)
            put("wasSent", call.isSent)
        }
        metrics.abandoned.increment()
        call.end()
        active -= call
    }

    private fun onDeadline(call: Call) {
        if (call.isOver) return
        waiting.remove(call)
        val wasSent = call.isSent || call.mayHaveRun
        val rejection = if (wasSent) {
            Rejection(GATEWAY_TIMEOUT, "time is over")
        } else {
            Rejection(UNAVAILABLE, "time is over while waiting", SHORT_RETRY_MILLIS.toLong())
        }
        finish(call, rejection)
    }

    private fun tick() {
        val now = monotonicMillis()
        drainWaiting()
        waiting.removeExpired(now).forEach { onOverdue(it, now) }
        active.filter { it.isSent && it.route.isRepeatable }.forEach { checkStall(it, now) }
        state.fleet.expire(now).forEach {
            log.event(EventCode.ENDPOINT_REMOVED) { put("endpoint", it.value) }
        }
    }

    private fun onOverdue(call: Call, nowMillis: Long) {
        // An endpoint that may load before the answer ends is better than none.
        val lastChance = place(call, nowMillis, isLastChance = true)
        when {
            call.sends > 0 && lastChance is Placement.Send -> send(call, lastChance)
            call.isCommitted -> fail(call, "no endpoint to resume at")
            call.mayHaveRun -> fail(call, "no endpoint for another send")
            else -> refuse(call, lastChance)
        }
    }

    private fun drainWaiting() {
        val now = monotonicMillis()
        waiting.drain { call ->
            val placement = place(call, now)
            if (placement is Placement.Send) {
                send(call, placement)
                true
            } else {
                false
            }
        }
    }

    // Load pattern: an endpoint that is dead or cut off keeps its connections silent. A call that
    // may run again goes to another endpoint, but only to one that can take it at once.
    private fun checkStall(call: Call, nowMillis: Long) {
        if (nowMillis - call.lastProgressMillis < stallMillis(call.route, call.isCommitted)) return
        if (call.sends + 1 >= call.route.endpointsMax) return
        val placement = place(call, nowMillis)
        val endpoint = call.endpoint
        if (placement !is Placement.Send || placement.endpoint === endpoint) return
        if (!takeFromBudget(call, nowMillis)) return
        endpoint?.onSignal(EndpointSignal.TRANSPORT_FAILURE, nowMillis)
        log.event(EventCode.REQUEST_FAILED) {
            put("request", call.id.value)
            put("endpoint", endpoint?.record?.id?.value ?: "")
            put("reason", "silent")
            put("silentMillis", nowMillis - call.lastProgressMillis)
        }
        call.withdraw()
        call.mayHaveRun = true
        send(call, placement)
    }

    private fun takeFromBudget(call: Call, nowMillis: Long): Boolean =
        state.allowance(call.service.id).tryAcquire(nowMillis, state.entries(nowMillis))

    private companion object {
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504

        // Waiting requests of one entry; more than a second's worth of the largest site.
        const val WAITING_MAX = 256
        const val TICK_MILLIS = 20L

        // Links between regions take a few milliseconds; a connection that takes this long has
        // lost a packet or has nobody at its other end.
        const val CONNECT_TIMEOUT_MILLIS = 300

        // An engine that has its weights staged loads within about this time.
        const val NOWHERE_MILLIS = 800.0
        const val SHORT_RETRY_MILLIS = 200.0

        // Callers abandon a stream after two seconds without an event.
        const val RESUME_WAIT_MILLIS = 1500L
        const val RESUME_BUDGET_MILLIS = 900.0
    }
}
