package org.toucanspur.core.config.rules

import org.toucanspur.core.config.Finding
import org.toucanspur.schema.PoolKind

/** Applies to every service: its pool must be declared and hold plain services. */
class ServicePoolExistsRule : DocumentRule {
    override fun check(document: DocumentUnderCheck): List<Finding> {
        val pools = document.configuration.pools.associateBy { it.id }
        return document.configuration.services.mapNotNull { service ->
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
            val line = document.locations.line("service", service.id, "pool")
            message?.let { Finding(document.file, line, it) }
        }
    }
}
