package org.toucanspur.core.config.rules

import org.toucanspur.core.config.Finding
import org.toucanspur.core.config.Severity
import org.toucanspur.schema.PoolFencing
import org.toucanspur.schema.PoolKind
import org.toucanspur.schema.PoolOrderCheck

/**
 * Applies to engine pools that neither honour fencing numbers nor check who gives an order: the
 * agent's lease is then the only guard, so its VM must not be reachable on the engine's port.
 */
class UnguardedOrdersRule : DocumentRule {
    override fun check(document: DocumentUnderCheck): List<Finding> = document.configuration.pools
        .filter { it.kind == PoolKind.ENGINE }
        .filter { it.fencing == PoolFencing.IGNORED && it.orderCheck == PoolOrderCheck.NO }
        .map { pool ->
            val message = "engines of pool \"${pool.id}\" accept orders from anyone; the " +
                "agent's lease is the only guard, so close their port to other VMs"
            document.finding(pool, "order-check", message, Severity.WARNING)
        }
}
