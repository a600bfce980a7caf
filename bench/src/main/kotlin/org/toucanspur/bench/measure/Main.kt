/*
 * Entry point of `bin/measure NAME [--option value ...]`. The last line of the output is the result
 * of the measurement as one JSON object.
 */
package org.toucanspur.bench.measure

import kotlin.system.exitProcess
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonObject

/** A measurement that `bin/measure` runs by [name]. */
interface Measurement {
    /** Name on the command line. */
    val name: String

    /** Runs the measurement and returns its result. */
    suspend fun run(options: Options): JsonObject
}

/** Command-line options of a measurement, each given as `--name value`. */
class Options(private val values: Map<String, String>) {
    /** Value of the integer option [name]. */
    fun int(name: String, default: Int): Int = values[name]?.toInt() ?: default

    /** Value of the decimal option [name]. */
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
    ControlMeasurement(),
    CostMeasurement(),
    ClassListMeasurement()
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
    val result = runBlocking(Dispatchers.Default) { measurement.run(Options(values)) }
    println(result)
    exitProcess(0)
}
