/*
 * The time in which an entry that stops ends its requests. Load pattern: callers keep sending
 * requests on open connections, and endpoints work on some of them for longer than the entry has.
 * Each request gets a final response in time: one that cannot be served any more is refused before
 * it is sent, the others have until the end.
 */
package org.toucanspur.core.gateway

/** A stop that begins at [startMillis], after which the process is killed in [graceMillis]. */
class GracePeriod(private val startMillis: Long, graceMillis: Long) {
    /** Time by which each request has its final response. */
    val endMillis: Long = startMillis + maxOf(0, graceMillis - RESPONSE_MARGIN_MILLIS)

    /**
     * Whether a request of [route] to [service] at [nowMillis], whose caller waits for
     * [remainingMillis] or for the time-out of the route, can still be served.
     */
    fun admits(
        route: TrafficRoute,
        service: TrafficService,
        nowMillis: Long,
        remainingMillis: Long? = null
    ): Boolean {
        // A stream that has begun cannot be refused at the end, and callers have other entries.
        val mustEndInTime =
            route.kind == CallKind.STREAM && nowMillis > startMillis + HANDOVER_MILLIS
        val neededMillis = if (mustEndInTime) {
            minOf(route.timeoutMillis, remainingMillis ?: route.timeoutMillis)
        } else {
            expectedMillis(route, service)
        }
        return nowMillis + neededMillis <= endMillis
    }

    private fun expectedMillis(route: TrafficRoute, service: TrafficService): Long {
        val engine = service.engine ?: return minOf(route.targetMillis, PLAIN_CALL_MILLIS)
        return (typicalResponseMillis(engine) * LONG_RESPONSE).toLong()
    }

    private companion object {
        // Lets the last responses reach their callers.
        const val RESPONSE_MARGIN_MILLIS = 700L
        const val PLAIN_CALL_MILLIS = 500L

        // Two probes, a second apart, and the time-out of the second one.
        const val HANDOVER_MILLIS = 3000L

        // Most responses take at most this many times as long as a typical one.
        const val LONG_RESPONSE = 2
    }
}
