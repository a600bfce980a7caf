package org.toucanspur.core.config.rules

import org.toucanspur.core.config.Finding
import org.toucanspur.schema.PoolKind

/** Applies to every service: its pool must be declared and of kind `service`. */
class ServicePoolExistsRule : DocumentRule {
    override fun check(context: RuleContext): List<Finding> {
        val pools = context.configuration.pools.associateBy { it.id }
        return context.configuration.services.mapNotNull { service ->
            val pool = pools[service.pool]
            val message = when {
                pool == null ->
                    "service \"${service.id}\" names pool \"${service.pool}\", which is " +
                        "not declared; add [pool ${service.pool}]"
                pool.kind != PoolKind.SERVICE ->
                    "service \"${service.id}\" names pool " +
                        "\"${service.pool}\" of kind engine; name a pool of kind service"
                else -> null
            }
            val line = context.locations.line("service", service.id, "pool")
            message?.let { Finding(context.file, line, it) }
        }
    }
}
