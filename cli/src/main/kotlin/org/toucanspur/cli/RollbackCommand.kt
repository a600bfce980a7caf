package org.toucanspur.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import org.toucanspur.schema.Revision

/** `toucanspur rollback`: publishes an earlier document as a new revision. */
class RollbackCommand : CliktCommand(name = "rollback") {
    private val environment by argument("ENVIRONMENT", help = "Environment to roll back")
    private val to by option(
        "--to",
        metavar = "N",
        help = "Revision to restore; default: the one before the current"
    ).long()
    private val platform by PlatformOptions()
    private val change by ChangeOptions()

    override fun help(context: Context): String =
        "Publishes the content of an earlier revision as a new revision.\n\n" +
            "Example: toucanspur rollback production --to 41 --wait"

    override fun run() = platform.use { clients ->
        val publisher = clients.publisher(environment)
        val head = publisher.head().orFail().document
            ?: fail(
                "environment \"$environment\" has no document; apply one first",
                ExitCode.NOT_FOUND
            )
        val revision = Revision(to ?: (head.revision.value - 1))
        val earlier = publisher.revision(revision).orFail()
            ?: fail(
                "revision $revision does not exist; see `toucanspur history $environment`",
                ExitCode.NOT_FOUND
            )
        change.submit(this, clients, environment, earlier.text, head.revision)
    }
}
