/*
 * Entry point of `bin/try [--document FILE] [--stay]`. Exit code 0 only when every check holds.
 */
package org.toucanspur.bench.tryout

import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import org.toucanspur.cli.timelineText
import org.toucanspur.core.events.EventCode
import org.toucanspur.schema.Event

private const val DEFAULT_DOCUMENT = "examples/qahwa-biss.ini"
private const val EXIT_FAILED = 1
private const val TIMELINE_LINES = 40
private const val NAME_CHARS = 58
private val quietCodes = setOf(EventCode.PEER_CONNECTED.number, EventCode.PEER_LOST.number)

/** Runs the trial. */
fun main(args: Array<String>) {
    val document =
        args.toList().zipWithNext().find { it.first == "--document" }?.second ?: DEFAULT_DOCUMENT
    val scenario = TryScenario(document, Files.readString(Path.of(document)))
    val holds = runBlocking(Dispatchers.Default) {
        println("toucanspur trial with $document")
        val checks = scenario.run(this)
        printTimeline(scenario.timeline())
        printSummary(checks)
        printCommands(scenario)
        if ("--stay" in args) {
            println("\nstaying up; stop with Ctrl-C")
            awaitCancellation()
        }
        checks.all { it.holds }
    }
    scenario.cluster.close()
    exitProcess(if (holds) 0 else EXIT_FAILED)
}

private fun printTimeline(events: List<Event>) {
    val shown = events.filter { it.requestId == null && it.code !in quietCodes }
    println(
        "\nTime line (last ${minOf(
            TIMELINE_LINES,
            shown.size
        )} of ${events.size} events, requests left out)"
    )
    println(timelineText(shown.takeLast(TIMELINE_LINES)))
}

private fun printSummary(checks: List<TryCheck>) {
    println("\nSummary")
    checks.forEach { check ->
        val mark = if (check.holds) "ok  " else "FAIL"
        println("  $mark  ${check.name.padEnd(NAME_CHARS)}  ${check.figure}")
    }
}

private fun printCommands(scenario: TryScenario) {
    val cluster = scenario.cluster
    val entry = cluster.entries.first().url
    println("\nGo on with `bin/try --stay`, which keeps these up (ports change at each start):")
    println(
        "  export TOUCANSPUR_OBJECT_API=${cluster.objectApi.url}"
    )
    println(
        "  export TOUCANSPUR_VM_LIST=${cluster.vmList.url}"
    )
    println("  bin/toucanspur status")
    println("  bin/toucanspur timeline --since 30")
    println("  curl -s $entry/v1/models")
    println("  curl -s $entry/metrics")
}
