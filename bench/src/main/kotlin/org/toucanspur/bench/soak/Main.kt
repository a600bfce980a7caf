/*
 * Entry point of `bin/soak [--seed N] [--seeds COUNT] [--seconds S]`. Without a seed, fresh ones
 * are drawn. Exit codes: 0 when no promise was broken, 1 when one was, 2 for wrong arguments.
 */
package org.toucanspur.bench.soak

import java.nio.file.Path
import kotlin.random.Random
import kotlin.system.exitProcess

private const val EXIT_BROKEN = 1
private const val EXIT_USAGE = 2
private const val DEFAULT_SECONDS = 20L
private const val MILLIS_PER_SECOND = 1000L
private const val SHOWN_MAX = 10

// Every other seed leaves the entries undisturbed.
private fun freshSeed(index: Int): Long =
    Random.nextLong(1, STEADY_SEEDS_FROM) + if (index % 2 == 1) STEADY_SEEDS_FROM else 0

/** Runs soaks one after the other and prints a line for each. */
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
    val broken = seeds.count { seed ->
        val directory = Path.of("target", "soak", seed.toString())
        val result = SoakRun(seed, seconds * MILLIS_PER_SECOND, directory).run()
        println(
            "seed $seed: ${result.faults} faults, ${result.ends}, " +
                "${result.recoveredShare} of the worst kind served at the end, " +
                "${result.boundsChecked} bounds checked, ${result.broken.size} broken"
        )
        result.broken.take(SHOWN_MAX).forEach { println("  ${it.promise}: ${it.detail}") }
        result.broken.isNotEmpty()
    }
    println("${seeds.size} seeds, $broken with a broken promise; logs in target/soak")
    exitProcess(if (broken > 0) EXIT_BROKEN else 0)
}
