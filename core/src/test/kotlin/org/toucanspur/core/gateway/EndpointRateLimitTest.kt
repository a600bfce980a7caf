package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.inspectors.forAll
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val WINDOW_MILLIS = 4000L
private const val END_MILLIS = 60_000L

private data class Setting(
    val entries: Int,
    val perSecond: Double,
    val seed: Int,
    /** Time at which the load rises from none. */
    val loadFromMillis: Long = 0,
    /** Time at which a further entry starts; the others learn of it a second later. */
    val startMillis: Long = END_MILLIS
)

/** Times at which entries send to an endpoint that names a limit at time 0. */
private fun sends(setting: Setting): List<Long> {
    val random = Random(setting.seed)
    val limits = List(setting.entries + 1) { EndpointRateLimit(Random(random.nextInt())) }
    limits.dropLast(1).forEach {
        it.onNamed(NamedLimit.Rate(setting.perSecond), 0, random.nextLong(0, 300))
    }
    val sends = ArrayList<Long>()
    for (now in 0..END_MILLIS step 10) {
        if (now == setting.startMillis) {
            limits.last().onNamed(NamedLimit.Rate(setting.perSecond), now, now)
        }
        val counted = setting.entries + if (now >= setting.startMillis + 1000) 1 else 0
        val running = setting.entries + if (now >= setting.startMillis) 1 else 0
        if (now < setting.loadFromMillis) continue
        limits.take(running).shuffled(random).forEach {
            if (it.opensInMillis(counted, now) == 0L) {
                it.onSend(now)
                sends += now
            }
        }
    }
    return sends
}

private fun mostInWindow(sends: List<Long>): Double =
    sends.maxOf { from -> sends.count { it in from until from + WINDOW_MILLIS } }.toDouble()

private val settings = buildList {
    for (seed in 1..10) {
        for (entries in listOf(1, 4, 5, 12, 30)) {
            for (perSecond in listOf(0.5, 1.0, 2.1, 2.3, 5.0, 20.0, 80.0)) {
                add(Setting(entries, perSecond, seed))
            }
        }
    }
}

private fun allowed(setting: Setting) = 1.5 * setting.perSecond * WINDOW_MILLIS / 1000 + 5

class EndpointRateLimitTest :
    DescribeSpec({
        describe("a limit that an endpoint names") {
            it("is not exceeded by all entries together under load") {
                settings.forAll { mostInWindow(sends(it)) shouldBeLessThanOrEqual allowed(it) }
            }
            it("is not exceeded when the load rises") {
                settings.forAll {
                    val risen = it.copy(loadFromMillis = 20_000)
                    mostInWindow(sends(risen)) shouldBeLessThanOrEqual allowed(it)
                }
            }
            it("is not exceeded when an entry starts") {
                settings.forAll {
                    val started = it.copy(startMillis = 20_000)
                    mostInWindow(sends(started)) shouldBeLessThanOrEqual allowed(it)
                }
            }
            it("is used under load") {
                settings.forAll {
                    val expected = it.perSecond * END_MILLIS / 1000
                    sends(it).size.toDouble() shouldBeGreaterThanOrEqual expected * 0.6
                }
            }
        }
        describe("a limit") {
            fun limited(perSecond: Double) = EndpointRateLimit(Random(1)).apply {
                onNamed(NamedLimit.Rate(perSecond), 1000, 1000)
                opensInMillis(1, 100_000) shouldBe 0
                onSend(100_000)
            }
            it("is changed and lifted by later responses") {
                val limit = limited(1.0)
                limit.opensInMillis(1, 100_001) shouldBeGreaterThan 0
                limit.onNamed(NamedLimit.Unreadable, 1500, 1600)
                limit.perSecond shouldBe 1.0
                limit.onNamed(NamedLimit.Rate(4.0), 1500, 1600)
                limit.perSecond shouldBe 4.0
                limit.onNamed(NamedLimit.None, 1500, 1700)
                limit.opensInMillis(1, 100_001) shouldBe 0
            }
            it("is not lifted by a response to a request from before") {
                val limit = limited(1.0)
                limit.onNamed(NamedLimit.None, 900, 1600)
                limit.perSecond shouldBe 1.0
            }
            it("of zero lets a request pass now and then") {
                val limit = EndpointRateLimit(Random(1))
                limit.onNamed(NamedLimit.Rate(0.0), 1000, 1000)
                var now = 1000L
                repeat(5) {
                    now += limit.opensInMillis(1, now)
                    limit.opensInMillis(1, now) shouldBe 0
                    limit.onSend(now)
                    limit.opensInMillis(1, now) shouldBeGreaterThan 0
                }
            }
        }
    })
