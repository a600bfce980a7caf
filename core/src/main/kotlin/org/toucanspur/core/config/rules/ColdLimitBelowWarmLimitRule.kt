package org.toucanspur.core.config.rules

import org.toucanspur.core.config.Finding

/** Applies to every pool: the limit of a cold endpoint must not exceed that of a warm one. */
class ColdLimitBelowWarmLimitRule : DocumentRule {
    override fun check(context: RuleContext): List<Finding> = context.configuration.pools
        .filter { it.coldConcurrent > it.concurrentMax }
        .map { pool ->
            val message = "cold-concurrent ${pool.coldConcurrent} exceeds concurrent-max " +
                "${pool.concurrentMax}; lower it to ${pool.concurrentMax} or less"
            context.finding(pool, "cold-concurrent", message)
        }
}
