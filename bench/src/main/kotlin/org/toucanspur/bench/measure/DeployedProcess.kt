/*
 * One process of a deployment, and what the operating system says of its threads and memory.
 */
package org.toucanspur.bench.measure

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readText
import org.toucanspur.platform.PLATFORM_SETTINGS_VARIABLE

/** Kinds of threads of a process, by the names that the JVM and Netty give them. */
internal enum class ThreadKind(private val prefix: String) {
    EVENT_LOOP("multiThreadIoEv"),
    COMPILER("C1"),
    COLLECTOR("VM Thread"),
    MAIN("java"),
    OTHER("");

    companion object {
        /** The kind of the thread with this name. */
        fun of(threadName: String): ThreadKind = entries.first { threadName.startsWith(it.prefix) }
    }
}

/** A process started with [command] and [settings]. */
internal class DeployedProcess(
    command: List<String>,
    settings: String,
    directory: Path,
    name: String
) : AutoCloseable {
    private val process: Process

    init {
        val file = Files.writeString(directory.resolve("$name.ini"), settings)
        val builder = ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve("$name.log").toFile())
        builder.environment()[PLATFORM_SETTINGS_VARIABLE] = file.toString()
        process = builder.start()
    }

    /** Processor time of the process so far. Compiler threads come and go and have the rest. */
    fun threadMillis(): Map<ThreadKind, Long> {
        val millis = ThreadKind.entries.associateWith { 0L }.toMutableMap()
        val proc = Path.of("/proc/${process.pid()}")
        proc.resolve("task").toFile().listFiles().orEmpty().forEach { task ->
            // A thread may end while the directory is read.
            val stat = runCatching { task.resolve("stat").readText() }.getOrNull() ?: return@forEach
            val kind = ThreadKind.of(stat.substringAfter('(').substringBeforeLast(')'))
            if (kind != ThreadKind.COMPILER) millis.merge(kind, cpuMillis(stat), Long::plus)
        }
        val total = cpuMillis(proc.resolve("stat").readText())
        millis[ThreadKind.COMPILER] = total - millis.values.sum()
        return millis
    }

    // The name is in parentheses; user and system time are the 14th and 15th fields.
    private fun cpuMillis(stat: String): Long {
        val fields = stat.substringAfterLast(") ").split(' ')
        val ticks = fields[USER_TIME_FIELD].toLong() + fields[USER_TIME_FIELD + 1].toLong()
        return ticks * MILLIS_PER_TICK
    }

    /** Resident memory. */
    fun residentKib(): Long = Path.of("/proc/${process.pid()}/status").readText().lineSequence()
        .firstOrNull { it.startsWith("VmRSS:") }
        ?.filter(Char::isDigit)?.toLong() ?: 0

    /** Sends SIGTERM. */
    fun terminate() = process.destroy()

    /** Waits until the process has ended, at most for a grace period. */
    fun awaitExit(): Boolean = process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)

    override fun close() {
        process.destroyForcibly().waitFor()
    }

    private companion object {
        const val USER_TIME_FIELD = 11
        const val MILLIS_PER_TICK = 10L
        const val EXIT_TIMEOUT_SECONDS = 10L
    }
}
