/*
 * Options and steps that all changes of a document share.
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

private const val WAIT_POLL_MILLIS = 200L
private const val MILLIS_PER_SECOND = 1000L
private const val BAR_CHARS = 30

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
        help = "What the change is for"
    ).default("")
    private val author by option("--author", metavar = "NAME", help = "Who makes the change")
        .default(System.getProperty("user.name").orEmpty())
    private val wait by option(
        "--wait",
        help = "Wait until the change is in force everywhere"
    ).flag()
    private val waitSeconds by option(
        "--wait-seconds",
        metavar = "N",
        help = "Longest wait"
    ).long().default(WAIT_SECONDS)
    private val json by option("--json", help = "Print the result as JSON").flag()

    /** Submits [text] and reports the result; ends the command when it is not accepted. */
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
        if (wait) awaitInForce(command, clients, accepted.revision)
    }

    private suspend fun awaitInForce(
        command: CliktCommand,
        clients: PlatformClients,
        revision: Revision
    ) {
        val polls = waitSeconds * MILLIS_PER_SECOND / WAIT_POLL_MILLIS
        var behind: List<String> = emptyList()
        repeat(polls.toInt()) {
            val statuses = clients.statuses()
            behind =
                statuses.filter {
                    (it.second?.revision?.value ?: 0) < revision.value
                }.map { it.first.vm.value }
            command.echo(
                "\r" + bar(statuses.size - behind.size, statuses.size),
                trailingNewline = false,
                err = true
            )
            if (behind.isEmpty()) {
                command.echo("", err = true)
                command.echo("in force on all ${statuses.size} processes")
                return
            }
            delay(WAIT_POLL_MILLIS)
        }
        command.echo("", err = true)
        fail(
            "revision $revision is not in force on: ${behind.joinToString()}",
            ExitCode.NOT_IN_FORCE
        )
    }

    private fun bar(done: Int, total: Int): String {
        val filled = if (total == 0) 0 else BAR_CHARS * done / total
        return "[" + "#".repeat(filled) + ".".repeat(BAR_CHARS - filled) + "] $done/$total"
    }

    private companion object {
        const val WAIT_SECONDS = 30L
    }
}
