/*
 * Semantic rules for environment documents. Each rule is a class in its own file.
 */
package org.toucanspur.core.config.rules

import org.toucanspur.core.config.Finding
import org.toucanspur.core.config.Severity
import org.toucanspur.core.config.SourceLocations
import org.toucanspur.schema.EnvironmentConfiguration
import org.toucanspur.schema.PoolSection

/** Input of a rule: a document whose keys are valid, with the lines of its sections and keys. */
class RuleContext(
    val file: String,
    val configuration: EnvironmentConfiguration,
    val locations: SourceLocations
) {
    /** Creates a finding at [key] of [pool]. */
    fun finding(
        pool: PoolSection,
        key: String,
        message: String,
        severity: Severity = Severity.ERROR
    ): Finding = Finding(file, locations.line("pool", pool.id.value, key), message, severity)
}

/** A check of the whole document; stateless and without I/O. */
fun interface DocumentRule {
    /** Returns the findings of the rule in [context]. */
    fun check(context: RuleContext): List<Finding>
}

/** All rules in the order of execution. */
fun documentRules(): List<DocumentRule> = listOf(
    PoolZonesExistRule(),
    EnginePoolNamesModelRule(),
    ServicePoolExistsRule(),
    ColdLimitBelowWarmLimitRule(),
    UnavailableLimitFitsPoolRule(),
    UnprotectedOrdersRule()
)
