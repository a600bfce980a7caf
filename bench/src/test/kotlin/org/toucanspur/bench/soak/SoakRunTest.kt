package org.toucanspur.bench.soak

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import java.nio.file.Path

// Long enough for several kinds of faults to overlap.
private const val TRAFFIC_MILLIS = 8000L

class SoakRunTest :
    DescribeSpec({
        // Seeds that have failed, with the cause, and seeds that never failed.
        val lines = checkNotNull(SoakRunTest::class.java.getResource("/soak-seeds.txt")).readText()
            .lines().filter { it.isNotBlank() && !it.startsWith("#") }
        describe("daemon processes under random faults") {
            lines.forEach { line ->
                val seed = line.substringBefore(' ').toLong()
                it("keep all guarantees with seed $line") {
                    SoakRun(seed, TRAFFIC_MILLIS, Path.of("target", "soak", "$seed")).run()
                        .violations.shouldBeEmpty()
                }
            }
        }
    })
