/*
 * The fault matrix: every fault at every step of a flow, alone, twice and in seeded pairs. Each
 * cell is a run of the real state machines under virtual time.
 */
package org.toucanspur.bench.faults

import java.util.PriorityQueue
import kotlin.random.Random

/** A fault at the [occurrence]-th time (from 1) that a flow takes [step]. */
internal data class Injection(val step: String, val fault: String, val occurrence: Int = 1)

/** A flow of the system under faults. */
internal interface FaultFlow {
    val name: String
    val steps: List<String>
    val faults: List<String>

    /** Invariants that every run checks, by name. */
    val invariants: List<String>

    /** Runs the flow under [injections] and returns what was violated. */
    fun run(injections: List<Injection>): List<String>
}

/** Verdict on one cell. */
internal data class CellResult(val injections: List<Injection>, val violations: List<String>)

/** Number of seeded pairs per flow. */
internal const val PAIRS = 60

/** All cells of [flow]: alone, the same fault twice, and seeded pairs of different cells. */
internal fun runMatrix(flow: FaultFlow): List<CellResult> {
    val single = flow.steps.flatMap { step -> flow.faults.map { Injection(step, it) } }
    val twice = single.map { listOf(it, it.copy(occurrence = 2)) }
    val random = Random(flow.name.hashCode())
    val pairs = List(PAIRS) {
        listOf(
            single.random(random),
            single.random(random).copy(occurrence = 1 + random.nextInt(3))
        )
    }
    return (single.map { listOf(it) } + twice + pairs).map { CellResult(it, flow.run(it)) }
}

/** Counts the steps of a run and tells which faults strike. */
internal class Injector(private val injections: List<Injection>) {
    private val counts = HashMap<String, Int>()

    /** Notes that the flow takes [step]; returns the faults that strike now. */
    fun at(step: String): Set<String> {
        val count = (counts[step] ?: 0) + 1
        counts[step] = count
        return injections.filter {
            it.step == step && it.occurrence == count
        }.map { it.fault }.toSet()
    }
}

/** Virtual time: actions in the order of their time. */
internal class VirtualTime {
    private val queue = PriorityQueue<Scheduled>(compareBy({ it.atMillis }, { it.order }))
    private var order = 0L

    var nowMillis = 0L
        private set

    fun after(delayMillis: Long, action: () -> Unit) {
        queue += Scheduled(nowMillis + delayMillis, order++, action)
    }

    /** Runs all actions up to [untilMillis], with [check] after each. */
    fun run(untilMillis: Long, check: () -> Unit) {
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
