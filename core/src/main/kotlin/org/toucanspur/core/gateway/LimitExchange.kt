/*
 * Exchanges the limits that endpoints name between entries, so that an entry that starts knows
 * them before its first request, and all entries learn at once when one is lifted. The latest
 * observation of a run of an endpoint holds. Times are ages, as clocks differ between VMs.
 */
package org.toucanspur.core.gateway

import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.EndpointLimit

/** Limits of the endpoints in [fleet]. Not thread-safe. */
class LimitExchange(private val fleet: Fleet) {
    private var sent = emptyMap<EndpointId, Long>()

    /** What the other entries should learn, at most [LIMITS_MAX] endpoints. */
    fun limits(nowMillis: Long): List<EndpointLimit> =
        fleet.all().mapNotNull { it.limit(nowMillis) }.take(LIMITS_MAX)

    /** Whether [limits] differ from those of the last call, apart from their ages. */
    fun isNews(limits: List<EndpointLimit>): Boolean {
        val current = limits.associate { it.endpoint to it.milliPerSecond }
        val isNews = current != sent
        sent = current
        return isNews
    }

    /** Applies [limits] that another entry has sent. */
    fun merge(limits: List<EndpointLimit>, nowMillis: Long) = limits.take(LIMITS_MAX).forEach {
        val known = fleet.find(it.endpoint) ?: return@forEach
        if (known.record.startedAtMillis == it.startedAtMillis) known.onReportedLimit(it, nowMillis)
    }

    private companion object {
        const val LIMITS_MAX = 64
    }
}
