package org.toucanspur.core.config.rules

import org.toucanspur.core.config.Finding
import org.toucanspur.schema.PoolKind

/** Applies to pools of kind `engine`: each must name a declared model, else it has no weights. */
class EnginePoolNamesModelRule : DocumentRule {
    override fun check(document: DocumentUnderCheck): List<Finding> {
        val models = document.configuration.models.map { it.id }.toSet()
        return document.configuration.pools
            .filter { it.kind == PoolKind.ENGINE && it.model !in models }
            .map { pool ->
                val message = "pool \"${pool.id}\" names model \"${pool.model}\", which is not " +
                    "declared; add [model ${pool.model}] or name one of: ${models.joinToString()}"
                document.finding(pool, "model", message)
            }
    }
}
