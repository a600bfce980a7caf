package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import org.toucanspur.schema.OrganisationId

private fun demand(priority: Int, perSecond: Long, cost: Long) =
    ServiceDemand(writers, priority, perSecond * 1000, perSecond * cost, 0)

private val asked = listOf(demand(0, 181, 127), demand(1, 126, 110), demand(2, 141, 65))
private val full = ServiceLoad(31, 496, 490, 20, 31_000.0)

private fun OverloadAdmission.settle(
    load: ServiceLoad,
    demand: List<ServiceDemand> = asked,
    isPrioritised: Boolean = true
) = apply {
    for (now in 0L..5000L step 100) update(load, demand, 0, isPrioritised, now)
}

class OverloadAdmissionTest :
    DescribeSpec({
        describe("the admitted shares of three priorities") {
            it("use the capacity in the order of priorities above the minimum") {
                val shares = admittedShares(asked, 31_000.0)
                shares.getValue(0) shouldBe (1.0 plusOrMinus 0.001)
                shares.getValue(1) shouldBeGreaterThan shares.getValue(2)
                asked.sumOf { it.costMillisPerSecond * shares.getValue(it.priority) } shouldBe
                    (31_000.0 plusOrMinus 50.0)
                val served = asked.sumOf {
                    it.milliRequestsPerSecond * shares.getValue(it.priority)
                } / asked.sumOf { it.milliRequestsPerSecond }
                shares.getValue(2) shouldBeGreaterThan served / 4
            }
            // Guards against starving kinds when the most urgent one needs more than there is.
            it("keep the minimum when the most urgent priority exceeds the capacity") {
                val shares = admittedShares(listOf(demand(0, 500, 127)) + asked.drop(1), 31_000.0)
                shares.values.toList().forAll { it shouldBeGreaterThan 0.08 }
            }
            it("admit everything that fits") {
                admittedShares(asked, 50_000.0).values.toSet() shouldBe setOf(1.0)
            }
        }
        describe("admission under overload") {
            it("refuses each organisation alike, however much it sends") {
                val admission = OverloadAdmission().settle(full)
                val share = admission.share(1)
                listOf("small" to 50, "hot" to 2000).forAll { (name, count) ->
                    val admitted = List(count) {
                        admission.admits(1, OrganisationId(name), isRepeated = false)
                    }.count { it }
                    val expected = (share * count).toInt()
                    admitted shouldBeInRange expected - 1..expected + 1
                }
            }
            it("refuses nothing while less than half of the slots are in use") {
                val admission = OverloadAdmission().settle(full)
                admission.update(full.copy(occupied = 240, waiting = 0), asked, 0, true, 5100)
                (0..2).toList().forAll { admission.share(it) shouldBe 1.0 }
            }
            it("refuses nothing by priority where there is only one") {
                val admission =
                    OverloadAdmission().settle(full, asked.take(1).map { it.copy(priority = 0) })
                        .settle(full, listOf(demand(0, 448, 103)), isPrioritised = false)
                admission.share(0) shouldBe 1.0
                admission.isOverloaded shouldBe true
            }
            it("admits a request that was refused before as soon as its kind is served in full") {
                val admission = OverloadAdmission().settle(full)
                List(20) { admission.admits(0, null, isRepeated = true) }.toSet() shouldBe
                    setOf(true)
            }
        }
    })
