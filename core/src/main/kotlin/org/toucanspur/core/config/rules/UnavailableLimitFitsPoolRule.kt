package org.toucanspur.core.config.rules

import org.toucanspur.core.config.Finding

/**
 * Applies to pools with more than one endpoint: an `unavailable-max` above 1 must not allow a
 * rollout to stop all endpoints of the pool at the same time.
 */
class UnavailableLimitFitsPoolRule : DocumentRule {
    override fun check(context: RuleContext): List<Finding> = context.configuration.pools
        .filter { it.endpoints > 1 && it.unavailableMax * it.zones.size >= it.endpoints }
        .filter { it.unavailableMax > 1 }
        .map { pool ->
            val message = "unavailable-max ${pool.unavailableMax} in ${pool.zones.size} " +
                "availability zones may stop all ${pool.endpoints} endpoints of pool " +
                "\"${pool.id}\" at once; lower it"
            context.finding(pool, "unavailable-max", message)
        }
}
