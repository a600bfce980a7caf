package org.toucanspur.core.weights

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.toucanspur.schema.VmId

class LoadScheduleTest :
    DescribeSpec({
        val vms = List(10) { VmId("10.0.0.$it") }
        describe("the load times of a version") {
            it("are spread evenly and lie within the time limit") {
                val times = vms.map { loadTimeMillis(1000, 8000, "m/2", it, vms) }.sorted()
                times.zipWithNext { a, b -> b - a }.toSet() shouldBe setOf(280L)
                times.last() shouldBeLessThan 9000L
            }
            it("have a different order for each version") {
                val second = vms.sortedBy { loadTimeMillis(0, 8000, "m/2", it, vms) }
                val third = vms.sortedBy { loadTimeMillis(0, 8000, "m/3", it, vms) }
                (second == third) shouldBe false
            }
            it("are not delayed without a time limit") {
                loadTimeMillis(1000, 0, "m/2", vms[0], vms) shouldBe 1000
            }
        }
        describe("the next load of an endpoint") {
            it("is that of the waiting version, not of one set after it") {
                nextLoadMillis(1, mapOf(1L to 0L, 2L to 6000L, 3L to 9000L), 5000) shouldBe 1000
                nextLoadMillis(2, mapOf(2L to 6000L, 3L to 9000L), 5000) shouldBe 4000
            }
            it("is due immediately when it is overdue") {
                nextLoadMillis(1, mapOf(2L to 6000L), 6500) shouldBe 0
            }
            it("is null when the newest version is loaded") {
                nextLoadMillis(3, mapOf(2L to 6000L, 3L to 9000L), 5000) shouldBe null
            }
        }
        describe("a transfer when a newer target version is set") {
            it("continues only when at least half of it is done") {
                isWorthFinishing(48, 96) shouldBe true
                isWorthFinishing(47, 96) shouldBe false
                isWorthFinishing(0, 0) shouldBe false
            }
        }
    })
