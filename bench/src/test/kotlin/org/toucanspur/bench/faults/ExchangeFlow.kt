/*
 * Exchanges a release among twelve VMs in three regions. Each step is a share of all chunks; its
 * faults are injected when that share has arrived.
 */
package org.toucanspur.bench.faults

import org.toucanspur.bench.weights.ExchangeFault
import org.toucanspur.bench.weights.ExchangeScenario
import org.toucanspur.bench.weights.ExchangeSimulation
import org.toucanspur.bench.weights.ScheduledFault

private const val CHUNKS = 64
private const val CHUNK_BYTES = 256 * 1024
private const val LINK_BYTES_PER_SECOND = 4L * 1024 * 1024
private const val MAX_ORIGIN_COPIES = 4.0
private const val HORIZON_MILLIS = 120_000L

internal class ExchangeFlow : FaultFlow {
    private val arrivedShareByStep = mapOf(
        "manifest" to 0.0,
        "import" to 0.1,
        "exchange" to 0.5,
        "last chunks" to 0.95
    )
    private val faultsByTitle = ExchangeFault.entries.associateBy { it.title }
    override val name = "weights"
    override val steps = arrivedShareByStep.keys.toList()
    override val faults = faultsByTitle.keys.toList()
    override val invariants = listOf(
        "the origin sends at most four copies",
        "every running VM has the whole release within two minutes"
    )

    override fun run(injections: List<Injection>): List<String> {
        val scenario = ExchangeScenario(
            vms = 12,
            regions = 3,
            chunks = CHUNKS,
            chunkBytes = CHUNK_BYTES,
            linkBytesPerSecond = LINK_BYTES_PER_SECOND,
            originBytesPerSecond = 4 * LINK_BYTES_PER_SECOND,
            interRegionBytesPerSecond = LINK_BYTES_PER_SECOND,
            horizonMillis = HORIZON_MILLIS,
            faults = injections.map {
                ScheduledFault(
                    arrivedShareByStep.getValue(it.step),
                    faultsByTitle.getValue(it.fault),
                    it.occurrence
                )
            }
        )
        val result = ExchangeSimulation(scenario).run()
        val originCopies = result.originBytes.toDouble() / scenario.releaseBytes
        return listOfNotNull(
            invariants[0].takeIf { originCopies > MAX_ORIGIN_COPIES },
            invariants[1].takeIf { result.unfinished > 0 }
        )
    }
}
