package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private data class Waiter(
    val name: String,
    override val isOnTime: Boolean = true,
    override val untilMillis: Long = 100
) : WaitingCall

class WaitingCallsTest :
    DescribeSpec({
        describe("waiting requests") {
            it("are placed in the order of arrival, late ones last") {
                val waiting = WaitingCalls<Waiter>(10)
                waiting.add(Waiter("late", isOnTime = false))
                waiting.add(Waiter("a"))
                waiting.add(Waiter("b"))
                val order = mutableListOf<String>()
                waiting.drain { order.add(it.name) }
                order shouldBe listOf("a", "b", "late")
            }
            it("do not hold up those behind them") {
                val waiting = WaitingCalls<Waiter>(10)
                waiting.add(Waiter("stuck"))
                waiting.add(Waiter("b"))
                waiting.drain { it.name == "b" }
                waiting.size shouldBe 1
            }
            it("are turned away when the room is full") {
                val waiting = WaitingCalls<Waiter>(1)
                waiting.add(Waiter("a")) shouldBe true
                waiting.add(Waiter("b")) shouldBe false
            }
            it("leave when their time is over") {
                val waiting = WaitingCalls<Waiter>(10)
                waiting.add(Waiter("a", untilMillis = 50))
                waiting.add(Waiter("b", untilMillis = 60))
                waiting.takeOverdue(50).map { it.name } shouldBe listOf("a")
                waiting.size shouldBe 1
            }
        }
        describe("the time to come back") {
            it("is spread, so that refused callers do not return together") {
                val random = Random(1)
                val times = List(50) { WaitPolicy.retryAfterMillis(500.0, random) }
                times.forEach { it shouldBeInRange 500L..800L }
                times.toSet().size shouldBeGreaterThan 30
            }
            it("stays within what callers honour") {
                WaitPolicy.retryAfterMillis(60_000.0, Random(1)) shouldBeInRange 1800L..2880L
            }
        }
        describe("the urgency at an endpoint") {
            it("is the lowest for a request that is late already") {
                WaitPolicy.urgency(isOnTime = false, priority = 0) shouldBe 9
                WaitPolicy.urgency(isOnTime = true, priority = 1) shouldBe 1
            }
        }
    })
