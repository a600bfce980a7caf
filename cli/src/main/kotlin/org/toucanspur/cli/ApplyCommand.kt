package org.toucanspur.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import org.toucanspur.schema.Revision

/** `toucanspur apply`: checks and publishes a document. */
class ApplyCommand : CliktCommand(name = "apply") {
    private val file by argument("FILE", help = "Environment document").path()
    private val expected by option(
        "--expect-revision",
        metavar = "N",
        help = "Accept only if this is the current revision"
    ).long()
    private val platform by PlatformOptions()
    private val change by ChangeOptions()

    override fun help(context: Context): String =
        "Checks a document and publishes it by a conditional update.\n\n" +
            "Example: toucanspur apply trial.ini --wait --note \"raise limits\""

    override fun run() {
        val text = readFile(file)
        val environment = checkOrFail(file.toString(), text).configuration.environment.name
        platform.use { clients ->
            change.submit(this, clients, environment, text, expected?.let(::Revision))
        }
    }
}
