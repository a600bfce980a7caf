/*
 * When a request goes to a second endpoint. Load pattern: endpoints that break off, go silent or
 * are full, while a second run of a request is either forbidden or costs capacity that others need.
 */
package org.toucanspur.core.gateway

/** How a send ended without an answer for the caller. */
enum class SendOutcome {
    /** No endpoint was reached. */
    UNREACHED,

    /** The endpoint turned the request away and did not run it. */
    TURNED_AWAY,

    /** The endpoint may have run the request. */
    MAY_HAVE_RUN
}

/** What has become of a request so far. */
data class SendHistory(
    /** Sends after which an endpoint may have run the request. */
    val sends: Int,
    /** Sends that reached no endpoint or were turned away. */
    val missed: Int,
    val last: SendOutcome,
    /** Whether the caller has part of an answer. */
    val isCommitted: Boolean
)

/** Whether a request may be sent again. */
enum class Resend {
    /** Yes; nothing has reached an endpoint yet. */
    FREE,

    /** Yes, if the retry budget has room. */
    IN_BUDGET,

    /** No. */
    NEVER
}

/** Decides on another send of a request of [route] after a failure. */
fun resendAfterFailure(route: TrafficRoute, history: SendHistory): Resend {
    val isResumable = route.kind == CallKind.STREAM && route.isResumable
    return when {
        history.missed > MISSED_MAX -> Resend.NEVER
        // The route limits the endpoints that run a request; the budget counts what they turn away.
        history.last == SendOutcome.TURNED_AWAY -> Resend.IN_BUDGET
        history.sends == 0 -> Resend.FREE
        history.sends >= route.endpointsMax -> Resend.NEVER
        history.last == SendOutcome.MAY_HAVE_RUN && !route.isRepeatable -> Resend.NEVER
        history.isCommitted && !isResumable -> Resend.NEVER
        else -> Resend.IN_BUDGET
    }
}

/**
 * Time without a sign of an endpoint after which a request that may be repeated is sent to another
 * one, if that one has a place at once.
 */
fun stallMillis(route: TrafficRoute, isCommitted: Boolean): Long = when {
    route.kind != CallKind.STREAM -> maxOf(STALL_PLAIN_MILLIS, route.targetMillis)
    isCommitted -> route.eventGapTargetMillis * STALL_GAPS
    else -> route.targetMillis * STALL_TARGETS
}

// Endpoints that were just lost may all refuse connections for a moment.
private const val MISSED_MAX = 3

// Plain calls take 20 ms; one in a hundred takes five times as long.
private const val STALL_PLAIN_MILLIS = 150L

// Callers abandon a stream after two seconds without an event.
private const val STALL_GAPS = 3
private const val STALL_TARGETS = 2
