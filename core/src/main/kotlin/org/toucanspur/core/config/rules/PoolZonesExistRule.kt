package org.toucanspur.core.config.rules

import org.toucanspur.core.config.Finding

/**
 * Applies to every pool: no endpoint can serve it from an availability zone that is not declared.
 */
class PoolZonesExistRule : DocumentRule {
    override fun check(context: RuleContext): List<Finding> {
        val declared = context.configuration.zones.map { it.id }.toSet()
        return context.configuration.pools.flatMap { pool ->
            pool.zones.filter { it !in declared }.map { zone ->
                val message =
                    "availability zone \"$zone\" of pool \"${pool.id}\" is not declared; " +
                        "add [zone $zone] or remove it here"
                context.finding(pool, "zones", message)
            }
        }
    }
}
