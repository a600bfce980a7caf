package org.toucanspur.core.config.rules

import org.toucanspur.core.config.Finding

/** Applies to every pool: a cold endpoint must not bear more than a warm one. */
class ColdLimitBelowWarmLimitRule : DocumentRule {
    override fun check(document: DocumentUnderCheck): List<Finding> = document.configuration.pools
        .filter { it.coldConcurrent > it.concurrentMax }
        .map { pool ->
            val message = "cold-concurrent ${pool.coldConcurrent} exceeds concurrent-max " +
                "${pool.concurrentMax}; lower it to ${pool.concurrentMax} or less"
            document.finding(pool, "cold-concurrent", message)
        }
}
