package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val IDLE_MILLIS = 15_000L
private const val HEADER_MILLIS = 3000L

private fun limits(headerMillis: Long = HEADER_MILLIS, idleMillis: Long = IDLE_MILLIS) =
    CallerLimits(1024, 1024, headerMillis, idleMillis)

private val idle = CallerActivity(
    isReceiving = false,
    isServing = false,
    unsentBytes = 0,
    lastProgressMillis = 0,
    deadlineMillis = 0
)

class CallerTimeoutsTest :
    DescribeSpec({
        describe("an idle connection") {
            it("is closed after the idle time-out") {
                val timeouts = CallerTimeouts(limits())
                timeouts.expired(idle, IDLE_MILLIS) shouldBe null
                timeouts.expired(idle, IDLE_MILLIS + 1) shouldBe CallerTimeout.IDLE
            }
            it("is judged by a longer time-out that was superseded meanwhile") {
                val timeouts = CallerTimeouts(limits())
                timeouts.onLimits(limits(idleMillis = 1000), 2000)
                timeouts.expired(idle, IDLE_MILLIS) shouldBe null
                timeouts.expired(idle, IDLE_MILLIS + 1) shouldBe CallerTimeout.IDLE
            }
            it("is judged by the superseded time-out if its caller may still know only that one") {
                val timeouts = CallerTimeouts(limits())
                timeouts.onLimits(limits(idleMillis = 1000), 2000)
                val later = idle.copy(lastProgressMillis = 3000)
                timeouts.expired(later, 2000 + IDLE_MILLIS - 1) shouldBe null
                timeouts.expired(later, 2000 + IDLE_MILLIS) shouldBe CallerTimeout.IDLE
            }
            it("is judged by the new time-out once the superseded one is over") {
                val timeouts = CallerTimeouts(limits())
                timeouts.onLimits(limits(idleMillis = 1000), 2000)
                val later = idle.copy(lastProgressMillis = 2000 + IDLE_MILLIS)
                timeouts.expired(later, later.lastProgressMillis + 1000) shouldBe null
                timeouts.expired(later, later.lastProgressMillis + 1001) shouldBe CallerTimeout.IDLE
            }
            it("is judged by a longer time-out at once") {
                val timeouts = CallerTimeouts(limits(idleMillis = 1000))
                timeouts.onLimits(limits(), 500)
                timeouts.expired(idle, IDLE_MILLIS) shouldBe null
            }
            it("is judged by the longest of several that were superseded") {
                val timeouts = CallerTimeouts(limits())
                listOf(5000L, 1000L, 2000L, 1000L).forEachIndexed { index, millis ->
                    timeouts.onLimits(limits(idleMillis = millis), 100L * index)
                }
                timeouts.expired(idle, IDLE_MILLIS - 1) shouldBe null
                timeouts.expired(idle, IDLE_MILLIS) shouldBe CallerTimeout.IDLE
            }
            it("is judged by a time-out as long as it lasted since it was last in force") {
                val timeouts = CallerTimeouts(limits())
                timeouts.onLimits(limits(idleMillis = 1000), 0)
                timeouts.onLimits(limits(), 10_000)
                timeouts.onLimits(limits(idleMillis = 1000), 20_000)
                val later = idle.copy(lastProgressMillis = 20_000)
                timeouts.expired(later, 20_000 + IDLE_MILLIS - 1) shouldBe null
                timeouts.expired(later, 20_000 + IDLE_MILLIS) shouldBe CallerTimeout.IDLE
            }
        }
        describe("a request that is received in part") {
            val receiving = idle.copy(isReceiving = true)
            it("times out after the header time-out, not the idle time-out") {
                val timeouts = CallerTimeouts(limits(idleMillis = 1000))
                timeouts.expired(receiving, HEADER_MILLIS) shouldBe null
                timeouts.expired(receiving, HEADER_MILLIS + 1) shouldBe
                    CallerTimeout.INCOMPLETE_REQUEST
            }
            it("is judged by the time-out under which it began") {
                val timeouts = CallerTimeouts(limits())
                timeouts.onLimits(limits(headerMillis = 100), 1)
                timeouts.expired(receiving, HEADER_MILLIS) shouldBe null
                timeouts.expired(receiving, HEADER_MILLIS + 1) shouldBe
                    CallerTimeout.INCOMPLETE_REQUEST
            }
        }
        describe("a request that is processed or waits") {
            it("does not time out") {
                val serving = idle.copy(isServing = true)
                CallerTimeouts(limits()).expired(serving, Long.MAX_VALUE) shouldBe null
            }
        }
        // Guards against transfers that a few bytes at a time keep alive for ever.
        describe("a transfer") {
            val rate = MinimumRate(graceMillis = 30_000, bytesPerSecond = 1000)
            val receiving = idle.copy(isReceiving = true)
            it("ends after the grace period if it is too slow, however recent its last bytes") {
                val timeouts = CallerTimeouts(limits(), rate)
                val slow = receiving.copy(
                    lastProgressMillis = 40_000,
                    receiving = TransferRate(0, 9_999)
                )
                timeouts.expired(slow, 39_000) shouldBe null
                timeouts.expired(slow, 40_000) shouldBe CallerTimeout.INCOMPLETE_REQUEST
            }
            it("goes on within the grace period and at the minimum rate") {
                val timeouts = CallerTimeouts(limits(), rate)
                val recent = receiving.copy(lastProgressMillis = 30_000)
                timeouts.expired(recent.copy(receiving = TransferRate(0, 1)), 30_000) shouldBe null
                val steady = recent.copy(
                    lastProgressMillis = 600_000,
                    receiving = TransferRate(0, 570_000)
                )
                timeouts.expired(steady, 600_000) shouldBe null
            }
            it("of an unread response ends once its deadline has passed too") {
                val timeouts = CallerTimeouts(limits(), rate)
                val slow = idle.copy(
                    unsentBytes = 1,
                    lastProgressMillis = 59_999,
                    deadlineMillis = 60_000,
                    sending = TransferRate(0, 100)
                )
                timeouts.expired(slow, 59_999) shouldBe null
                timeouts.expired(slow, 60_000) shouldBe CallerTimeout.UNREAD_RESPONSE
            }
        }
        describe("a response that its caller has not read") {
            val unread = idle.copy(unsentBytes = 1, deadlineMillis = 60_000)
            it("keeps its connection open until its deadline") {
                val timeouts = CallerTimeouts(limits())
                timeouts.expired(unread, 59_999) shouldBe null
                timeouts.expired(unread, 60_000) shouldBe CallerTimeout.UNREAD_RESPONSE
            }
            it("keeps its connection open after its deadline while its caller reads") {
                val reading = unread.copy(lastProgressMillis = 55_000)
                val timeouts = CallerTimeouts(limits())
                timeouts.expired(reading, 55_000 + IDLE_MILLIS) shouldBe null
                timeouts.expired(reading, 55_001 + IDLE_MILLIS) shouldBe
                    CallerTimeout.UNREAD_RESPONSE
            }
        }
    })
