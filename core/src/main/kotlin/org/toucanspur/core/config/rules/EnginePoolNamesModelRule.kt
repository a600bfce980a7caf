package org.toucanspur.core.config.rules

import org.toucanspur.core.config.Finding
import org.toucanspur.schema.PoolKind

/** Applies to pools of kind `engine`: without a declared model a pool has no weights to load. */
class EnginePoolNamesModelRule : DocumentRule {
    override fun check(context: RuleContext): List<Finding> {
        val models = context.configuration.models.map { it.id }.toSet()
        return context.configuration.pools
            .filter { it.kind == PoolKind.ENGINE && it.model !in models }
            .map { pool ->
                val message = "pool \"${pool.id}\" names model \"${pool.model}\", which is not " +
                    "declared; add [model ${pool.model}] or name one of: ${models.joinToString()}"
                context.finding(pool, "model", message)
            }
    }
}
