/*
 * Measures the processor time, memory and traffic of an idle process by its number of connections.
 */
package org.toucanspur.bench.measure

import com.sun.management.OperatingSystemMXBean
import java.lang.management.ManagementFactory
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.toucanspur.core.membership.heartbeatIntervalMillis
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.transport.encodeFrame
import org.toucanspur.schema.EndpointStatus
import org.toucanspur.schema.Incarnation
import org.toucanspur.schema.Ping
import org.toucanspur.schema.PoolId
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.Report
import org.toucanspur.schema.Revision
import org.toucanspur.schema.VmId
import org.toucanspur.schema.ZoneId
import org.toucanspur.standin.EngineBehaviour

private const val IDLE_PERIOD_MILLIS = 8000L
private const val SETTLE_MILLIS = 2000L
private const val CAPACITY = 8
private const val NANOS_PER_MILLI = 1_000_000.0
private const val PERCENT = 100.0
private const val MIB = 1024.0 * 1024
private const val TARGET_CONNECTIONS = 96
private const val FRAME_PREFIX_BYTES = 4
private const val PACKET_HEADER_BYTES = 66
private const val MILLIS_PER_SECOND = 1000.0

/**
 * `control`: extrapolates processor time and heap from two cluster sizes, and computes the traffic
 * from the frame sizes and the heartbeat interval.
 */
internal class ControlMeasurement : Measurement {
    override val name = "control"

    private class ClusterResult(
        val nodes: Int,
        val connections: Int,
        val cpuPercent: Double,
        val heapMib: Double
    )

    override suspend fun run(options: Options): JsonObject {
        val small = measure(agents = 4, entries = 4)
        val large = measure(agents = 16, entries = 8)
        val cpuPerConnection =
            (large.cpuPercent - small.cpuPercent) / (large.connections - small.connections)
        val heapPerConnection =
            (large.heapMib - small.heapMib) / (large.connections - small.connections)
        listOf(small, large).forEach {
            println(
                "${it.nodes} nodes, ${it.connections} connections: " +
                    "${it.cpuPercent}% of a core, ${it.heapMib} MiB heap in total"
            )
        }
        val cpuPerNode =
            maxOf(0.0, small.cpuPercent - cpuPerConnection * small.connections) / small.nodes
        val heapPerNode =
            maxOf(0.0, small.heapMib - heapPerConnection * small.connections) / small.nodes
        return buildJsonObject {
            put("cpuPercentAtTarget", cpuPerNode + cpuPerConnection * TARGET_CONNECTIONS)
            put("bytesPerSecondAtTarget", bytesPerSecond(TARGET_CONNECTIONS))
            put("controlMemoryMiBAtTarget", heapPerNode + heapPerConnection * TARGET_CONNECTIONS)
            put("connectionsAtTarget", TARGET_CONNECTIONS)
        }
    }

    private suspend fun measure(agents: Int, entries: Int): ClusterResult {
        val heapBefore = usedHeapMib()
        val cluster =
            measurementCluster(
                engines = 0,
                EngineBehaviour(CAPACITY),
                services = agents,
                entries = entries
            )
        delay(SETTLE_MILLIS)
        val cpuBefore = cpuNanos()
        val startMillis = monotonicMillis()
        delay(IDLE_PERIOD_MILLIS)
        val elapsedMillis = monotonicMillis() - startMillis
        val cpuPercent = (cpuNanos() - cpuBefore) / NANOS_PER_MILLI / elapsedMillis * PERCENT
        val heapMib = usedHeapMib() - heapBefore
        cluster.close()
        return ClusterResult(agents + entries, agents * entries, cpuPercent, heapMib)
    }

    private fun cpuNanos(): Long {
        val system = ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean
        return system.processCpuTime
    }

    private fun usedHeapMib(): Double {
        System.gc()
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() } / MIB
    }

    // Per heartbeat, an idle connection carries a ping and a pong in each direction and one report.
    private fun bytesPerSecond(connections: Int): Double {
        val ping =
            encodeFrame(Ping(1, 1, Revision(1), 1)).size + FRAME_PREFIX_BYTES + PACKET_HEADER_BYTES
        val report =
            encodeFrame(Report(sampleStatus())).size + FRAME_PREFIX_BYTES + PACKET_HEADER_BYTES
        val bytesPerHeartbeat = 4 * ping + report
        return connections * bytesPerHeartbeat * MILLIS_PER_SECOND /
            heartbeatIntervalMillis(connections)
    }

    private fun sampleStatus() = EndpointStatus(
        VmId("writer-1234"),
        Incarnation(1_700_000_000_000),
        PoolId("toucan-writers"),
        ZoneId("cairo-nasr"),
        RegionId("cairo"),
        1,
        Revision(1),
        ReleaseDigest("0".repeat(64)),
        1,
        1,
        1,
        true
    )
}
