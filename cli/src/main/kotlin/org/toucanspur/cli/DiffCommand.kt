package org.toucanspur.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.types.path
import org.toucanspur.core.config.diffDocuments

/** `toucanspur diff`: compares a document with the one in force, or two files. */
class DiffCommand : CliktCommand(name = "diff") {
    private val file by argument("FILE", help = "Environment document").path()
    private val other by argument(
        "OTHER",
        help = "Second document; default: the one in force"
    ).path().optional()
    private val platform by PlatformOptions()

    override fun help(context: Context): String =
        "Compares documents by meaning. Exit code 1 when they differ.\n\n" +
            "Example: toucanspur diff trial.ini"

    override fun run() {
        val own = checkedOrFail(file.toString(), readFile(file))
        val second = other
        val changes = if (second != null) {
            diffDocuments(own.values, checkedOrFail(second.toString(), readFile(second)).values)
        } else {
            diffDocuments(inForce(own.configuration.environment.name), own.values)
        }
        changes.forEach { echo(it.render()) }
        if (changes.isNotEmpty()) throw ProgramResult(ExitCode.FINDINGS.code)
        echo("no difference")
    }

    private fun inForce(environment: String) = platform.use { clients ->
        val document = clients.publisher(environment).head().orFail().document
        document?.let { checkedOrFail("revision ${it.revision}", it.text).values }.orEmpty()
    }
}
