package org.toucanspur.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate

/** `toucanspur promote`: puts the document of one environment in force in another. */
class PromoteCommand : CliktCommand(name = "promote") {
    private val from by argument("FROM", help = "Environment whose document is taken")
    private val to by argument("TO", help = "Environment that receives it")
    private val platform by PlatformOptions()
    private val change by ChangeOptions()

    override fun help(context: Context): String =
        "Copies the document in force from one environment to another; only its name changes.\n\n" +
            "Example: toucanspur promote trial production --wait"

    override fun run() = platform.use { clients ->
        val source = clients.publisher(from).head().orFail().document
            ?: fail("environment \"$from\" has no document; apply one first", ExitCode.NOT_FOUND)
        val text = renameEnvironment(source.text, to)
        checkedOrFail("$from at revision ${source.revision}", text)
        change.submit(this, clients, to, text)
    }
}

private val nameLine = Regex("(?m)^(\\s*name\\s*=\\s*).*$")

/** Replaces the name in section `[environment]`, the only section that has one. */
internal fun renameEnvironment(text: String, name: String): String =
    nameLine.replaceFirst(text, "$1${Regex.escapeReplacement(name)}")
