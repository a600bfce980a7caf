/*
 * Entry point of `bin/soak [--seed N] [--seeds COUNT] [--seconds S]`. Without `--seed`, seeds are
 * chosen at random. Exit codes: 0 without violations, 1 if a guarantee was violated, 2 for invalid
 * arguments.
 */
package org.toucanspur.bench.soak

import java.nio.file.Path
import kotlin.random.Random
import kotlin.system.exitProcess

private const val EXIT_VIOLATION = 1
private const val EXIT_USAGE = 2
private const val DEFAULT_SECONDS = 20L
private const val MILLIS_PER_SECOND = 1000L
private const val MAX_SHOWN = 10

// The seeds take turns: faults of all kinds, faults that spare the entries, planned work.
private fun freshSeed(index: Int): Long = Random.nextLong(1, ENTRY_SPARING_SEEDS_FROM) +
    listOf(0, ENTRY_SPARING_SEEDS_FROM, PLANNED_WORK_SEEDS_FROM).let { it[index % it.size] }

/** Runs one soak per seed, one after another, and prints a summary line for each. */
fun main(args: Array<String>) {
    val options = args.toList().chunked(2).associate {
        it.first() to it.getOrNull(1)?.toLongOrNull()
    }
    val isValid = options.all { (name, value) ->
        name in setOf("--seed", "--seeds", "--seconds") && value != null && value > 0
    }
    if (!isValid) {
        System.err.println("usage: bin/soak [--seed N] [--seeds COUNT] [--seconds S], all above 0")
        exitProcess(EXIT_USAGE)
    }
    val seconds = options["--seconds"] ?: DEFAULT_SECONDS
    val first = options["--seed"]
    val count = options["--seeds"] ?: 1
    val seeds = List(count.toInt()) { index -> first?.plus(index) ?: freshSeed(index) }
    val failedSeeds = seeds.count { seed ->
        val directory = Path.of("target", "soak", seed.toString())
        val result = SoakRun(seed, seconds * MILLIS_PER_SECOND, directory).run()
        println(
            "seed $seed: ${result.faults} faults, ${result.outcomes}, " +
                "${result.recoveredShare} of the worst-served kind served after recovery, " +
                "${result.boundsChecked} bounds checked, ${result.crossed} requests crossed a " +
                "close, ${result.violations.size} violations"
        )
        result.violations.take(MAX_SHOWN).forEach { println("  ${it.guarantee}: ${it.detail}") }
        result.violations.isNotEmpty()
    }
    println("${seeds.size} seeds, $failedSeeds with violations; logs in target/soak")
    exitProcess(if (failedSeeds > 0) EXIT_VIOLATION else 0)
}
