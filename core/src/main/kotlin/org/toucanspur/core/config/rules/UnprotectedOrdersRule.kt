package org.toucanspur.core.config.rules

import org.toucanspur.core.config.Finding
import org.toucanspur.core.config.Severity
import org.toucanspur.schema.PoolFencing
import org.toucanspur.schema.PoolKind
import org.toucanspur.schema.PoolOrderCheck

/**
 * Applies to engine pools that neither honour fencing numbers nor check the sender of an order. The
 * agent's lease is then the only protection, so other VMs must not be able to reach the engine's
 * port.
 */
class UnprotectedOrdersRule : DocumentRule {
    override fun check(context: RuleContext): List<Finding> = context.configuration.pools
        .filter { it.kind == PoolKind.ENGINE }
        .filter { it.fencing == PoolFencing.IGNORED && it.orderCheck == PoolOrderCheck.NO }
        .map { pool ->
            val message = "engines of pool \"${pool.id}\" accept orders from anyone; the " +
                "agent's lease is the only guard, so close their port to other VMs"
            context.finding(pool, "order-check", message, Severity.WARNING)
        }
}
