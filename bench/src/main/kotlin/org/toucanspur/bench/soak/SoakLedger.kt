/*
 * What callers and endpoints saw in a soak run, and which promises that breaks. Nothing here comes
 * from the system under test.
 */
package org.toucanspur.bench.soak

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue

/** What callers ask for. */
enum class CallShape(val path: String, val isRepeatable: Boolean) {
    /** May run again. */
    REPEATABLE("/again/", true),

    /** Runs once at most. */
    ONCE("/once/", false),

    /** A stream that may go on elsewhere. */
    STREAM("/stream/", true)
}

/** A request as its caller sent it. */
data class SentCall(
    val id: String,
    val shape: CallShape,
    val entry: Int,
    val key: String,
    val atMillis: Long
)

/** A run as an endpoint began it. */
data class EndpointRun(
    val id: String,
    val shape: CallShape,
    val organisation: String?,
    /** Number of the endpoint, used for one life only. */
    val endpoint: Int,
    /** Where the endpoint lives; several lives follow each other there. */
    val place: Int,
    val weightVersion: Long,
    val atMillis: Long
)

/** How a request ended for its caller. */
enum class CallEnd {
    /** A whole answer of an endpoint. */
    SERVED,

    /** A status that promises that the request did not run. */
    NOT_RUN,

    /** Any other whole answer. */
    FAILED,

    /** The connection ended before the answer did. */
    BROKEN_OFF,

    /** An answer that no endpoint gave in this form. */
    MIXED
}

/** An answer as its caller saw it. */
data class CallerAnswer(
    val id: String,
    val status: Int,
    val end: CallEnd,
    val detail: String,
    val atMillis: Long
)

/** A promise that was broken. */
data class BrokenPromise(val promise: String, val detail: String)

/** Limits that the promises name. */
data class PromiseLimits(
    val endpointsMax: Int,
    val revocationMillis: Long,
    val versionMillis: Long,
    val drainMillis: Long
)

/** Asks whether an entry was calm for an endpoint's place in a span of time. */
fun interface CalmQuestion {
    fun isCalm(entry: Int, place: Int, fromMillis: Long, toMillis: Long): Boolean
}

private class Drain(val place: Int, val atMillis: Long)

/** Records of a run; safe for use by several threads. */
class SoakLedger(private val limits: PromiseLimits) {
    private val sent = ConcurrentHashMap<String, SentCall>()
    private val runs = ConcurrentLinkedQueue<EndpointRun>()
    private val answers = ConcurrentHashMap<String, CallerAnswer>()
    private val revoked = ConcurrentHashMap<String, Long>()
    private val drained = ConcurrentHashMap<Int, Drain>()
    private val named = ConcurrentHashMap<Long, Long>()
    private val found = ConcurrentLinkedQueue<BrokenPromise>()

    fun onSent(call: SentCall) {
        sent[call.id] = call
    }

    fun onRun(run: EndpointRun) {
        runs += run
    }

    fun onAnswer(answer: CallerAnswer) {
        answers[answer.id] = answer
    }

    /** The store has acknowledged that [key] is taken away. */
    fun onRevoked(key: String, atMillis: Long) {
        revoked[key] = atMillis
    }

    /** The store has acknowledged that [endpoint] at [place] leaves. */
    fun onDrained(endpoint: Int, place: Int, atMillis: Long) {
        drained[endpoint] = Drain(place, atMillis)
    }

    /** The store has acknowledged that [version] is to be used. */
    fun onNamed(version: Long, atMillis: Long) {
        named[version] = atMillis
    }

    /** Something else that must not be. */
    fun onBroken(promise: String, detail: String) {
        found += BrokenPromise(promise, detail)
    }

    /** Answers by how they ended. */
    fun counts(): Map<CallEnd, Int> = answers.values.groupingBy { it.end }.eachCount()

    /** Share of the calls of [shape] sent at [fromMillis] or later that were served. */
    fun servedShare(shape: CallShape, fromMillis: Long): Double {
        val calls = sent.values.filter { it.shape == shape && it.atMillis >= fromMillis }
        return calls.count { answers[it.id]?.end == CallEnd.SERVED }.toDouble() / calls.size
    }

    /** Number of bounds on leaving endpoints and old weights that some of [entries] had to keep. */
    fun boundsChecked(entries: Int, places: IntRange, question: CalmQuestion): Int {
        val drains = drained.values.map { Triple(it.place, it.atMillis, limits.drainMillis) }
        val names = named.values.flatMap { at ->
            places.map { Triple(it, at, limits.versionMillis) }
        }
        return (drains + names).sumOf { (place, at, bound) ->
            (0 until entries).count { question.isCalm(it, place, at, at + bound) }
        }
    }

    /** All broken promises; [question] says when bounds have to hold. */
    fun verdict(question: CalmQuestion) = found.toList() + answers.values.mapNotNull(::mixed) +
        runs.groupBy { it.id }.flatMap { (id, own) -> ofRequest(id, own) } +
        runs.mapNotNull { ofRun(it, question) }

    private fun mixed(answer: CallerAnswer): BrokenPromise? =
        BrokenPromise("mixed answer", "${answer.id}: ${answer.detail}")
            .takeIf { answer.end == CallEnd.MIXED }

    private fun ofRequest(id: String, own: List<EndpointRun>): List<BrokenPromise> = buildList {
        val call = sent[id]
        if (call == null) {
            add(BrokenPromise("run of a request that nobody sent", id))
            return@buildList
        }
        if (own.any { it.shape != call.shape }) add(BrokenPromise("changed request", id))
        if (own.any { it.organisation != ORGANISATION }) {
            add(BrokenPromise("wrong organisation", "$id: ${own.map { it.organisation }}"))
        }
        if (!call.shape.isRepeatable && own.size > 1) add(BrokenPromise("run twice", id))
        if (own.size > limits.endpointsMax) {
            add(BrokenPromise("sent too often", "$id: ${own.size} runs"))
        }
        val answer = answers[id]
        if (!call.shape.isRepeatable && answer?.end == CallEnd.NOT_RUN) {
            add(BrokenPromise("false refusal", "$id: ${answer.status}, but it ran"))
        }
    }

    private fun ofRun(run: EndpointRun, question: CalmQuestion): BrokenPromise? {
        val call = sent[run.id] ?: return null
        val revokedMillis = revoked[call.key]
        // Holds for all processes, also for one that was paused or cut off.
        if (revokedMillis != null && call.atMillis > revokedMillis + limits.revocationMillis) {
            val late = call.atMillis - revokedMillis
            return BrokenPromise("revoked key", "${run.id} sent $late ms after the revocation")
        }
        fun isLate(since: Long?, bound: Long) = since != null &&
            run.atMillis > since + bound &&
            question.isCalm(call.entry, run.place, since, run.atMillis)
        val drainedMillis = drained[run.endpoint]?.atMillis
        if (isLate(drainedMillis, limits.drainMillis)) {
            return BrokenPromise("drain", "${run.id} at ${run.endpoint}, ${run.atMillis} ms")
        }
        val newer = named.filterKeys { it > run.weightVersion }.values.minOrNull()
        if (run.shape == CallShape.STREAM && isLate(newer, limits.versionMillis)) {
            return BrokenPromise("old weights", "${run.id} on version ${run.weightVersion}")
        }
        return null
    }

    companion object {
        /** The one organisation of the run. */
        const val ORGANISATION = "callers"
    }
}
