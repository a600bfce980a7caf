/*
 * Time and bytes of a release on its way to many VMs.
 */
package org.toucanspur.bench.measure

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.toucanspur.bench.weights.ExchangeResult
import org.toucanspur.bench.weights.ExchangeScenario
import org.toucanspur.bench.weights.VirtualExchange
import org.toucanspur.bench.weights.lowerBoundMillis

private const val CHUNK_MIB = 2
private const val CHUNK_BYTES = CHUNK_MIB * 1024 * 1024
private const val BYTES_PER_MBIT = 125_000L
private const val LINK_MBIT = 200
private const val ORIGIN_LINKS = 4
private const val NARROW_MBIT = 14L
private val sizes = listOf(12, 50, 150, 550)

/** `weights`: the pure decisions under virtual time at several sizes, beside plain pull. */
internal class WeightsMeasurement : Measurement {
    override val name = "weights"

    override suspend fun run(options: Options): JsonObject = coroutineScope {
        val vms = options.int("vms", 550)
        val base = scenario(options, vms)
        val runs = sizes.map { "$it VMs" to scenario(options, it) } + listOf(
            "$vms VMs, 10% dying" to base.copy(dyingShare = 0.1),
            "$vms VMs, 1% corrupt" to base.copy(corruptShare = 0.01),
            "$vms VMs, 14 Mbit/s between regions" to
                base.copy(interRegionBytesPerSecond = NARROW_MBIT * BYTES_PER_MBIT)
        )
        val own = async { VirtualExchange(base).run() }
        val small = async { VirtualExchange(scenario(options, 50)).run() }
        val plain = async { VirtualExchange(base, isPlainPull = true).run() }
        val results = runs.map { (title, scenario) ->
            Triple(title, scenario, async { VirtualExchange(scenario).run() })
        }
        results.forEach { (title, scenario, result) -> report(title, scenario, result.await()) }
        report("$vms VMs, plain pull from the origin", base, plain.await())
        figures(base, own.await(), small.await(), plain.await())
    }

    private fun scenario(options: Options, vms: Int): ExchangeScenario {
        val link = options.int("link-mbit", LINK_MBIT) * BYTES_PER_MBIT
        return ExchangeScenario(
            vms,
            options.int("regions", 4),
            maxOf(1, options.int("release-mib", 512) / CHUNK_MIB),
            CHUNK_BYTES,
            link,
            link * ORIGIN_LINKS,
            options.int("inter-region-mbit", LINK_MBIT) * BYTES_PER_MBIT
        )
    }

    private fun report(title: String, scenario: ExchangeScenario, result: ExchangeResult) {
        val ratio = result.elapsedMillis.toDouble() / lowerBoundMillis(scenario)
        println(
            "$title: ${result.elapsedMillis} ms, " +
                "ratio %.3f, origin %.3f copies, ".format(ratio, copies(result, scenario)) +
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

    private fun copies(result: ExchangeResult, scenario: ExchangeScenario): Double =
        result.originBytes.toDouble() / scenario.releaseBytes

    private fun figures(
        scenario: ExchangeScenario,
        result: ExchangeResult,
        small: ExchangeResult,
        plain: ExchangeResult
    ): JsonObject = buildJsonObject {
        val bound = lowerBoundMillis(scenario)
        put("vms", scenario.vms)
        put("releaseBytes", scenario.releaseBytes)
        put("elapsedMillis", result.elapsedMillis)
        put("lowerBoundMillis", bound)
        put("ratio", result.elapsedMillis.toDouble() / bound)
        put("originBytes", result.originBytes)
        put("originCopies", copies(result, scenario))
        put("maxInterRegionCopies", result.maxInterRegionCopies)
        put("maxLinkInCopies", result.maxLinkInCopies)
        put("maxLinkOutCopies", result.maxLinkOutCopies)
        put("maxLinkCopies", result.maxLinkCopies)
        put("growthFrom50", result.elapsedMillis.toDouble() / small.elapsedMillis)
        put("plainPullMillis", plain.elapsedMillis)
        put("unfinished", result.unfinished)
    }
}
