/*
 * The time for which one run of an endpoint wants no requests from this entry. An endpoint may
 * refuse several requests and ask for a different time in each refusal; all of these times hold.
 */
package org.toucanspur.core.gateway

/** The backoff that one run of an endpoint requests from this entry. Not thread-safe. */
class RequestedBackoff {
    private var untilMillis = Long.MIN_VALUE

    /** Applies a refusal received at [nowMillis] that asks for [backoffMillis]. */
    fun onRefused(backoffMillis: Long, nowMillis: Long) {
        if (backoffMillis > 0) untilMillis = maxOf(untilMillis, nowMillis + backoffMillis)
    }

    /** Time until the backoff ends; 0 without one. */
    fun remainingMillis(nowMillis: Long): Long =
        if (untilMillis > nowMillis) untilMillis - nowMillis else 0

    /** Forgets the backoff, for a new run of the endpoint. */
    fun reset() {
        untilMillis = Long.MIN_VALUE
    }
}
