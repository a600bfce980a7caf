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

/** A response as its caller received it. */
data class CallerResponse(
    val id: String,
    val status: Int,
    val outcome: CallOutcome,
    val detail: String,
    val atMillis: Long
)

/** A violated guarantee. */
data class Violation(val guarantee: String, val detail: String)

/** Limits that the guarantees state. */
data class GuaranteeLimits(
    val endpointsMax: Int,
    val revocationMillis: Long,
    val versionMillis: Long,
    val drainMillis: Long
)

/** Whether no fault affected requests of an entry to an endpoint in a time span. */
fun interface UndisturbedCheck {
    fun isUndisturbed(entry: Int, endpointIndex: Int, fromMillis: Long, toMillis: Long): Boolean
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

    /** All violations; [undisturbed] decides whether a bound applies. */
    fun verdict(undisturbed: UndisturbedCheck) =
        violations.toList() + responses.values.mapNotNull(::mixedResponse) +
            runs.groupBy { it.id }.flatMap { (id, ownRuns) -> callFaults(id, ownRuns) } +
            runs.mapNotNull { runViolation(it, undisturbed) }

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
    }
}
