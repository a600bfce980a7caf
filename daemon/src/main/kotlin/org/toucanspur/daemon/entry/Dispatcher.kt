/*
 * Places requests on endpoints. Idempotent requests are retried at other endpoints within a
 * budget. At-most-once requests are dispatched once; whatever happens then, only their result is
 * asked for.
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

/** The one life of the one agent that a request was submitted to. */
data class Placement(val vm: VmId, val incarnation: Incarnation, val release: ReleaseDigest?)

/** A submitted request. */
class Placed(val placement: Placement, val link: RequestLink)

/** An answer that has begun. */
class OpenAnswer(val relay: AnswerRelay, val start: AnswerStart.Begun, val placement: Placement)

/** A new request id. */
fun newRequestId(): RequestId = RequestId(UUID.randomUUID().toString())

/** Dispatches the requests of one entry. */
class Dispatcher(
    private val self: DaemonSection,
    private val store: ObjectStore,
    private val links: AgentLinks,
    private val table: EndpointTable,
    private val outliers: OutlierDetector,
    private val events: EventLog,
    private val windowBytes: Long,
    private val document: () -> AdoptedDocument?
) {
    private val budget = RetryBudget(DEFAULT_BUDGET_PERCENT)
    private val random = Random(self.vm.value.hashCode())

    /** Opens the answer of [request], or tells why there is none. */
    suspend fun open(request: CallerRequest): Result<OpenAnswer, Problem> {
        budget.onRequest()
        return when {
            request.delivery == Delivery.IDEMPOTENT -> openIdempotent(request)
            request.idempotencyKey != null -> openKeyed(request, request.idempotencyKey)
            else -> openOnce(request)
        }
    }

    private suspend fun openIdempotent(request: CallerRequest): Result<OpenAnswer, Problem> {
        val tried = mutableSetOf<VmId>()
        var last: Problem? = null
        for (attempt in 0 until ATTEMPTS_MAX) {
            val isAllowed = attempt == 0 || budget.tryRetry()
            val endpoint = if (isAllowed) choose(request, excluded = tried) else null
            if (endpoint == null) break
            tried += endpoint.status.vm
            val placed = submit(request, endpoint, request.id) ?: continue
            val relay = relay(request, placed)
            when (val start = relay.start()) {
                is AnswerStart.Begun -> return begun(relay, start, placed.placement)
                is AnswerStart.Declined -> {
                    last = problemOf(start.refused)
                    noteFailure(placed, start.refused.ran)
                }
                is AnswerStart.Lost -> {
                    last =
                        Problem(
                            ProblemKind.UNAVAILABLE,
                            "the endpoint was lost; retry",
                            Ran.UNKNOWN,
                            RETRY_AFTER_MILLIS
                        )
                    outliers.onFailure(placed.placement.vm, monotonicMillis())
                }
            }
            finish(relay, placed.placement)
            if (last.kind == ProblemKind.POISON) break
        }
        return Err(last ?: noEndpoint(request))
    }

    private fun noteFailure(placed: Placed, ran: Ran) {
        if (ran == Ran.UNKNOWN) outliers.onFailure(placed.placement.vm, monotonicMillis())
    }

    private fun begun(
        relay: AnswerRelay,
        start: AnswerStart.Begun,
        placement: Placement
    ): Result<OpenAnswer, Problem> {
        outliers.onSuccess(placement.vm)
        return Ok(OpenAnswer(relay, start, placement))
    }

    // Without a key nobody can tell a repetition from a new request, so there is one dispatch
    // only.
    private suspend fun openOnce(request: CallerRequest): Result<OpenAnswer, Problem> {
        val endpoint = choose(request) ?: return Err(noEndpoint(request))
        val placed = submit(request, endpoint, request.id) ?: return Err(noEndpoint(request))
        return follow(request, placed)
    }

    private suspend fun follow(
        request: CallerRequest,
        placed: Placed
    ): Result<OpenAnswer, Problem> {
        val relay = relay(request, placed)
        return when (val start = relay.start()) {
            is AnswerStart.Begun -> begun(relay, start, placed.placement)
            is AnswerStart.Declined -> {
                finish(relay, placed.placement)
                Err(problemOf(start.refused))
            }
            is AnswerStart.Lost -> {
                finish(relay, placed.placement)
                Err(outcomeUnknown("the endpoint was lost while it may have run the request"))
            }
        }
    }

    private suspend fun openKeyed(
        request: CallerRequest,
        key: String
    ): Result<OpenAnswer, Problem> {
        val endpoint = choose(request) ?: return Err(noEndpoint(request))
        val claimKey = claimKey(request, key)
        val own =
            ClaimRecord(
                request.id,
                endpoint.status.vm,
                endpoint.status.incarnation,
                request.fingerprint
            )
        val flow = AtMostOnceFlow(own)
        var step = flow.start()
        while (true) {
            step = when (val current = step) {
                is ClaimStep.ReadClaim -> flow.on(readClaim(claimKey))
                is ClaimStep.WriteClaim -> flow.on(writeClaim(claimKey, current))
                is ClaimStep.Dispatch -> return dispatchClaimed(request, current.record)
                is ClaimStep.Fetch -> when (val fetched = fetchClaimed(request, current.record)) {
                    is Fetched.Answer -> return Ok(fetched.open)
                    is Fetched.Input -> flow.on(fetched.input)
                }
                is ClaimStep.Relay -> return Err(outcomeUnknown("the answer was relayed before"))
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
            val record = found?.let { decode(it.value) }
            if (found != null && record == null) {
                ClaimInput.StoreDown
            } else {
                ClaimInput.Read(record, found?.version ?: 0)
            }
        },
        failure = { ClaimInput.StoreDown }
    )

    private fun decode(value: String): ClaimRecord? = try {
        Json.decodeFromString<ClaimRecord>(value)
    } catch (e: SerializationException) {
        events.event(EventCode.OBJECT_API_UNAVAILABLE) { "claim is malformed: ${e.message}" }
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
    ): Result<OpenAnswer, Problem> {
        val connection = links.connection(record.vm, record.incarnation)
            ?: return Err(
                Problem(
                    ProblemKind.UNAVAILABLE,
                    "the endpoint has left; repeat with the same key",
                    Ran.NO,
                    RETRY_AFTER_MILLIS
                )
            )
        val placement = Placement(record.vm, record.incarnation, release = null)
        val placed = send(request, placement, record.requestId, connection, resumeOffset = 0)
            ?: return Err(outcomeUnknown("the endpoint was lost; repeat with the same key"))
        return follow(request, placed)
    }

    private suspend fun fetchClaimed(request: CallerRequest, record: ClaimRecord): Fetched {
        val connection = links.awaitConnection(record.vm, record.incarnation, CLAIM_CONNECT_MILLIS)
            ?: return Fetched.Input(ClaimInput.AgentUnknown)
        val placement = Placement(record.vm, record.incarnation, release = null)
        // Several submissions may follow one request id, each under its own link.
        val link = links.open(record.requestId, connection)
        connection.send(Fetch(record.requestId, 0, windowBytes))
        table.addInFlight(placement.vm, 1)
        val relay = relay(request, Placed(placement, link))
        return when (val start = relay.start()) {
            is AnswerStart.Begun -> {
                events.event(EventCode.REQUEST_REPLAYED, EventSubject(requestId = request.id)) {
                    "repeated submission of ${record.requestId}"
                }
                Fetched.Answer(OpenAnswer(relay, start, placement))
            }
            is AnswerStart.Declined -> {
                finish(relay, placement)
                val didNotRun = start.refused.ran == Ran.NO
                Fetched.Input(
                    if (didNotRun) ClaimInput.AgentDidNotRun else ClaimInput.AgentUnknown
                )
            }
            is AnswerStart.Lost -> {
                finish(relay, placement)
                Fetched.Input(ClaimInput.AgentUnknown)
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
            "other submissions compete for the key; repeat with the same key",
            step.ran,
            RETRY_AFTER_MILLIS
        )
        ClaimRefusal.OUTCOME_UNKNOWN -> outcomeUnknown("the endpoint that took the request is gone")
    }

    private fun outcomeUnknown(why: String): Problem = Problem(
        ProblemKind.OUTCOME_UNKNOWN,
        "$why; check the effect before asking again",
        Ran.UNKNOWN
    )

    private fun noEndpoint(request: CallerRequest): Problem = Problem(
        ProblemKind.UNAVAILABLE,
        "no endpoint of pool ${request.pool.id} can take the request now; retry later",
        Ran.NO,
        RETRY_AFTER_MILLIS
    )

    private fun choose(
        request: CallerRequest,
        release: ReleaseDigest? = null,
        excluded: Set<VmId> = emptySet()
    ): EndpointView? {
        val configuration = document()?.configuration ?: return null
        val query = RouteQuery(
            self.zone,
            self.region,
            configuration.zones.filter { it.state == ZoneState.OUT }.map { it.id }.toSet(),
            release,
            needsRelease = request.pool.kind == PoolKind.ENGINE,
            request.prefix,
            excluded
        )
        val endpoints = table.endpointsOf(request.pool.id, monotonicMillis())
        return synchronized(random) { selectEndpoint(endpoints, query, random) }
    }

    private suspend fun submit(
        request: CallerRequest,
        endpoint: EndpointView,
        id: RequestId,
        resumeOffset: Long = 0
    ): Placed? {
        val status = endpoint.status
        val connection = links.connection(status.vm, status.incarnation) ?: return null
        val placement = Placement(status.vm, status.incarnation, status.loaded)
        return send(request, placement, id, connection, resumeOffset)
    }

    private suspend fun send(
        request: CallerRequest,
        placement: Placement,
        id: RequestId,
        connection: PeerConnection,
        resumeOffset: Long
    ): Placed? {
        val link = links.open(id, connection)
        table.addInFlight(placement.vm, 1)
        val submit = Submit(
            id,
            placement.incarnation,
            document()?.stored?.revision ?: Revision(0),
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
        if (connection.send(submit)) return Placed(placement, link)
        links.release(link)
        table.addInFlight(placement.vm, -1)
        return null
    }

    private fun relay(request: CallerRequest, placed: Placed): AnswerRelay {
        val canContinue =
            request.delivery == Delivery.IDEMPOTENT && request.pool.kind == PoolKind.ENGINE
        val continuation = AnswerContinuation { offset, release, after ->
            table.addInFlight(after.vm, -1)
            val endpoint = choose(request, release, excluded = setOf(after.vm))
            endpoint?.let { submit(request, it, newRequestId(), offset) }
        }
        return AnswerRelay(links, windowBytes, events, placed, continuation.takeIf { canContinue })
    }

    /** Ends a relay that was opened here. */
    suspend fun finish(relay: AnswerRelay, placement: Placement) {
        relay.close()
        table.addInFlight(placement.vm, -1)
    }

    private sealed interface Fetched {
        class Answer(val open: OpenAnswer) : Fetched

        class Input(val input: ClaimInput) : Fetched
    }

    private companion object {
        const val DEFAULT_BUDGET_PERCENT = 10
    }
}
