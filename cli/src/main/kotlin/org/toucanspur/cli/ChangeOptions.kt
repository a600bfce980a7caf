/*
 * Options and steps shared by the commands that change a document.
 */
package org.toucanspur.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import java.time.Clock
import java.util.UUID
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.toucanspur.core.config.Submission
import org.toucanspur.schema.Revision

private const val POLL_INTERVAL_MILLIS = 200L
private const val MILLIS_PER_SECOND = 1000L
private const val PROGRESS_BAR_CHARS = 30

@Serializable
private data class AcceptedOutput(
    val environment: String,
    val revision: Revision,
    val submissionId: String
)

/** Options of commands that change a document. */
class ChangeOptions : OptionGroup("Change") {
    private val note by option(
        "--note",
        metavar = "TEXT",
        help = "Purpose of the change"
    ).default("")
    private val author by option("--author", metavar = "NAME", help = "Author of the change")
        .default(System.getProperty("user.name").orEmpty())
    private val wait by option(
        "--wait",
        help = "Wait until the change is active on all processes"
    ).flag()
    private val waitSeconds by option(
        "--wait-seconds",
        metavar = "N",
        help = "Maximum wait in seconds"
    ).long().default(DEFAULT_WAIT_SECONDS)
    private val json by option("--json", help = "Print the result as JSON").flag()

    /** Submits [text] and prints the result; exits with an error when it is not accepted. */
    internal suspend fun submit(
        command: CliktCommand,
        clients: PlatformClients,
        environment: String,
        text: String,
        expected: Revision? = null
    ) {
        val id = UUID.randomUUID().toString()
        val submission = Submission(id, author, note, text, Clock.systemUTC().millis(), expected)
        val accepted = clients.publisher(environment).publish(submission).orFail()
        if (json) {
            val output = AcceptedOutput(environment, accepted.revision, id)
            command.echo(Json.encodeToString(AcceptedOutput.serializer(), output))
        } else {
            command.echo("accepted as revision ${accepted.revision} of $environment")
        }
        if (wait) awaitActive(command, clients, accepted.revision)
    }

    private suspend fun awaitActive(
        command: CliktCommand,
        clients: PlatformClients,
        revision: Revision
    ) {
        val pollCount = waitSeconds * MILLIS_PER_SECOND / POLL_INTERVAL_MILLIS
        var outdatedVms: List<String> = emptyList()
        repeat(pollCount.toInt()) {
            val statuses = clients.statuses()
            outdatedVms =
                statuses.filter {
                    (it.second?.revision?.value ?: 0) < revision.value
                }.map { it.first.vm.value }
            command.echo(
                "\r" + progressBar(statuses.size - outdatedVms.size, statuses.size),
                trailingNewline = false,
                err = true
            )
            if (outdatedVms.isEmpty()) {
                command.echo("", err = true)
                command.echo("active on all ${statuses.size} processes")
                return
            }
            delay(POLL_INTERVAL_MILLIS)
        }
        command.echo("", err = true)
        fail(
            "revision $revision is not active on: ${outdatedVms.joinToString()}",
            ExitCode.NOT_IN_FORCE
        )
    }

    private fun progressBar(done: Int, total: Int): String {
        val filled = if (total == 0) 0 else PROGRESS_BAR_CHARS * done / total
        return "[" + "#".repeat(filled) + ".".repeat(PROGRESS_BAR_CHARS - filled) + "] $done/$total"
    }

    private companion object {
        const val DEFAULT_WAIT_SECONDS = 30L
    }
}
