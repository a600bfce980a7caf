/*
 * Entry point of `bin/measure NAME [--option value ...]`. Each measurement prints one JSON object
 * as its last line.
 */
package org.toucanspur.bench.measure

import kotlin.system.exitProcess
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonObject

/** A measurement; [run] returns the figures of its last line. */
interface Measurement {
    /** Name on the command line. */
    val name: String

    /** Runs with [options] and returns the figures. */
    suspend fun run(options: Options): JsonObject
}

/** Options of a measurement, each as `--name value`. */
class Options(private val values: Map<String, String>) {
    /** Integer option. */
    fun int(name: String, default: Int): Int = values[name]?.toInt() ?: default

    /** Decimal option. */
    fun double(name: String, default: Double): Double = values[name]?.toDouble() ?: default
}

private val measurements = listOf<Measurement>(
    WeightsMeasurement(),
    SlowReadersMeasurement(),
    ZoneMeasurement(),
    OverheadMeasurement(),
    OverloadMeasurement(),
    ConfigMeasurement(),
    TimelineMeasurement(),
    ControlMeasurement()
)

private const val EXIT_USAGE = 2

/** Runs the measurement that the first argument names. */
fun main(args: Array<String>) {
    val measurement = measurements.find { it.name == args.firstOrNull() }
    if (measurement == null) {
        System.err.println(
            "usage: bin/measure NAME; names: ${measurements.joinToString {
                it.name
            }}"
        )
        exitProcess(EXIT_USAGE)
    }
    val values = args.drop(1).chunked(2).filter { it.size == 2 }.associate { (key, value) ->
        key.removePrefix("--") to
            value
    }
    val figures = runBlocking(Dispatchers.Default) { measurement.run(Options(values)) }
    println(figures)
    exitProcess(0)
}
