package org.toucanspur.core.weights

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeGreaterThan

class FencingNumbersTest :
    DescribeSpec({
        describe("the numbers of an agent") {
            it("rise also when the clock stands still or goes back") {
                var now = 1000L
                val numbers = FencingNumbers { now }
                val first = numbers.next()
                val second = numbers.next()
                now = 500
                second shouldBeGreaterThan first
                numbers.next() shouldBeGreaterThan second
            }
            it("pass those of a former life whose clock was a day ahead after a few refusals") {
                val seen = 24 * 3_600_000L
                val numbers = FencingNumbers { 1000L }
                var refusals = 0
                while (numbers.next() < seen) {
                    numbers.onFenced()
                    refusals++
                }
                refusals shouldBeLessThan 6
            }
        }
    })
