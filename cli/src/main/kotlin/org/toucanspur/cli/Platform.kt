/*
 * Access to the platform and the processes, and error handling for all commands.
 */
package org.toucanspur.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.option
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.toucanspur.core.config.CheckedDocument
import org.toucanspur.core.config.DocumentPublisher
import org.toucanspur.core.config.PublishError
import org.toucanspur.core.config.checkDocument
import org.toucanspur.daemon.platform.HttpObjectStore
import org.toucanspur.daemon.platform.HttpVmList
import org.toucanspur.daemon.platform.platformHttpClient
import org.toucanspur.schema.EndpointStatus
import org.toucanspur.schema.Event
import org.toucanspur.schema.ProcessStatus
import org.toucanspur.schema.VmRecord

private const val CALL_TIMEOUT_MILLIS = 3000L

/** Options with the URLs of the platform. */
class PlatformOptions : OptionGroup("Platform") {
    private val objectApi by option(
        "--object-api",
        envvar = "TOUCANSPUR_OBJECT_API",
        metavar = "URL",
        help = "Base URL of the object API"
    )
    private val vmList by option(
        "--vm-list",
        envvar = "TOUCANSPUR_VM_LIST",
        metavar = "URL",
        help = "URL of the VM list"
    )

    /** Runs [block] with clients of the platform and closes them. */
    internal fun <T> use(block: suspend (PlatformClients) -> T): T {
        val url = objectApi
            ?: fail("no object API; pass --object-api or set TOUCANSPUR_OBJECT_API", ExitCode.USAGE)
        return runBlocking {
            platformHttpClient(CALL_TIMEOUT_MILLIS).use { block(PlatformClients(it, url, vmList)) }
        }
    }
}

/** Clients of the platform and of the processes. */
internal class PlatformClients(
    private val http: HttpClient,
    objectApi: String,
    private val vmListUrl: String?
) {
    private val store = HttpObjectStore(http, objectApi)

    fun publisher(environment: String): DocumentPublisher = DocumentPublisher(environment, store)

    suspend fun vms(): List<VmRecord> {
        val url = vmListUrl
            ?: fail("no VM list; pass --vm-list or set TOUCANSPUR_VM_LIST", ExitCode.USAGE)
        return HttpVmList(http, url).read().fold(
            success = { it },
            failure = { fail("VM list: ${it.message}; check --vm-list", ExitCode.UNAVAILABLE) }
        )
    }

    /** Statuses of all listed processes; null for those that do not respond. */
    suspend fun statuses(): List<Pair<VmRecord, ProcessStatus?>> = fetchAll("/status") {
        Json.decodeFromString<ProcessStatus>(it)
    }

    /** Events of all listed processes; null for those that do not respond. */
    suspend fun events(): List<Pair<VmRecord, List<Event>?>> = fetchAll("/events") {
        Json.decodeFromString<List<Event>>(it)
    }

    /** Endpoint statuses reported by all listed processes; null for those that do not respond. */
    suspend fun endpoints(): List<Pair<VmRecord, List<EndpointStatus>?>> =
        fetchAll("/endpoints") { Json.decodeFromString<List<EndpointStatus>>(it) }

    private suspend fun <T> fetchAll(
        path: String,
        decode: (String) -> T
    ): List<Pair<VmRecord, T?>> = coroutineScope {
        vms().map { vm -> async { vm to fetch(vm, path, decode) } }.awaitAll()
    }

    private suspend fun <T> fetch(vm: VmRecord, path: String, decode: (String) -> T): T? = try {
        decode(http.get("http://${vm.host}:${vm.httpPort}$path").bodyAsText())
    } catch (_: IOException) {
        null
    } catch (_: SerializationException) {
        null
    }
}

/** Prints [message] to standard error and exits with [code]. */
internal fun fail(message: String, code: ExitCode): Nothing {
    System.err.println("toucanspur: $message")
    throw ProgramResult(code.code)
}

/** Returns the value, or exits with the exit code of the error. */
internal fun <T> Result<T, PublishError>.orFail(): T = fold(
    success = { it },
    failure = { error ->
        val code = when (error) {
            is PublishError.Conflict -> ExitCode.CONFLICT
            is PublishError.Unavailable -> ExitCode.UNAVAILABLE
            is PublishError.OutcomeUnknown -> ExitCode.OUTCOME_UNKNOWN
            is PublishError.Malformed -> ExitCode.UNAVAILABLE
        }
        fail(error.message, code)
    }
)

/** Returns the text of [file], or exits with a usage error. */
internal fun readFile(file: Path): String = try {
    Files.readString(file)
} catch (e: IOException) {
    fail("$file:1: file is not readable (${e.message}); check the path", ExitCode.USAGE)
}

/** Returns the checked document, or prints all findings and exits. */
internal fun CliktCommand.checkOrFail(file: String, text: String): CheckedDocument =
    checkDocument(file, text).fold(
        success = { document ->
            document.warnings.forEach { echo(it.render(), err = true) }
            document
        },
        failure = { findings ->
            findings.forEach { echo(it.render(), err = true) }
            throw ProgramResult(ExitCode.FINDINGS.code)
        }
    )
