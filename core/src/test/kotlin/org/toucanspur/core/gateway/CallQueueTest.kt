package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private data class TestCall(
    val name: String,
    override val isOnTime: Boolean = true,
    override val untilMillis: Long = 100
) : QueuedCall

class CallQueueTest :
    DescribeSpec({
        describe("queued requests") {
            it("are placed in order of arrival, with late ones last") {
                val queue = CallQueue<TestCall>(10)
                queue.add(TestCall("late", isOnTime = false))
                queue.add(TestCall("a"))
                queue.add(TestCall("b"))
                val order = mutableListOf<String>()
                queue.drain { order.add(it.name) }
                order shouldBe listOf("a", "b", "late")
            }
            it("do not block the following ones") {
                val queue = CallQueue<TestCall>(10)
                queue.add(TestCall("stuck"))
                queue.add(TestCall("b"))
                queue.drain { it.name == "b" }
                queue.size shouldBe 1
            }
            it("are refused when the queue is full") {
                val queue = CallQueue<TestCall>(1)
                queue.add(TestCall("a")) shouldBe true
                queue.add(TestCall("b")) shouldBe false
            }
            it("are removed when their waiting time expires") {
                val queue = CallQueue<TestCall>(10)
                queue.add(TestCall("a", untilMillis = 50))
                queue.add(TestCall("b", untilMillis = 60))
                queue.removeExpired(50).map { it.name } shouldBe listOf("a")
                queue.size shouldBe 1
            }
        }
        describe("the retry delay") {
            it("is jittered, so that refused callers do not retry simultaneously") {
                val random = Random(1)
                val times = List(50) { WaitPolicy.retryAfterMillis(500.0, random) }
                times.forEach { it shouldBeInRange 500L..800L }
                times.toSet().size shouldBeGreaterThan 30
            }
            it("stays within the range that callers honour") {
                WaitPolicy.retryAfterMillis(60_000.0, Random(1)) shouldBeInRange 1800L..2880L
            }
        }
        describe("the urgency at an endpoint") {
            it("is the lowest for a late request") {
                WaitPolicy.urgency(isOnTime = false, priority = 0) shouldBe 9
                WaitPolicy.urgency(isOnTime = true, priority = 1) shouldBe 1
            }
        }
    })
