/*
 * Daemon process of a platform deployment: reads its settings, starts the node of its role and
 * shuts it down on SIGTERM.
 */
package org.toucanspur.daemon.node

import com.github.michaelbull.result.fold
import io.micrometer.common.util.internal.logging.InternalLoggerFactory as MicrometerLoggerFactory
import io.micrometer.common.util.internal.logging.JdkLoggerFactory as MicrometerJdkLoggerFactory
import io.netty.util.internal.logging.InternalLoggerFactory as NettyLoggerFactory
import io.netty.util.internal.logging.JdkLoggerFactory as NettyJdkLoggerFactory
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.system.exitProcess
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.put
import org.toucanspur.core.config.checkNodeSettings
import org.toucanspur.core.events.EventCode
import org.toucanspur.daemon.engine.EngineAgent
import org.toucanspur.daemon.gateway.GatewayEntry
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.net.NettyEventLoop
import org.toucanspur.schema.NodeConfiguration
import org.toucanspur.schema.NodeRole
import sun.misc.Signal

private const val EXIT_FAILED = 1
private const val EXIT_USAGE = 2
private const val FLUSH_MILLIS = 200L

/** Runs the node whose settings file is at [path] until SIGTERM. */
fun runPlatformDaemon(path: String) {
    // Without a handler, a SIGHUP sent for a reload would terminate a process during its start.
    Signal.handle(Signal("HUP")) { }
    useJdkLogging()
    val settings = readNodeSettings(path) ?: exitProcess(EXIT_USAGE)
    val log = DecisionLog(settings.node.vm)
    val loop = NettyEventLoop { task, cause ->
        log.event(EventCode.TASK_FAILED) {
            put("task", task)
            put("cause", cause.toString())
            put("at", cause.stackTrace.firstOrNull().toString())
        }
    }
    val terminated = CountDownLatch(1)
    val node: PlatformNode = when (settings.node.role) {
        NodeRole.ENTRY -> GatewayEntry(settings, loop, log)
        NodeRole.AGENT -> EngineAgent(settings, loop, log)
    }
    val isStopping = AtomicBoolean()
    Signal.handle(Signal("TERM")) {
        // Requests have been promised the grace period of the first signal.
        if (!isStopping.compareAndSet(false, true)) return@handle
        log.event(EventCode.STOPPING) { put("graceSeconds", settings.bounds.graceSeconds) }
        runBlocking { node.shutdown() }
        log.flush(FLUSH_MILLIS)
        terminated.countDown()
    }
    // A reload does not apply settings to the running process; it only checks them, so that errors
    // are found before the next start.
    Signal.handle(Signal("HUP")) {
        readNodeSettings(path)?.let { log.event(EventCode.RELOADED) }
    }
    try {
        node.start()
    } catch (e: IOException) {
        System.err.println(
            "toucanspurd: listening failed (${e.message}); check section [addresses]"
        )
        exitProcess(EXIT_FAILED)
    }
    log.event(EventCode.STARTED) {
        put("role", settings.node.role.name)
        put("zone", settings.node.zone.value)
        put("host", settings.node.host)
    }
    terminated.await()
    Runtime.getRuntime().halt(0)
}

// Both libraries would otherwise start Logback, which costs each process about 200 ms of processor
// time although the platform deployment logs through DecisionLog only.
private fun useJdkLogging() {
    NettyLoggerFactory.setDefaultFactory(NettyJdkLoggerFactory.INSTANCE)
    MicrometerLoggerFactory.setDefaultFactory(MicrometerJdkLoggerFactory.INSTANCE)
}

// Prints errors in the settings file at [path]; returns null if the settings are invalid.
private fun readNodeSettings(path: String): NodeConfiguration? {
    val text = try {
        Files.readString(Path.of(path))
    } catch (e: IOException) {
        System.err.println("$path:1: file is not readable (${e.message}); check the path")
        return null
    }
    return checkNodeSettings(path, text).fold(
        success = { it },
        failure = { findings ->
            findings.forEach { System.err.println(it.render()) }
            null
        }
    )
}
