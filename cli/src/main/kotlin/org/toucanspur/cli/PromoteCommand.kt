package org.toucanspur.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate

/** `toucanspur promote`: publishes the document of one environment in another. */
class PromoteCommand : CliktCommand(name = "promote") {
    private val from by argument("FROM", help = "Environment to copy the document from")
    private val to by argument("TO", help = "Environment to copy the document to")
    private val platform by PlatformOptions()
    private val change by ChangeOptions()

    override fun help(context: Context): String =
        "Copies the active document to another environment; only its name changes.\n\n" +
            "Example: toucanspur promote trial production --wait"

    override fun run() = platform.use { clients ->
        val source = clients.publisher(from).head().orFail().document
            ?: fail("environment \"$from\" has no document; apply one first", ExitCode.NOT_FOUND)
        val text = renameEnvironment(source.text, to)
        checkOrFail("$from at revision ${source.revision}", text)
        change.submit(this, clients, to, text)
    }
}

private val nameLinePattern = Regex("(?m)^(\\s*name\\s*=\\s*).*$")

/** Replaces the name in section `[environment]`, the only section with this key. */
internal fun renameEnvironment(text: String, name: String): String =
    nameLinePattern.replaceFirst(text, "$1${Regex.escapeReplacement(name)}")
