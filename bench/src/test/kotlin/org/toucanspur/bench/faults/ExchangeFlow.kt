/*
 * The exchange of a release among twelve VMs of three regions. A fault strikes when the share of
 * all chunks that has arrived reaches a step.
 */
package org.toucanspur.bench.faults

import org.toucanspur.bench.weights.ExchangeFault
import org.toucanspur.bench.weights.ExchangeScenario
import org.toucanspur.bench.weights.ExchangeSimulation
import org.toucanspur.bench.weights.ScheduledFault

private const val CHUNKS = 64
private const val CHUNK_BYTES = 256 * 1024
private const val LINK_BYTES_PER_SECOND = 4L * 1024 * 1024
private const val ORIGIN_COPIES_MAX = 4.0
private const val HORIZON_MILLIS = 120_000L

internal class ExchangeFlow : FaultFlow {
    private val shares = mapOf(
        "manifest" to 0.0,
        "import" to 0.1,
        "exchange" to 0.5,
        "last chunks" to 0.95
    )
    private val kinds = ExchangeFault.entries.associateBy { it.title }
    override val name = "weights"
    override val steps = shares.keys.toList()
    override val faults = kinds.keys.toList()
    override val invariants = listOf(
        "at most four copies leave the origin",
        "every living VM has the whole release within two minutes"
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
                ScheduledFault(shares.getValue(it.step), kinds.getValue(it.fault), it.occurrence)
            }
        )
        val result = ExchangeSimulation(scenario).run()
        val copies = result.originBytes.toDouble() / scenario.releaseBytes
        return listOfNotNull(
            invariants[0].takeIf { copies > ORIGIN_COPIES_MAX },
            invariants[1].takeIf { result.unfinished > 0 }
        )
    }
}
