package org.toucanspur.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.fold
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.toucanspur.core.config.Finding
import org.toucanspur.core.config.Severity
import org.toucanspur.core.config.checkDocument

@Serializable
private data class FindingOutput(
    val file: String,
    val line: Int,
    val severity: String,
    val message: String
)

/** `toucanspur check`: checks a document offline. */
class CheckCommand : CliktCommand(name = "check") {
    private val file by argument("FILE", help = "Environment document").path()
    private val json by option("--json", help = "Print the findings as JSON").flag()

    override fun help(context: Context): String =
        "Checks an environment document without connecting to the platform.\n\n" +
            "Example: toucanspur check trial.ini"

    override fun run() {
        val findings = checkDocument(file.toString(), readFile(file)).fold({ it.warnings }, { it })
        if (json) echo(encode(findings)) else findings.forEach { echo(it.render()) }
        val hasErrors = findings.any { it.severity == Severity.ERROR }
        if (!json && !hasErrors) echo("$file: valid")
        if (hasErrors) throw ProgramResult(ExitCode.FINDINGS.code)
    }

    private fun encode(findings: List<Finding>): String {
        val output = findings.map {
            FindingOutput(it.file, it.line, it.severity.name.lowercase(), it.message)
        }
        return Json.encodeToString(ListSerializer(FindingOutput.serializer()), output)
    }
}
