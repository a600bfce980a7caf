/*
 * The fault matrix injects every fault at every step of a flow: once, twice and in pairs drawn
 * from a seeded generator. Each cell runs the production state machines in virtual time.
 */
package org.toucanspur.bench.faults

import java.util.PriorityQueue
import kotlin.random.Random

/** Injects [fault] the [occurrence]-th time, counted from 1, that a flow executes [step]. */
internal data class Injection(val step: String, val fault: String, val occurrence: Int = 1)

/** A simulated flow of the system into which faults are injected. */
internal interface FaultFlow {
    val name: String
    val steps: List<String>
    val faults: List<String>

    /** Descriptions of the invariants that every run checks. */
    val invariants: List<String>

    /** Runs the flow with [injections] and returns the violated invariants. */
    fun run(injections: List<Injection>): List<String>
}

/** Result of one run of the matrix. */
internal data class CellResult(val injections: List<Injection>, val violations: List<String>)

/** Number of randomly drawn pairs of faults per flow. */
internal const val PAIRS_PER_FLOW = 60

/**
 * Runs [flow] with each fault at each step once, with each of them twice, and with
 * [PAIRS_PER_FLOW] pairs. The name of the flow seeds the pairs, so they are the same in every run.
 */
internal fun runMatrix(flow: FaultFlow): List<CellResult> {
    val singleFaults = flow.steps.flatMap { step -> flow.faults.map { Injection(step, it) } }
    val repeatedFaults = singleFaults.map { listOf(it, it.copy(occurrence = 2)) }
    val random = Random(flow.name.hashCode())
    val pairs = List(PAIRS_PER_FLOW) {
        listOf(
            singleFaults.random(random),
            singleFaults.random(random).copy(occurrence = 1 + random.nextInt(3))
        )
    }
    return (singleFaults.map { listOf(it) } + repeatedFaults + pairs)
        .map { CellResult(it, flow.run(it)) }
}

/** Counts the executions of each step of a run and selects the faults to inject. */
internal class Injector(private val injections: List<Injection>) {
    private val stepCounts = HashMap<String, Int>()

    /** Counts an execution of [step] and returns the faults to inject into it. */
    fun faultsAt(step: String): Set<String> {
        val count = (stepCounts[step] ?: 0) + 1
        stepCounts[step] = count
        return injections.filter {
            it.step == step && it.occurrence == count
        }.map { it.fault }.toSet()
    }
}

/** A scheduler in virtual time: runs actions in the order of their times. */
internal class VirtualTimeScheduler {
    private val queue = PriorityQueue<Scheduled>(compareBy({ it.atMillis }, { it.order }))
    private var order = 0L

    var nowMillis = 0L
        private set

    fun schedule(delayMillis: Long, action: () -> Unit) {
        queue += Scheduled(nowMillis + delayMillis, order++, action)
    }

    /** Runs all actions due up to [untilMillis] and calls [check] after each. */
    fun runUntil(untilMillis: Long, check: () -> Unit) {
        while (true) {
            val next = queue.peek() ?: return
            if (next.atMillis > untilMillis) return
            queue.poll()
            nowMillis = next.atMillis
            next.action()
            check()
        }
    }

    private class Scheduled(val atMillis: Long, val order: Long, val action: () -> Unit)
}
