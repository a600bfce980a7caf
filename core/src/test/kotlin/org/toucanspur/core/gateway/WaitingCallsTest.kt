package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.toucanspur.schema.OrganisationId

private class TestCall(
    val name: String,
    override val rank: Int = 1,
    organisation: String = "acme",
    override val costMillis: Double = 100.0,
    override val untilMillis: Long = 100,
    override val reviewMillis: Long = untilMillis,
    override val placementKind: Any = "any"
) : WaitingCall {
    override val serviceId = writers
    override val organisationId = OrganisationId(organisation)
    override val heldBytes = 10L
}

private fun waiting(vararg calls: TestCall) = WaitingCalls<TestCall>(10_000).apply {
    calls.forEach { add(it) shouldBe true }
}

private fun WaitingCalls<TestCall>.drained(count: Int = Int.MAX_VALUE): List<TestCall> {
    val order = mutableListOf<TestCall>()
    drain { call ->
        if (order.size < count) {
            order += call
            PlacementResult.PLACED
        } else {
            PlacementResult.BUSY
        }
    }
    return order
}

class WaitingCallsTest :
    DescribeSpec({
        describe("waiting requests") {
            it("are placed by rank and by the time until which service is useful") {
                waiting(
                    TestCall("late", rank = 11),
                    TestCall("b", untilMillis = 60),
                    TestCall("a", untilMillis = 50),
                    TestCall("urgent", rank = 0, untilMillis = 90)
                ).drained().map { it.name } shouldContainExactly
                    listOf("urgent", "a", "b", "late")
            }
            it("do not block the following ones that can use other endpoints") {
                val calls = waiting(TestCall("stuck"), TestCall("b", placementKind = "other"))
                calls.drain {
                    if (it.name == "b") PlacementResult.PLACED else PlacementResult.BUSY
                }
                calls.size shouldBe 1
            }
            it("are refused when their memory is used up") {
                val calls = WaitingCalls<TestCall>(15)
                val first = TestCall("a")
                calls.add(first) shouldBe true
                calls.add(TestCall("b")) shouldBe false
                calls.remove(first) shouldBe true
                calls.add(TestCall("c")) shouldBe true
            }
            it("are removed when their waiting time expires") {
                val calls = waiting(TestCall("a", untilMillis = 50), TestCall("b"))
                val unlimited = WaitCapacity(Double.MAX_VALUE, Double.MAX_VALUE)
                calls.removeUnservable(50) { unlimited }.map { it.name } shouldBe listOf("a")
                calls.size shouldBe 1
            }
            // Guards against holding requests until they expire although it is known before.
            it("are removed at their review when the requests before them take too long") {
                val calls = waiting(
                    TestCall("first", reviewMillis = 10),
                    TestCall("second", untilMillis = 101, reviewMillis = 10)
                )
                val capacity = WaitCapacity(perSecond = 1000.0, sparePerSecond = 0.0)
                calls.removeUnservable(9) { capacity } shouldBe emptyList()
                calls.removeUnservable(10) { capacity }.map { it.name } shouldBe listOf("second")
            }
            it("may wait again while they are being placed") {
                val calls = waiting(TestCall("a"))
                calls.drain {
                    calls.add(it)
                    PlacementResult.PLACED
                }
                calls.size shouldBe 1
            }
        }
        describe("the placement of waiting requests") {
            // Guards against asking for each request at each endpoint whenever a slot is freed.
            it("asks at most twice for requests of one kind once all endpoints are busy") {
                val calls = waiting(*Array(250) { TestCall("c$it", organisation = "o${it % 24}") })
                var asked = 0
                calls.drain {
                    asked++
                    if (asked <= 5) PlacementResult.PLACED else PlacementResult.BUSY
                }
                asked shouldBeLessThanOrEqual 7
                calls.size shouldBe 245
            }
        }
        describe("organisations of equal rank") {
            it("get equal shares by cost, whatever they send") {
                val hot = List(200) { TestCall("hot", organisation = "hot") }
                val large = List(20) { TestCall("l", organisation = "large", costMillis = 200.0) }
                val small = List(40) { TestCall("s", organisation = "small") }
                val placed = waiting(*(hot + large + small).toTypedArray()).drained(50)
                placed.groupBy { it.organisationId.value }.forEach { (_, calls) ->
                    calls.sumOf { it.costMillis }.toInt() shouldBeInRange 1800..2200
                }
            }
            it("do not save up shares while they send nothing") {
                val calls = WaitingCalls<TestCall>(10_000)
                repeat(50) { calls.onPlacedAtOnce(TestCall("busy", organisation = "busy")) }
                repeat(10) {
                    calls.add(TestCall("b", organisation = "busy"))
                    calls.add(TestCall("n", organisation = "new"))
                }
                calls.drained(10).count { it.name == "n" } shouldBeInRange 4..6
            }
        }
        describe("lower ranks") {
            it("get a part of the service while higher ranks wait") {
                val urgent = List(200) { TestCall("u", rank = 0) }
                val calls =
                    waiting(*(urgent + List(100) { TestCall("l", rank = 2) }).toTypedArray())
                var lower = 0
                repeat(100) { lower += calls.drained(1).count { it.name == "l" } }
                lower shouldBeInRange 8..15
            }
            it("wait for what is before them") {
                val calls = waiting(*Array(4) { TestCall("u", rank = 0) })
                val capacity = WaitCapacity(1000.0, 100.0)
                calls.waitMillis(TestCall("l", rank = 2), capacity) shouldBe 400.0
                calls.waitMillis(TestCall("late", rank = 12), capacity) shouldBeGreaterThan 3000.0
            }
        }
    })
