/*
 * Times of the last responses of each service, at this entry and as reported by the other ones. A
 * service with little traffic may respond to others only a few times between two crashes, so that
 * no entry alone sees enough of its responses.
 */
package org.toucanspur.core.gateway

import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.ServiceResponses
import org.toucanspur.schema.VmId

/** The last [keptMax] responses of each service per entry. Not thread-safe. */
class RecentResponses(private val keptMax: Int) {
    private val own = HashMap<ServiceId, ArrayDeque<Long>>()
    private val reported = recentlyUsed<VmId, Map<ServiceId, List<Long>>>(ENTRIES_MAX)

    /** Records a response of [service] at this entry. */
    fun add(service: ServiceId, nowMillis: Long) {
        val times = own.getOrPut(service) { ArrayDeque() }
        times.addLast(nowMillis)
        if (times.size > keptMax) times.removeFirst()
    }

    /** Number of responses of [service] after [sinceMillis], as far as they are kept. */
    fun countSince(service: ServiceId, sinceMillis: Long): Int =
        ownCountSince(service, sinceMillis) +
            reported.values.sumOf { times ->
                times[service].orEmpty().count { it > sinceMillis }
            }

    /** Like [countSince], at this entry alone. */
    fun ownCountSince(service: ServiceId, sinceMillis: Long): Int =
        own[service].orEmpty().count { it > sinceMillis }

    /** The responses at this entry, as ages. */
    fun report(nowMillis: Long): List<ServiceResponses> = own.map { (service, times) ->
        ServiceResponses(service, times.map { nowMillis - it })
    }

    /** Replaces what the entry on [sender] has reported by [responses]. */
    fun merge(sender: VmId, responses: List<ServiceResponses>, nowMillis: Long) {
        reported[sender] = responses.associate { response ->
            response.service to response.agesMillis.take(keptMax).map { nowMillis - it }
        }
    }

    private companion object {
        const val ENTRIES_MAX = 256
    }
}
