/*
 * Complete offline validation of environment documents and settings files.
 */
package org.toucanspur.core.config

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.toucanspur.core.config.rules.RuleContext
import org.toucanspur.core.config.rules.documentRules
import org.toucanspur.schema.DaemonConfiguration
import org.toucanspur.schema.DaemonRole
import org.toucanspur.schema.EnvironmentConfiguration
import org.toucanspur.schema.NodeConfiguration
import org.toucanspur.schema.NodeRole
import org.toucanspur.schema.SectionValues
import org.toucanspur.schema.daemonConfiguration
import org.toucanspur.schema.daemonFileSpec
import org.toucanspur.schema.environmentConfiguration
import org.toucanspur.schema.environmentFileSpec
import org.toucanspur.schema.nodeConfiguration
import org.toucanspur.schema.nodeFileSpec

/** A document without errors; [warnings] are shown to the operator. */
data class CheckedDocument(
    val configuration: EnvironmentConfiguration,
    val values: Map<String, List<SectionValues>>,
    val warnings: List<Finding>
)

/** Validates an environment document; on failure returns all findings including warnings. */
fun checkDocument(file: String, text: String): Result<CheckedDocument, List<Finding>> {
    val keys = checkKeys(file, text, environmentFileSpec)
    if (keys.hasErrors) return Err(keys.findings)
    val configuration = environmentConfiguration(keys.values)
    val context = RuleContext(file, configuration, keys.locations)
    val findings = documentRules().flatMap { it.check(context) }.sortedBy { it.line }
    return if (findings.any { it.severity == Severity.ERROR }) {
        Err(findings)
    } else {
        Ok(CheckedDocument(configuration, keys.values, findings))
    }
}

/** Validates a settings file of the daemon; on failure returns all findings. */
fun checkSettings(file: String, text: String): Result<DaemonConfiguration, List<Finding>> {
    val keys = checkKeys(file, text, daemonFileSpec)
    if (keys.hasErrors) return Err(keys.findings)
    val settings = daemonConfiguration(keys.values)
    val findings = agentSettingsFindings(file, settings, keys.locations)
    return if (findings.isEmpty()) Ok(settings) else Err(findings)
}

/** Validates the settings of a node in a platform deployment; on failure returns all findings. */
fun checkNodeSettings(file: String, text: String): Result<NodeConfiguration, List<Finding>> {
    val keys = checkKeys(file, text, nodeFileSpec)
    if (keys.hasErrors) return Err(keys.findings)
    val settings = nodeConfiguration(keys.values)
    val missing = when (settings.node.role) {
        NodeRole.ENTRY -> listOf(
            Triple("addresses", "callers", settings.addresses.callers),
            Triple("addresses", "readiness", settings.addresses.readiness)
        )
        NodeRole.AGENT -> listOf(
            Triple("engine", "address", settings.engine.address),
            Triple("engine", "service", settings.engine.service.value)
        )
    }.filter { it.third == "none" || it.third.isEmpty() }
    val findings = missing.map { (section, key, _) ->
        val line = keys.locations.line(section)
        Finding(file, line, "role ${settings.node.role} lacks \"$key\" in [$section]; add it")
    }
    return if (findings.isEmpty()) Ok(settings) else Err(findings)
}

private fun agentSettingsFindings(
    file: String,
    settings: DaemonConfiguration,
    locations: SourceLocations
): List<Finding> {
    if (settings.daemon.role != DaemonRole.AGENT) return emptyList()
    val discardUrl = "http://127.0.0.1:9"
    val line = locations.line("endpoint")
    return buildList {
        if (settings.endpoint.pool.value == "none") {
            add(
                Finding(
                    file,
                    line,
                    "role agent lacks \"pool\" in section [endpoint]; name its pool"
                )
            )
        }
        if (settings.endpoint.url == discardUrl) {
            add(
                Finding(
                    file,
                    line,
                    "role agent lacks \"url\" in section [endpoint]; give the endpoint's URL"
                )
            )
        }
    }
}
