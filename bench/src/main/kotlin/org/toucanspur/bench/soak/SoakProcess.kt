/*
 * One process of the system under test, run as a daemon process of its own, as in operation.
 */
package org.toucanspur.bench.soak

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import org.toucanspur.platform.PLATFORM_SETTINGS_VARIABLE

private const val EXIT_KILLED = 137
private const val EXIT_TERMINATED = 143

private val defaultJvmOptions = listOf(
    "-Xmx160m",
    "-Xss256k",
    "-XX:+ExitOnOutOfMemoryError",
    "-XX:+UseSerialGC",
    "-XX:TieredStopAtLevel=1"
)

/** A daemon process with [settings]; its settings file and log are [name] in [directory]. */
class SoakProcess(
    val name: String,
    private val directory: Path,
    settings: String,
    private val jvmOptions: List<String> = defaultJvmOptions
) {
    private val file = Files.createDirectories(directory).resolve("$name.ini").also {
        Files.writeString(it, settings)
    }
    private var process: Process? = null
    private var isExitExpected = false

    /** Whether the process is running. */
    val isAlive: Boolean get() = process?.isAlive ?: false

    /** Process id; fails if the process was never started. */
    val pid: Long get() = checkNotNull(process).pid()

    /** Starts the process and appends its output to its log. */
    fun start() {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val command = listOf(java) + jvmOptions + listOf(
            "-cp",
            System.getProperty("java.class.path"),
            "org.toucanspur.daemon.MainKt",
            "--platform"
        )
        val log = directory.resolve("$name.log").toFile()
        val builder = ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
        builder.environment()[PLATFORM_SETTINGS_VARIABLE] = file.toString()
        isExitExpected = false
        process = builder.start()
    }

    /** Sends the signal with this name, for example `TERM`, if the process is running. */
    fun signal(signal: String) {
        val running = process?.takeIf { it.isAlive } ?: return
        if (signal == "KILL" || signal == "TERM") isExitExpected = true
        ProcessBuilder("kill", "-$signal", running.pid().toString()).start().waitFor()
    }

    /** Waits until the process exits; returns whether it did so within [timeoutMillis]. */
    fun awaitExit(timeoutMillis: Long): Boolean =
        process?.waitFor(timeoutMillis, TimeUnit.MILLISECONDS) ?: true

    /** Describes an unexpected exit of the process; null if it runs or exited as expected. */
    fun exitFault(): String? {
        val exited = process?.takeIf { !it.isAlive } ?: return null
        val code = exited.exitValue()
        val isExpected = isExitExpected && code in setOf(0, EXIT_KILLED, EXIT_TERMINATED)
        return if (isExpected) null else "$name exited with code $code"
    }
}
