/*
 * Decides when a request is sent to another endpoint because the first one failed, stalled or is
 * full. A second execution may be forbidden, and always uses capacity that other requests need.
 */
package org.toucanspur.core.gateway

/** How an attempt ended that gave the caller no complete response. */
enum class AttemptOutcome {
    /** The endpoint was not reached. */
    UNREACHED,

    /** The endpoint refused the request without executing it. */
    TURNED_AWAY,

    /** The endpoint may have executed the request. */
    MAY_HAVE_RUN
}

/** Attempts made for a request so far. */
data class AttemptHistory(
    /** Attempts after which an endpoint may have executed the request. */
    val executedAttempts: Int,
    /** Attempts that reached no endpoint or were refused. */
    val unexecutedAttempts: Int,
    val lastOutcome: AttemptOutcome,
    /** Whether the caller has received part of a response. */
    val isCommitted: Boolean
)

/** Whether a request may be retried. */
enum class RetryDecision {
    /** Needs no budget: the last endpoint was not reached and none can have executed it. */
    UNBUDGETED,

    /** Allowed if the retry budget permits it. */
    BUDGETED,

    /** Not allowed. */
    DENIED
}

/** Decides whether a request of [route] is retried after a failed attempt. */
fun decideRetry(route: TrafficRoute, history: AttemptHistory): RetryDecision {
    val isResumable = route.kind == CallKind.STREAM && route.isResumable
    return when {
        history.unexecutedAttempts > UNEXECUTED_ATTEMPTS_MAX -> RetryDecision.DENIED
        // The route limits the executions of a request; refused attempts count against the budget.
        history.lastOutcome == AttemptOutcome.TURNED_AWAY -> RetryDecision.BUDGETED
        history.executedAttempts == 0 -> RetryDecision.UNBUDGETED
        history.executedAttempts >= route.endpointsMax -> RetryDecision.DENIED
        history.lastOutcome == AttemptOutcome.MAY_HAVE_RUN && !route.isRepeatable ->
            RetryDecision.DENIED
        history.isCommitted && !isResumable -> RetryDecision.DENIED
        else -> RetryDecision.BUDGETED
    }
}

/**
 * Time without progress after which a retryable request is sent to another endpoint, provided that
 * one has a free slot immediately. A call to a service without a model engine is moved only after
 * [tailMillis], which few calls exceed.
 */
fun stallMillis(
    route: TrafficRoute,
    isCommitted: Boolean,
    tailMillis: Long = STALL_MIN_MILLIS
): Long = when {
    route.kind != CallKind.STREAM -> maxOf(tailMillis, route.targetMillis)
    isCommitted -> route.eventGapTargetMillis * STALL_EVENT_GAPS
    else -> route.targetMillis * STALL_TARGETS
}

// Several endpoints that have just been lost may refuse connections for a short time.
private const val UNEXECUTED_ATTEMPTS_MAX = 3

// Calls to services without a model engine take 20 ms; one in a hundred takes five times as long.
private const val STALL_MIN_MILLIS = 150L

// Callers cancel a stream after two seconds without an event.
private const val STALL_EVENT_GAPS = 3
private const val STALL_TARGETS = 2
