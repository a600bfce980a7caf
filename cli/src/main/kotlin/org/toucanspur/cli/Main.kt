/*
 * The command-line tool `toucanspur`. Operators change the system only through environment
 * documents, so no command acts on a process directly.
 */
package org.toucanspur.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Root command. */
class Toucanspur : CliktCommand(name = "toucanspur") {
    override fun help(context: Context): String =
        "Checks, applies and promotes environment documents and shows the system state.\n\n" +
            "Exit codes: " +
            ExitCode.entries.joinToString {
                "${it.code} ${it.name.lowercase().replace('_', ' ')}"
            }

    override fun run() = Unit
}

/** The root command with all subcommands. */
fun toucanspur(): CliktCommand = Toucanspur().subcommands(
    CheckCommand(),
    DiffCommand(),
    ApplyCommand(),
    PromoteCommand(),
    RollbackCommand(),
    HistoryCommand(),
    StatusCommand(),
    ExplainCommand(),
    TimelineCommand()
)

/** Entry point of the command-line tool. */
fun main(args: Array<String>) = toucanspur().main(args)
