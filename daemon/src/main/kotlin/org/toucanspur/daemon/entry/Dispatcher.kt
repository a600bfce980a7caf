/*
 * Dispatches requests to endpoints. Idempotent requests are retried at other endpoints within a
 * retry budget. At-most-once requests are dispatched once; after a failure, only their response is
 * fetched.
 */
package org.toucanspur.daemon.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import java.util.UUID
import kotlin.random.Random
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.toucanspur.core.config.AdoptedDocument
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.events.EventSubject
import org.toucanspur.core.membership.EndpointTable
import org.toucanspur.core.platform.ObjectKeys
import org.toucanspur.core.platform.ObjectStore
import org.toucanspur.core.platform.StoreError
import org.toucanspur.core.requests.AtMostOnceFlow
import org.toucanspur.core.requests.ClaimInput
import org.toucanspur.core.requests.ClaimRefusal
import org.toucanspur.core.requests.ClaimStep
import org.toucanspur.core.requests.RetryBudget
import org.toucanspur.core.routing.EndpointView
import org.toucanspur.core.routing.OutlierDetector
import org.toucanspur.core.routing.RouteQuery
import org.toucanspur.core.routing.selectEndpoint
import org.toucanspur.core.weights.sha256
import org.toucanspur.daemon.log.EventLog
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.transport.PeerConnection
import org.toucanspur.schema.ClaimRecord
import org.toucanspur.schema.DaemonSection
import org.toucanspur.schema.Delivery
import org.toucanspur.schema.Fetch
import org.toucanspur.schema.Incarnation
import org.toucanspur.schema.PoolKind
import org.toucanspur.schema.Ran
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.RequestId
import org.toucanspur.schema.Revision
import org.toucanspur.schema.Submit
import org.toucanspur.schema.VmId
import org.toucanspur.schema.ZoneState

private const val ATTEMPTS_MAX = 4
private const val RETRY_AFTER_MILLIS = 1000L
private const val CLAIM_CONNECT_MILLIS = 3000L

/** The incarnation of the agent that a request was submitted to, and the release it runs. */
data class Placement(val vm: VmId, val incarnation: Incarnation, val release: ReleaseDigest?)

/** A request that was sent to an agent, with the stream of its response frames. */
class SubmittedRequest(val placement: Placement, val stream: RequestStream)

/** A response whose head has arrived. */
class OpenResponse(
    val relay: ResponseRelay,
    val start: ResponseStart.Accepted,
    val placement: Placement
)

/** A new request id. */
fun newRequestId(): RequestId = RequestId(UUID.randomUUID().toString())

/** Dispatches the requests of one entry. */
class Dispatcher(
    private val self: DaemonSection,
    private val store: ObjectStore,
    private val connections: AgentConnections,
    private val endpointTable: EndpointTable,
    private val outliers: OutlierDetector,
    private val events: EventLog,
    private val windowBytes: Long,
    private val activeDocument: () -> AdoptedDocument?
) {
    private val retryBudget = RetryBudget(RETRY_BUDGET_PERCENT)
    private val random = Random(self.vm.value.hashCode())

    /** Dispatches [request] and waits for the head of its response, or returns the problem. */
    suspend fun open(request: CallerRequest): Result<OpenResponse, Problem> {
        retryBudget.onRequest()
        return when {
            request.delivery == Delivery.IDEMPOTENT -> openIdempotent(request)
            request.idempotencyKey != null -> openKeyed(request, request.idempotencyKey)
            else -> openOnce(request)
        }
    }

    private suspend fun openIdempotent(request: CallerRequest): Result<OpenResponse, Problem> {
        val triedVms = mutableSetOf<VmId>()
        var lastProblem: Problem? = null
        for (attempt in 0 until ATTEMPTS_MAX) {
            val isAllowed = attempt == 0 || retryBudget.tryRetry()
            val endpoint = if (isAllowed) choose(request, excluded = triedVms) else null
            if (endpoint == null) break
            triedVms += endpoint.status.vm
            val submitted = submit(request, endpoint, request.id) ?: continue
            val relay = relay(request, submitted)
            when (val start = relay.awaitStart()) {
                is ResponseStart.Accepted ->
                    return acceptResponse(relay, start, submitted.placement)
                is ResponseStart.Refusal -> {
                    lastProblem = problemOf(start.refused)
                    recordFailure(submitted, start.refused.ran)
                }
                is ResponseStart.Lost -> {
                    lastProblem =
                        Problem(
                            ProblemKind.UNAVAILABLE,
                            "the endpoint was lost; retry",
                            Ran.UNKNOWN,
                            RETRY_AFTER_MILLIS
                        )
                    outliers.onFailure(submitted.placement.vm, monotonicMillis())
                }
            }
            finish(relay, submitted.placement)
            if (lastProblem.kind == ProblemKind.POISON) break
        }
        return Err(lastProblem ?: noEndpoint(request))
    }

    private fun recordFailure(submitted: SubmittedRequest, ran: Ran) {
        if (ran == Ran.UNKNOWN) outliers.onFailure(submitted.placement.vm, monotonicMillis())
    }

    private fun acceptResponse(
        relay: ResponseRelay,
        start: ResponseStart.Accepted,
        placement: Placement
    ): Result<OpenResponse, Problem> {
        outliers.onSuccess(placement.vm)
        return Ok(OpenResponse(relay, start, placement))
    }

    // Without an idempotency key, a repetition cannot be told from a new request, so the request is
    // dispatched only once.
    private suspend fun openOnce(request: CallerRequest): Result<OpenResponse, Problem> {
        val endpoint = choose(request) ?: return Err(noEndpoint(request))
        val submitted = submit(request, endpoint, request.id) ?: return Err(noEndpoint(request))
        return awaitResponse(request, submitted)
    }

    private suspend fun awaitResponse(
        request: CallerRequest,
        submitted: SubmittedRequest
    ): Result<OpenResponse, Problem> {
        val relay = relay(request, submitted)
        return when (val start = relay.awaitStart()) {
            is ResponseStart.Accepted -> acceptResponse(relay, start, submitted.placement)
            is ResponseStart.Refusal -> {
                finish(relay, submitted.placement)
                Err(problemOf(start.refused))
            }
            is ResponseStart.Lost -> {
                finish(relay, submitted.placement)
                Err(outcomeUnknown("the endpoint was lost after the request was sent"))
            }
        }
    }

    private suspend fun openKeyed(
        request: CallerRequest,
        key: String
    ): Result<OpenResponse, Problem> {
        val endpoint = choose(request) ?: return Err(noEndpoint(request))
        val claimKey = claimKey(request, key)
        val ownClaim =
            ClaimRecord(
                request.id,
                endpoint.status.vm,
                endpoint.status.incarnation,
                request.fingerprint
            )
        val flow = AtMostOnceFlow(ownClaim)
        var step = flow.start()
        while (true) {
            step = when (val current = step) {
                is ClaimStep.ReadClaim -> flow.on(readClaim(claimKey))
                is ClaimStep.WriteClaim -> flow.on(writeClaim(claimKey, current))
                is ClaimStep.Dispatch -> return dispatchClaimed(request, current.record)
                is ClaimStep.Fetch -> when (val fetched = fetchClaimed(request, current.record)) {
                    is ClaimFetch.Response -> return Ok(fetched.open)
                    is ClaimFetch.NoResponse -> flow.on(fetched.input)
                }
                is ClaimStep.Relay -> return Err(outcomeUnknown("the response was already relayed"))
                is ClaimStep.Refuse -> return Err(refusal(current))
            }
        }
    }

    private fun claimKey(request: CallerRequest, key: String): String {
        val scope = "${request.organisation}\n${request.pool.id}\n$key"
        return ObjectKeys.claim(self.environment, sha256(scope.encodeToByteArray()))
    }

    private suspend fun readClaim(key: String): ClaimInput = store.read(key).fold(
        success = { found ->
            val record = found?.let { decodeClaim(it.value) }
            if (found != null && record == null) {
                ClaimInput.StoreDown
            } else {
                ClaimInput.Read(record, found?.version ?: 0)
            }
        },
        failure = { ClaimInput.StoreDown }
    )

    private fun decodeClaim(value: String): ClaimRecord? = try {
        Json.decodeFromString<ClaimRecord>(value)
    } catch (e: SerializationException) {
        events.event(EventCode.OBJECT_API_UNAVAILABLE) { "claim record is malformed: ${e.message}" }
        null
    }

    private suspend fun writeClaim(key: String, step: ClaimStep.WriteClaim): ClaimInput {
        val value = Json.encodeToString(ClaimRecord.serializer(), step.record)
        return store.write(key, value, step.expectedVersion).fold(
            success = { ClaimInput.Written },
            failure = {
                when (it) {
                    is StoreError.Conflict -> ClaimInput.Conflict
                    is StoreError.OutcomeUnknown -> ClaimInput.WriteUnknown
                    is StoreError.Unavailable -> ClaimInput.StoreDown
                }
            }
        )
    }

    private suspend fun dispatchClaimed(
        request: CallerRequest,
        record: ClaimRecord
    ): Result<OpenResponse, Problem> {
        val connection = connections.connection(record.vm, record.incarnation)
            ?: return Err(
                Problem(
                    ProblemKind.UNAVAILABLE,
                    "the endpoint is no longer connected; repeat with the same key",
                    Ran.NO,
                    RETRY_AFTER_MILLIS
                )
            )
        val placement = Placement(record.vm, record.incarnation, release = null)
        val submitted = send(request, placement, record.requestId, connection, resumeOffset = 0)
            ?: return Err(outcomeUnknown("the endpoint was lost; repeat with the same key"))
        return awaitResponse(request, submitted)
    }

    private suspend fun fetchClaimed(request: CallerRequest, record: ClaimRecord): ClaimFetch {
        val connection =
            connections.awaitConnection(record.vm, record.incarnation, CLAIM_CONNECT_MILLIS)
                ?: return ClaimFetch.NoResponse(ClaimInput.AgentUnknown)
        val placement = Placement(record.vm, record.incarnation, release = null)
        // Several submissions may fetch the response of one request id; each opens a stream.
        val stream = connections.openStream(record.requestId, connection)
        connection.send(Fetch(record.requestId, 0, windowBytes))
        endpointTable.addInFlight(placement.vm, 1)
        val relay = relay(request, SubmittedRequest(placement, stream))
        return when (val start = relay.awaitStart()) {
            is ResponseStart.Accepted -> {
                events.event(EventCode.REQUEST_REPLAYED, EventSubject(requestId = request.id)) {
                    "repeated submission of ${record.requestId}"
                }
                ClaimFetch.Response(OpenResponse(relay, start, placement))
            }
            is ResponseStart.Refusal -> {
                finish(relay, placement)
                val isNotExecuted = start.refused.ran == Ran.NO
                ClaimFetch.NoResponse(
                    if (isNotExecuted) ClaimInput.AgentDidNotRun else ClaimInput.AgentUnknown
                )
            }
            is ResponseStart.Lost -> {
                finish(relay, placement)
                ClaimFetch.NoResponse(ClaimInput.AgentUnknown)
            }
        }
    }

    private fun refusal(step: ClaimStep.Refuse): Problem = when (step.reason) {
        ClaimRefusal.BODY_MISMATCH -> Problem(
            ProblemKind.KEY_REUSED,
            "the idempotency key was used for another request; use a new key",
            step.ran
        )
        ClaimRefusal.STORE_DOWN -> Problem(
            ProblemKind.UNAVAILABLE,
            "the key could not be claimed, so this submission was not dispatched; an earlier one " +
                "cannot be ruled out; repeat with the same key",
            step.ran,
            RETRY_AFTER_MILLIS
        )
        ClaimRefusal.CONTENDED -> Problem(
            ProblemKind.UNAVAILABLE,
            "other submissions are claiming the key; repeat with the same key",
            step.ran,
            RETRY_AFTER_MILLIS
        )
        ClaimRefusal.OUTCOME_UNKNOWN -> outcomeUnknown("the endpoint that took the request is lost")
    }

    private fun outcomeUnknown(reason: String): Problem = Problem(
        ProblemKind.OUTCOME_UNKNOWN,
        "$reason; check the effect before asking again",
        Ran.UNKNOWN
    )

    private fun noEndpoint(request: CallerRequest): Problem = Problem(
        ProblemKind.UNAVAILABLE,
        "no endpoint of pool ${request.pool.id} can accept the request now; retry later",
        Ran.NO,
        RETRY_AFTER_MILLIS
    )

    private fun choose(
        request: CallerRequest,
        release: ReleaseDigest? = null,
        excluded: Set<VmId> = emptySet()
    ): EndpointView? {
        val configuration = activeDocument()?.configuration ?: return null
        val query = RouteQuery(
            self.zone,
            self.region,
            configuration.zones.filter { it.state == ZoneState.OUT }.map { it.id }.toSet(),
            release,
            needsRelease = request.pool.kind == PoolKind.ENGINE,
            request.routingPrefix,
            excluded
        )
        val endpoints = endpointTable.endpointsOf(request.pool.id, monotonicMillis())
        return synchronized(random) { selectEndpoint(endpoints, query, random) }
    }

    private suspend fun submit(
        request: CallerRequest,
        endpoint: EndpointView,
        id: RequestId,
        resumeOffset: Long = 0
    ): SubmittedRequest? {
        val status = endpoint.status
        val connection = connections.connection(status.vm, status.incarnation) ?: return null
        val placement = Placement(status.vm, status.incarnation, status.loaded)
        return send(request, placement, id, connection, resumeOffset)
    }

    private suspend fun send(
        request: CallerRequest,
        placement: Placement,
        id: RequestId,
        connection: PeerConnection,
        resumeOffset: Long
    ): SubmittedRequest? {
        val stream = connections.openStream(id, connection)
        endpointTable.addInFlight(placement.vm, 1)
        val submit = Submit(
            id,
            placement.incarnation,
            activeDocument()?.stored?.revision ?: Revision(0),
            request.pool.id,
            request.organisation,
            request.priority,
            request.delivery,
            request.fingerprint,
            request.method,
            request.path,
            request.headers,
            request.body,
            placement.release,
            request.remainingMillis(),
            windowBytes,
            resumeOffset
        )
        events.event(
            EventCode.REQUEST_DISPATCHED,
            EventSubject(requestId = id, release = placement.release)
        ) {
            "to ${placement.vm} at offset $resumeOffset"
        }
        if (connection.send(submit)) return SubmittedRequest(placement, stream)
        connections.closeStream(stream)
        endpointTable.addInFlight(placement.vm, -1)
        return null
    }

    private fun relay(request: CallerRequest, submitted: SubmittedRequest): ResponseRelay {
        val canContinue =
            request.delivery == Delivery.IDEMPOTENT && request.pool.kind == PoolKind.ENGINE
        val continuation = ResponseContinuation { offset, release, previous ->
            endpointTable.addInFlight(previous.vm, -1)
            val endpoint = choose(request, release, excluded = setOf(previous.vm))
            endpoint?.let { submit(request, it, newRequestId(), offset) }
        }
        return ResponseRelay(
            connections,
            windowBytes,
            events,
            submitted,
            continuation.takeIf { canContinue }
        )
    }

    /** Closes a relay that this dispatcher opened. */
    suspend fun finish(relay: ResponseRelay, placement: Placement) {
        relay.close()
        endpointTable.addInFlight(placement.vm, -1)
    }

    private sealed interface ClaimFetch {
        class Response(val open: OpenResponse) : ClaimFetch

        class NoResponse(val input: ClaimInput) : ClaimFetch
    }

    private companion object {
        const val RETRY_BUDGET_PERCENT = 10
    }
}
