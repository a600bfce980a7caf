package org.toucanspur.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import java.time.Instant
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.toucanspur.schema.StoredDocument

/** `toucanspur history`: lists the revisions of an environment. */
class HistoryCommand : CliktCommand(name = "history") {
    private val environment by argument("ENVIRONMENT", help = "Environment to list")
    private val json by option("--json", help = "Print whole documents as JSON").flag()
    private val platform by PlatformOptions()

    override fun help(context: Context): String =
        "Lists all accepted revisions, latest first.\n\nExample: toucanspur history production"

    override fun run() {
        val revisions = platform.use { it.publisher(environment).history().orFail() }
        if (json) {
            echo(Json.encodeToString(ListSerializer(StoredDocument.serializer()), revisions))
        } else {
            revisions.forEach { echo(line(it)) }
        }
    }

    private fun line(document: StoredDocument): String {
        val time = Instant.ofEpochMilli(document.appliedAtMillis)
        return "${document.revision}\t$time\t${document.author}\t${document.note}"
    }
}
