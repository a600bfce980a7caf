/*
 * Observations of callers and endpoints in a soak run, and the guarantees that they show to be
 * violated. No data comes from the system under test.
 */
package org.toucanspur.bench.soak

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue

/** Kind of a request. */
enum class CallKind(val path: String, val isIdempotent: Boolean) {
    /** May run more than once. */
    IDEMPOTENT("/again/", true),

    /** Runs at most once. */
    AT_MOST_ONCE("/once/", false),

    /** A stream that another endpoint may resume. */
    STREAM("/stream/", true)
}

/** A request as its caller sent it. */
data class SentCall(
    val id: String,
    val kind: CallKind,
    val entry: Int,
    val key: String,
    val atMillis: Long
)

/** One run of a request, as an endpoint started it. */
data class EndpointRun(
    val id: String,
    val kind: CallKind,
    val organisation: String?,
    /** Number of the endpoint instance, unique to one start. */
    val instance: Int,
    /** Index of the endpoint; it has several instances one after another. */
    val endpointIndex: Int,
    val weightVersion: Long,
    val atMillis: Long
)

/** Outcome of a request for its caller. */
enum class CallOutcome {
    /** A complete response of an endpoint. */
    SERVED,

    /** A status that guarantees that the request was not executed. */
    NOT_RUN,

    /** Any other complete response. */
    FAILED,

    /** The connection closed before the end of the response. */
    BROKEN_OFF,

    /** A response that no endpoint sent in this form. */
    MIXED
}

/** How far a request and its response got on a connection. */
enum class CallEnd {
    /** The response arrived completely. */
    COMPLETE,

    /** The request was not sent completely. */
    NOT_SENT,

    /** The connection ended before the first byte of the response. */
    UNANSWERED,

    /** The connection ended inside the response. */
    CUT,

    /** The caller stopped waiting, later than its deadline. */
    GIVEN_UP
}

/** A response as its caller received it. */
data class CallerResponse(
    val id: String,
    val status: Int,
    val outcome: CallOutcome,
    val detail: String,
    val atMillis: Long,
    val end: CallEnd = CallEnd.COMPLETE,
    /** Time at which the last byte of the request was sent. */
    val sentMillis: Long = atMillis
)

/** A violated guarantee. */
data class Violation(val guarantee: String, val detail: String)

/** Limits that the guarantees state. */
data class GuaranteeLimits(
    val endpointsMax: Int,
    val revocationMillis: Long,
    val versionMillis: Long,
    val drainMillis: Long,
    /** Time in which a request may cross the close of its connection. */
    val crossingMillis: Long = 200
)

/** Whether no fault affected requests of an entry to an endpoint in a time span. */
fun interface UndisturbedCheck {
    fun isUndisturbed(entry: Int, endpointIndex: Int, fromMillis: Long, toMillis: Long): Boolean
}

/** Whether a fault excuses the missing or incomplete [CallerResponse] of a call after its runs. */
fun interface LossExcuse {
    fun excuses(call: SentCall, response: CallerResponse, runs: List<EndpointRun>): Boolean
}

private class Drain(val endpointIndex: Int, val atMillis: Long)

/** Observations of a run; thread-safe. */
class SoakObservations(private val limits: GuaranteeLimits) {
    private val sentCalls = ConcurrentHashMap<String, SentCall>()
    private val runs = ConcurrentLinkedQueue<EndpointRun>()
    private val responses = ConcurrentHashMap<String, CallerResponse>()
    private val revocations = ConcurrentHashMap<String, Long>()
    private val drains = ConcurrentHashMap<Int, Drain>()
    private val targetSetTimes = ConcurrentHashMap<Long, Long>()
    private val loads = ConcurrentLinkedQueue<Pair<Int, Long>>()
    private val violations = ConcurrentLinkedQueue<Violation>()

    fun onSent(call: SentCall) {
        sentCalls[call.id] = call
    }

    fun onRun(run: EndpointRun) {
        runs += run
    }

    fun onResponse(response: CallerResponse) {
        responses[response.id] = response
    }

    /** The store has acknowledged the revocation of [key]. */
    fun onRevoked(key: String, atMillis: Long) {
        revocations[key] = atMillis
    }

    /** The store has acknowledged that [instance] of an endpoint is draining. */
    fun onDrained(instance: Int, endpointIndex: Int, atMillis: Long) {
        drains[instance] = Drain(endpointIndex, atMillis)
    }

    /** The store has acknowledged [version] as the weight version to serve. */
    fun onTargetVersionSet(version: Long, atMillis: Long) {
        targetSetTimes[version] = atMillis
    }

    /** The endpoint with [endpointIndex] loads weights, which breaks off its streams. */
    fun onLoad(endpointIndex: Int, atMillis: Long) {
        loads += endpointIndex to atMillis
    }

    /** Records a violation that is detected outside of this class. */
    fun onViolation(guarantee: String, detail: String) {
        violations += Violation(guarantee, detail)
    }

    /** Number of responses by outcome. */
    fun counts(): Map<CallOutcome, Int> = responses.values.groupingBy { it.outcome }.eachCount()

    /** Fraction of the calls of [kind] from [fromMillis] on that were served. */
    fun servedShare(kind: CallKind, fromMillis: Long): Double {
        val calls = sentCalls.values.filter { it.kind == kind && it.atMillis >= fromMillis }
        return calls.count { responses[it.id]?.outcome == CallOutcome.SERVED }.toDouble() /
            calls.size
    }

    /** Number of bounds on draining endpoints and weight versions that applied to [entries]. */
    fun boundsChecked(entries: Int, endpointIndexes: IntRange, undisturbed: UndisturbedCheck): Int {
        val drainBounds = drains.values.map {
            Triple(it.endpointIndex, it.atMillis, limits.drainMillis)
        }
        val versionBounds = targetSetTimes.values.flatMap { at ->
            endpointIndexes.map { Triple(it, at, limits.versionMillis) }
        }
        return (drainBounds + versionBounds).sumOf { (endpointIndex, at, bound) ->
            (0 until entries).count { undisturbed.isUndisturbed(it, endpointIndex, at, at + bound) }
        }
    }

    /** Number of requests that crossed the close of their connection. */
    fun crossedCount(): Int {
        val ownRuns = runs.groupBy { it.id }
        return responses.values.count { hasCrossedClose(it, ownRuns[it.id].orEmpty()) }
    }

    /**
     * All violations; [undisturbed] decides whether a bound applies, [excuse] whether a request may
     * have no complete response.
     */
    fun verdict(excuse: LossExcuse = noExcuse, undisturbed: UndisturbedCheck): List<Violation> {
        val ownRuns = runs.groupBy { it.id }
        return violations.toList() + responses.values.mapNotNull(::mixedResponse) +
            responses.values.mapNotNull { lostRequest(it, ownRuns[it.id].orEmpty(), excuse) } +
            ownRuns.flatMap { (id, runsOfCall) -> callFaults(id, runsOfCall) } +
            runs.mapNotNull { runViolation(it, undisturbed) }
    }

    private fun hasCrossedClose(response: CallerResponse, ownRuns: List<EndpointRun>) =
        response.end == CallEnd.UNANSWERED &&
            ownRuns.isEmpty() &&
            response.atMillis - response.sentMillis <= limits.crossingMillis

    private fun lostRequest(
        response: CallerResponse,
        ownRuns: List<EndpointRun>,
        excuse: LossExcuse
    ): Violation? {
        val call = sentCalls[response.id] ?: return null
        val isSettled = response.end == CallEnd.COMPLETE || response.end == CallEnd.NOT_SENT
        if (isSettled || hasCrossedClose(response, ownRuns)) return null
        if (response.end == CallEnd.CUT && ownRuns.any { hasLoaded(it, response.atMillis) }) {
            return null
        }
        if (excuse.excuses(call, response, ownRuns)) return null
        val afterMillis = response.atMillis - response.sentMillis
        return Violation(
            "request without a response",
            "${call.id}, ${call.kind} at entry ${call.entry} with ${ownRuns.size} runs: " +
                "${response.end} after $afterMillis ms, at ${response.atMillis} ms, " +
                response.detail
        )
    }

    private fun hasLoaded(run: EndpointRun, untilMillis: Long) =
        loads.any { (index, at) -> index == run.endpointIndex && at in run.atMillis..untilMillis }

    private fun mixedResponse(response: CallerResponse): Violation? =
        Violation("mixed response", "${response.id}: ${response.detail}")
            .takeIf { response.outcome == CallOutcome.MIXED }

    private fun callFaults(id: String, ownRuns: List<EndpointRun>): List<Violation> = buildList {
        val call = sentCalls[id]
        if (call == null) {
            add(Violation("run of an unknown request", id))
            return@buildList
        }
        if (ownRuns.any { it.kind != call.kind }) add(Violation("modified request", id))
        if (ownRuns.any { it.organisation != ORGANISATION }) {
            add(Violation("wrong organisation", "$id: ${ownRuns.map { it.organisation }}"))
        }
        if (!call.kind.isIdempotent && ownRuns.size > 1) add(Violation("run twice", id))
        if (ownRuns.size > limits.endpointsMax) {
            add(Violation("too many runs", "$id: ${ownRuns.size} runs"))
        }
        val response = responses[id]
        if (!call.kind.isIdempotent && response?.outcome == CallOutcome.NOT_RUN) {
            add(
                Violation(
                    "false refusal",
                    "$id: status ${response.status}, but the request ran"
                )
            )
        }
    }

    private fun runViolation(run: EndpointRun, undisturbed: UndisturbedCheck): Violation? {
        val call = sentCalls[run.id] ?: return null
        val revokedMillis = revocations[call.key]
        // Applies to every process, including one that was paused or partitioned.
        if (revokedMillis != null && call.atMillis > revokedMillis + limits.revocationMillis) {
            val late = call.atMillis - revokedMillis
            return Violation("revoked key", "${run.id} sent $late ms after the revocation")
        }
        fun isLate(since: Long?, bound: Long) = since != null &&
            run.atMillis > since + bound &&
            undisturbed.isUndisturbed(call.entry, run.endpointIndex, since, run.atMillis)
        val drainedMillis = drains[run.instance]?.atMillis
        if (isLate(drainedMillis, limits.drainMillis)) {
            return Violation("drain", "${run.id} at instance ${run.instance}, ${run.atMillis} ms")
        }
        val newerMillis = targetSetTimes.filterKeys { it > run.weightVersion }.values.minOrNull()
        if (run.kind == CallKind.STREAM && isLate(newerMillis, limits.versionMillis)) {
            return Violation("old weights", "${run.id} on version ${run.weightVersion}")
        }
        return null
    }

    companion object {
        /** Organisation of all callers of a run. */
        const val ORGANISATION = "callers"

        private val noExcuse = LossExcuse { _, _, _ -> false }
    }
}
