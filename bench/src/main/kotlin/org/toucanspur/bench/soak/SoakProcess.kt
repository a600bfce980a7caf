/*
 * One process of the system under test, run as operators run it.
 */
package org.toucanspur.bench.soak

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import org.toucanspur.platform.PLATFORM_SETTINGS_VARIABLE

private const val EXIT_KILLED = 137
private const val EXIT_TERMINATED = 143

/** A daemon with the settings in [settings], in [directory]; [name] appears in its log. */
class SoakProcess(val name: String, private val directory: Path, settings: String) {
    private val file = Files.createDirectories(directory).resolve("$name.ini").also {
        Files.writeString(it, settings)
    }
    private var process: Process? = null
    private var isEndExpected = false

    /** Whether the process runs. */
    val isAlive: Boolean get() = process?.isAlive ?: false

    /** Starts the process, and appends its output to its log. */
    fun start() {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val command = listOf(
            java,
            "-Xmx160m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
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
        isEndExpected = false
        process = builder.start()
    }

    /** Sends a signal by its name. */
    fun signal(signal: String) {
        val running = process?.takeIf { it.isAlive } ?: return
        if (signal == "KILL" || signal == "TERM") isEndExpected = true
        ProcessBuilder("kill", "-$signal", running.pid().toString()).start().waitFor()
    }

    /** Waits for the end of the process; returns whether it came. */
    fun awaitEnd(timeoutMillis: Long): Boolean =
        process?.waitFor(timeoutMillis, TimeUnit.MILLISECONDS) ?: true

    /** What is wrong with how the process ended, or null. */
    fun endFault(): String? {
        val ended = process?.takeIf { !it.isAlive } ?: return null
        val code = ended.exitValue()
        val isExpected = isEndExpected && code in setOf(0, EXIT_KILLED, EXIT_TERMINATED)
        return if (isExpected) null else "$name ended with code $code"
    }
}
