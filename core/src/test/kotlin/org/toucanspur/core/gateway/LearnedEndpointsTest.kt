package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeInRange
import kotlin.random.Random

private const val ENGINES = 14

// A seventh of the engines take 2.5 times as long for 600 ms, then other ones.
private fun spells(endpoint: Int, now: Long, running: Int): Double {
    val slow = List(ENGINES) { it }.shuffled(Random(now / 600)).take(2)
    return if (endpoint in slow && running >= 0) 2.5 else 1.0
}

private fun engines(
    rate: Int,
    lying: Int = -1,
    slowness: (Int, Long, Int) -> Double = { _, _, _ -> 1.0 }
) = SimulatedService(true, ENGINES, rate, 400, slowness = slowness, isLying = { it == lying })

private fun plain(
    rate: Int,
    entries: Int = 4,
    slowness: (Int, Long, Int) -> Double = { _, _, _ -> 1.0 }
) = SimulatedService(false, 8, rate, 100, entries, slowness = slowness)

class LearnedEndpointsTest :
    DescribeSpec({
        // Guards against slow endpoints getting as many requests as the others. The value is the
        // least gain in the share of requests on time, averaged over the seeds.
        val cases = mapOf(
            "slow spells of engines at 56% load" to Pair(engines(90, -1, ::spells), 0.04),
            "slow spells of engines at 80% load" to Pair(engines(130, -1, ::spells), 0.1),
            "four engines that are always slow" to
                Pair(engines(110) { e, _, _ -> if (e < 4) 2.5 else 1.0 }, 0.1),
            "five engines that slow down at seven requests" to
                Pair(engines(110) { e, _, n -> if (e < 5 && n > 6) 2.5 else 1.0 }, 0.1),
            "a slow engine that reports no load" to
                Pair(engines(120, 0) { e, _, _ -> if (e == 0) 2.0 else 1.0 }, 0.1),
            "three plain endpoints that are always slow" to
                Pair(plain(400) { e, _, _ -> if (e < 3) 3.0 else 1.0 }, 0.1),
            "four plain endpoints that slow down at three requests" to
                Pair(plain(400) { e, _, n -> if (e < 4 && n > 2) n / 1.2 else 1.0 }, 0.08),
            "the same with a single entry" to
                Pair(plain(400, 1) { e, _, n -> if (e < 4 && n > 2) n / 1.2 else 1.0 }, 0.15),
            "two other plain endpoints slow every three seconds" to
                Pair(plain(300) { e, t, _ -> if ((t / 3000 + e) % 4 == 0L) 3.0 else 1.0 }, 0.08),
            "a plain service that becomes slower as a whole" to
                Pair(plain(200) { _, t, _ -> if (t > 8000) 2.0 else 1.0 }, -0.005),
            "an overload of half the capacity with slow spells" to
                Pair(engines(220, -1, ::spells), -0.02)
        )
        describe("endpoints that look slow") {
            val slow = engines(90) { e, t, _ -> if (e < 4 && t < 10_000) 3.0 else 1.0 }

            fun sentShare(fromMillis: Long, runMillis: Long): Double {
                val sent = LearningSimulation(
                    slow.until(runMillis),
                    1,
                    true,
                    fromMillis
                ).run().sentTo
                return sent.take(4).average() / sent.drop(4).average()
            }
            it("get few requests, but some, so that their recovery is found out") {
                val share = sentShare(3000, 10_000)
                share shouldBeGreaterThan 0.02
                share shouldBeLessThan 0.35
            }
            it("get as many as the others within ten seconds of their recovery") {
                sentShare(20_000, 30_000) shouldBeGreaterThan 0.85
            }
        }
        describe("learning") {
            cases.forEach { (name, case) ->
                val (service, gain) = case
                it("changes the share on time as expected with $name") {
                    val shares = listOf(false, true).map { isLearning ->
                        (1..4).map { LearningSimulation(service, it, isLearning).run() }
                            .map { it.onTimeShare }.average()
                    }
                    shares[1] shouldBeGreaterThan shares[0] + gain
                }
            }
            mapOf("engines" to engines(100), "plain endpoints" to plain(300)).forEach {
                it("spreads requests over equal ${it.key} as evenly as without it") {
                    val (off, on) = listOf(false, true)
                        .map { isLearning -> LearningSimulation(it.value, 1, isLearning).run() }
                    off.sentTo.zip(on.sentTo.toList()).forAll { (before, after) ->
                        after shouldBeInRange before * 8 / 10..before * 12 / 10
                    }
                    on.onTimeShare shouldBeGreaterThan off.onTimeShare - 0.005
                }
            }
        }
    })
