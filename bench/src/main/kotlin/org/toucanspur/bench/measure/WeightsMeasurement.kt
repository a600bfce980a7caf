/*
 * Measures the time and traffic of distributing a release to many VMs.
 */
package org.toucanspur.bench.measure

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.toucanspur.bench.weights.ExchangeResult
import org.toucanspur.bench.weights.ExchangeScenario
import org.toucanspur.bench.weights.ExchangeSimulation
import org.toucanspur.bench.weights.lowerBoundMillis

private const val CHUNK_MIB = 2
private const val CHUNK_BYTES = CHUNK_MIB * 1024 * 1024
private const val BYTES_PER_MBIT = 125_000L
private const val LINK_MBIT = 200
private const val ORIGIN_LINK_RATIO = 4
private const val NARROW_INTER_REGION_MBIT = 14L
private val vmCounts = listOf(12, 50, 150, 550)

/** `weights`: simulates the exchange at several sizes, and origin-only fetches for comparison. */
internal class WeightsMeasurement : Measurement {
    override val name = "weights"

    override suspend fun run(options: Options): JsonObject = coroutineScope {
        val vms = options.int("vms", 550)
        val base = scenario(options, vms)
        val runs = vmCounts.map { "$it VMs" to scenario(options, it) } + listOf(
            "$vms VMs, 10% crashing" to base.copy(crashingFraction = 0.1),
            "$vms VMs, 1% corrupt" to base.copy(corruptFraction = 0.01),
            "$vms VMs, 14 Mbit/s between regions" to
                base.copy(interRegionBytesPerSecond = NARROW_INTER_REGION_MBIT * BYTES_PER_MBIT)
        )
        val exchange = async { ExchangeSimulation(base).run() }
        val small = async { ExchangeSimulation(scenario(options, 50)).run() }
        val originOnly = async { ExchangeSimulation(base, isOriginOnly = true).run() }
        val results = runs.map { (title, scenario) ->
            Triple(title, scenario, async { ExchangeSimulation(scenario).run() })
        }
        results.forEach { (name, scenario, result) -> printResult(name, scenario, result.await()) }
        printResult("$vms VMs, origin only", base, originOnly.await())
        toJson(base, exchange.await(), small.await(), originOnly.await())
    }

    private fun scenario(options: Options, vms: Int): ExchangeScenario {
        val linkRate = options.int("link-mbit", LINK_MBIT) * BYTES_PER_MBIT
        return ExchangeScenario(
            vms,
            options.int("regions", 4),
            maxOf(1, options.int("release-mib", 512) / CHUNK_MIB),
            CHUNK_BYTES,
            linkRate,
            linkRate * ORIGIN_LINK_RATIO,
            options.int("inter-region-mbit", LINK_MBIT) * BYTES_PER_MBIT
        )
    }

    private fun printResult(title: String, scenario: ExchangeScenario, result: ExchangeResult) {
        val ratio = result.elapsedMillis.toDouble() / lowerBoundMillis(scenario)
        println(
            "$title: ${result.elapsedMillis} ms, " +
                "ratio %.3f, origin %.3f copies, ".format(ratio, originCopies(result, scenario)) +
                "inter-region %.3f, link in %.3f out %.3f both %.3f, ".format(
                    result.maxInterRegionCopies,
                    result.maxLinkInCopies,
                    result.maxLinkOutCopies,
                    result.maxLinkCopies
                ) +
                "%.0f messages per VM, ".format(result.messagesPerVm) +
                "${result.unfinished} unfinished"
        )
    }

    private fun originCopies(result: ExchangeResult, scenario: ExchangeScenario): Double =
        result.originBytes.toDouble() / scenario.releaseBytes

    private fun toJson(
        scenario: ExchangeScenario,
        result: ExchangeResult,
        small: ExchangeResult,
        originOnly: ExchangeResult
    ): JsonObject = buildJsonObject {
        val lowerBound = lowerBoundMillis(scenario)
        put("vms", scenario.vms)
        put("releaseBytes", scenario.releaseBytes)
        put("elapsedMillis", result.elapsedMillis)
        put("lowerBoundMillis", lowerBound)
        put("ratio", result.elapsedMillis.toDouble() / lowerBound)
        put("originBytes", result.originBytes)
        put("originCopies", originCopies(result, scenario))
        put("maxInterRegionCopies", result.maxInterRegionCopies)
        put("maxLinkInCopies", result.maxLinkInCopies)
        put("maxLinkOutCopies", result.maxLinkOutCopies)
        put("maxLinkCopies", result.maxLinkCopies)
        put("growthFrom50", result.elapsedMillis.toDouble() / small.elapsedMillis)
        put("plainPullMillis", originOnly.elapsedMillis)
        put("unfinished", result.unfinished)
    }
}
