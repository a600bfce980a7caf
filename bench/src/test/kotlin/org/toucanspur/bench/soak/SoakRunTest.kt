package org.toucanspur.bench.soak

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import java.nio.file.Path

// Long enough for faults of several kinds to overlap.
private const val TRAFFIC_MILLIS = 8000L

class SoakRunTest :
    DescribeSpec({
        // Seeds that failed once, with their causes, and one that never did.
        val lines = checkNotNull(SoakRunTest::class.java.getResource("/soak-seeds.txt")).readText()
            .lines().filter { it.isNotBlank() && !it.startsWith("#") }
        describe("the real processes under random faults") {
            lines.forEach { line ->
                val seed = line.substringBefore(' ').toLong()
                it("keep all promises with seed $line") {
                    SoakRun(seed, TRAFFIC_MILLIS, Path.of("target", "soak", "$seed")).run()
                        .broken.shouldBeEmpty()
                }
            }
        }
    })
