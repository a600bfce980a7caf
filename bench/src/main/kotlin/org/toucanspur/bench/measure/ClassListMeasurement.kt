/*
 * Records the classes that the deployed processes load while they start, serve requests and
 * transfer a weight version, for the class data sharing archive of the deployment. A class outside
 * the archive is read from its JAR file and verified at each start, which costs an agent about as
 * much processor time as the rest of its start.
 */
package org.toucanspur.bench.measure

import java.net.Socket
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readLines
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.toucanspur.standin.platform.CallerRequest

private const val ENTRIES = 1
private const val AGENTS = 2
private const val START_MILLIS = 5000L
private const val TRANSFER_MILLIS = 5000L
private const val REQUESTS = 20
private const val RESPONSE_TIMEOUT_MILLIS = 2000
private const val CALLERS_PORT = 17_701

/** `class-list`: writes the list to the file that the system property names. */
internal class ClassListMeasurement : Measurement {
    override val name = "class-list"

    override suspend fun run(options: Options): JsonObject {
        val output = Path.of(System.getProperty("toucanspur.class.list", "target/classes.list"))
        val directory = Files.createTempDirectory("toucanspur-classes")
        val cluster = DeployedCluster(ENTRIES, AGENTS) { role, host, command ->
            recordingCommand(command, directory.resolve("$role-$host.classes"))
        }
        cluster.use {
            cluster.start()
            delay(START_MILLIS)
            repeat(REQUESTS) { index -> cluster.entryHosts.forEach { request(it, index) } }
            cluster.setTargetVersion(2)
            delay(TRANSFER_MILLIS)
            cluster.stop()
        }
        val classes = directory.toFile().listFiles().orEmpty()
            .flatMapTo(LinkedHashSet()) { it.toPath().readLines() }
        Files.write(output, classes)
        directory.toFile().deleteRecursively()
        return buildJsonObject { put("classes", classes.size) }
    }

    // The archive that a command names does not exist yet.
    private fun recordingCommand(command: List<String>, output: Path): List<String> =
        listOf(command.first(), "-XX:DumpLoadedClassList=$output") +
            command.drop(1).filterNot { it.startsWith("-XX:SharedArchiveFile") }

    // The response is of no interest: an error loads classes too.
    private fun request(host: String, index: Int) = runCatching {
        Socket(host, CALLERS_PORT).use { socket ->
            socket.soTimeout = RESPONSE_TIMEOUT_MILLIS
            val call = CallerRequest("r$index", "h", "/stream/x", "k")
            socket.getOutputStream().write(call.bytes(RESPONSE_TIMEOUT_MILLIS))
            socket.getInputStream().read(ByteArray(RESPONSE_BYTES))
        }
    }

    private companion object {
        const val RESPONSE_BYTES = 64 * 1024
    }
}
