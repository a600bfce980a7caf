/*
 * Entry point of `bin/try [--document FILE] [--stay]`. The exit code is 0 only if every check
 * passes.
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
private const val TIMELINE_EVENTS_MAX = 40
private const val CHECK_NAME_WIDTH = 58
private val hiddenCodes = setOf(EventCode.PEER_CONNECTED.number, EventCode.PEER_LOST.number)

fun main(args: Array<String>) {
    val document =
        args.toList().zipWithNext().find { it.first == "--document" }?.second ?: DEFAULT_DOCUMENT
    val scenario = TrialScenario(document, Files.readString(Path.of(document)))
    val allPassed = runBlocking(Dispatchers.Default) {
        println("toucanspur trial with $document")
        val checks = scenario.run(this)
        printTimeline(scenario.timeline())
        printSummary(checks)
        printCommands(scenario)
        if ("--stay" in args) {
            println("\nthe cluster keeps running; stop it with Ctrl-C")
            awaitCancellation()
        }
        checks.all { it.passed }
    }
    scenario.cluster.close()
    exitProcess(if (allPassed) 0 else EXIT_FAILED)
}

private fun printTimeline(events: List<Event>) {
    val shown = events.filter { it.requestId == null && it.code !in hiddenCodes }
    println(
        "\nTimeline (last ${minOf(
            TIMELINE_EVENTS_MAX,
            shown.size
        )} of ${events.size} events; request events are omitted)"
    )
    println(timelineText(shown.takeLast(TIMELINE_EVENTS_MAX)))
}

private fun printSummary(checks: List<TrialCheck>) {
    println("\nSummary")
    checks.forEach { check ->
        val mark = if (check.passed) "ok  " else "FAIL"
        println("  $mark  ${check.name.padEnd(CHECK_NAME_WIDTH)}  ${check.value}")
    }
}

private fun printCommands(scenario: TrialScenario) {
    val cluster = scenario.cluster
    val entry = cluster.entries.first().url
    println("\nUse `bin/try --stay` to keep the cluster running (ports change at each start):")
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
