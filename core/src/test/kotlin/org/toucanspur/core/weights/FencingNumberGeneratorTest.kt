package org.toucanspur.core.weights

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeGreaterThan

class FencingNumberGeneratorTest :
    DescribeSpec({
        describe("fencing numbers of an agent") {
            it("increase even when the clock stands still or is set back") {
                var now = 1000L
                val numbers = FencingNumberGenerator { now }
                val first = numbers.next()
                val second = numbers.next()
                now = 500
                second shouldBeGreaterThan first
                numbers.next() shouldBeGreaterThan second
            }
            it("exceed those from before a restart with a clock a day ahead after a few refusals") {
                val lastSeen = 24 * 3_600_000L
                val numbers = FencingNumberGenerator { 1000L }
                var refusals = 0
                while (numbers.next() < lastSeen) {
                    numbers.onFenced()
                    refusals++
                }
                refusals shouldBeLessThan 6
            }
        }
    })
