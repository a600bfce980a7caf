/*
 * Memory outside the heap that network buffers occupy.
 */
package org.toucanspur.daemon.net

import io.micrometer.core.instrument.MeterRegistry
import io.netty.util.internal.PlatformDependent
import java.lang.management.BufferPoolMXBean
import java.lang.management.ManagementFactory

private val directPools =
    ManagementFactory.getPlatformMXBeans(BufferPoolMXBean::class.java).filter {
        it.name == "direct"
    }

// Depending on the JVM, Netty allocates outside the pools of the JVM and counts by itself.
private fun directBytes(): Long =
    directPools.sumOf { it.memoryUsed } + maxOf(0, PlatformDependent.usedDirectMemory())

/** Registers gauges for the direct memory in use and its limit. */
fun registerDirectMemory(registry: MeterRegistry) {
    registry.gauge("toucanspur.memory.direct.bytes", directPools) { directBytes().toDouble() }
    registry.gauge("toucanspur.memory.direct.max.bytes", directPools) {
        PlatformDependent.maxDirectMemory().toDouble()
    }
}
