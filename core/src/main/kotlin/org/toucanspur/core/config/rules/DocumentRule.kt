/*
 * Rules on the meaning of an environment document. Each rule has a class and a file of its own.
 */
package org.toucanspur.core.config.rules

import org.toucanspur.core.config.Finding
import org.toucanspur.core.config.Locations
import org.toucanspur.core.config.Severity
import org.toucanspur.schema.EnvironmentConfiguration
import org.toucanspur.schema.PoolSection

/** A document whose keys are valid, with the lines of its sections and keys. */
class DocumentUnderCheck(
    val file: String,
    val configuration: EnvironmentConfiguration,
    val locations: Locations
) {
    /** A finding at [key] of the pool. */
    fun finding(
        pool: PoolSection,
        key: String,
        message: String,
        severity: Severity = Severity.ERROR
    ): Finding = Finding(file, locations.line("pool", pool.id.value, key), message, severity)
}

/** A check that sees the whole document; it holds no state and does no I/O. */
fun interface DocumentRule {
    /** The faults that the rule finds in [document]. */
    fun check(document: DocumentUnderCheck): List<Finding>
}

/** All rules, in the order in which they run. */
fun documentRules(): List<DocumentRule> = listOf(
    PoolZonesExistRule(),
    EnginePoolNamesModelRule(),
    ServicePoolExistsRule(),
    ColdLimitBelowWarmLimitRule(),
    UnavailableLimitFitsPoolRule(),
    UnguardedOrdersRule()
)
