package org.toucanspur.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.types.path
import org.toucanspur.core.config.diffDocuments

/** `toucanspur diff`: compares a document with the active one or with a second file. */
class DiffCommand : CliktCommand(name = "diff") {
    private val file by argument("FILE", help = "Environment document").path()
    private val secondFile by argument(
        "OTHER",
        help = "Second document; default: the active document"
    ).path().optional()
    private val platform by PlatformOptions()

    override fun help(context: Context): String =
        "Compares the settings of documents, not their text. Exit code 1 when they differ.\n\n" +
            "Example: toucanspur diff trial.ini"

    override fun run() {
        val first = checkOrFail(file.toString(), readFile(file))
        val second = secondFile
        val changes = if (second != null) {
            diffDocuments(first.values, checkOrFail(second.toString(), readFile(second)).values)
        } else {
            diffDocuments(activeValues(first.configuration.environment.name), first.values)
        }
        changes.forEach { echo(it.render()) }
        if (changes.isNotEmpty()) throw ProgramResult(ExitCode.FINDINGS.code)
        echo("no differences")
    }

    private fun activeValues(environment: String) = platform.use { clients ->
        val document = clients.publisher(environment).head().orFail().document
        document?.let { checkOrFail("revision ${it.revision}", it.text).values }.orEmpty()
    }
}
