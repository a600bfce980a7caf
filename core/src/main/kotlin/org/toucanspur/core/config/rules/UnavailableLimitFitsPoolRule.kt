package org.toucanspur.core.config.rules

import org.toucanspur.core.config.Finding

/**
 * Applies to every pool: changing release in one availability zone must leave endpoints in service
 * somewhere, unless the pool has a single endpoint.
 */
class UnavailableLimitFitsPoolRule : DocumentRule {
    override fun check(document: DocumentUnderCheck): List<Finding> = document.configuration.pools
        .filter { it.endpoints > 1 && it.unavailableMax * it.zones.size >= it.endpoints }
        .filter { it.unavailableMax > 1 }
        .map { pool ->
            val message = "unavailable-max ${pool.unavailableMax} in ${pool.zones.size} " +
                "availability zones may stop all ${pool.endpoints} endpoints of pool " +
                "\"${pool.id}\" at once; lower it"
            document.finding(pool, "unavailable-max", message)
        }
}
