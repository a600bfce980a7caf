/*
 * Entry point of the daemon: `toucanspurd --settings FILE.ini`, or `toucanspurd --platform` where
 * the platform renders the settings file and passes its path. Exit codes: 0 after a graceful
 * shutdown, 1 when the process cannot start, 2 for invalid arguments or settings.
 */
package org.toucanspur.daemon

import com.github.michaelbull.result.fold
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess
import kotlinx.coroutines.runBlocking
import org.toucanspur.core.config.checkSettings
import org.toucanspur.daemon.agent.AgentNode
import org.toucanspur.daemon.entry.EntryNode
import org.toucanspur.daemon.node.runPlatformDaemon
import org.toucanspur.platform.platformSettingsPath
import org.toucanspur.schema.DaemonConfiguration
import org.toucanspur.schema.DaemonRole
import org.toucanspur.schema.LogFormat

private const val EXIT_OK = 0
private const val EXIT_FAILED = 1
private const val EXIT_USAGE = 2
private const val USAGE = "usage: toucanspurd --settings FILE.ini | --platform"

/** Handle of a running daemon, independent of its role. */
class RunningDaemon(val shutdown: suspend () -> Unit)

/** Starts the daemon in the role that [settings] select. */
suspend fun startDaemon(settings: DaemonConfiguration): RunningDaemon {
    val base = ProcessBase(settings)
    return when (settings.daemon.role) {
        DaemonRole.ENTRY -> EntryNode(base).let { node ->
            node.start()
            RunningDaemon(node::shutdown)
        }
        DaemonRole.AGENT -> AgentNode(base).let { node ->
            node.start()
            RunningDaemon(node::shutdown)
        }
    }
}

/** Parses the arguments, starts the daemon and blocks until it is shut down. */
fun main(args: Array<String>) {
    if (args.contentEquals(arrayOf("--platform"))) {
        runPlatformDaemon(platformSettingsPath() ?: usage())
        return
    }
    val settings = readSettings(args)
    System.setProperty(
        "toucanspur.log.format",
        if (settings.log.format ==
            LogFormat.JSON
        ) {
            "JSON"
        } else {
            "TEXT"
        }
    )
    val daemon = try {
        runBlocking { startDaemon(settings) }
    } catch (e: IOException) {
        System.err.println("toucanspurd: listening failed (${e.message}); check section [listen]")
        exitProcess(EXIT_FAILED)
    }
    Runtime.getRuntime().addShutdownHook(
        Thread {
            runBlocking { daemon.shutdown() }
            // Without halt, the exit code would report the signal instead of EXIT_OK.
            Runtime.getRuntime().halt(EXIT_OK)
        }
    )
    CountDownLatch(1).await()
}

private fun usage(): Nothing {
    System.err.println(USAGE)
    exitProcess(EXIT_USAGE)
}

private fun readSettings(args: Array<String>): DaemonConfiguration {
    if (args.size != 2 || args[0] != "--settings") usage()
    val text = try {
        Files.readString(Path.of(args[1]))
    } catch (e: IOException) {
        System.err.println("${args[1]}:1: file is not readable (${e.message}); check the path")
        exitProcess(EXIT_USAGE)
    }
    return checkSettings(args[1], text).fold(
        success = { it },
        failure = { findings ->
            findings.forEach { System.err.println(it.render()) }
            exitProcess(EXIT_USAGE)
        }
    )
}
