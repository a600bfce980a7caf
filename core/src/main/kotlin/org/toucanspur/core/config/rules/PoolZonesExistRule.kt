package org.toucanspur.core.config.rules

import org.toucanspur.core.config.Finding

/**
 * Applies to every pool: its availability zones must be declared, else no endpoint can serve it.
 */
class PoolZonesExistRule : DocumentRule {
    override fun check(document: DocumentUnderCheck): List<Finding> {
        val declared = document.configuration.zones.map { it.id }.toSet()
        return document.configuration.pools.flatMap { pool ->
            pool.zones.filter { it !in declared }.map { zone ->
                val message =
                    "availability zone \"$zone\" of pool \"${pool.id}\" is not declared; " +
                        "add [zone $zone] or remove it here"
                document.finding(pool, "zones", message)
            }
        }
    }
}
