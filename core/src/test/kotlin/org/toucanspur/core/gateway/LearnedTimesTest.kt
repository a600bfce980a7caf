package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.math.roundToLong
import kotlin.random.Random
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.ZoneId

private const val SLOTS = 6

class LearnedTimesTest :
    DescribeSpec({
        fun EndpointTimes.call(millis: Long, now: Long, isSuccess: Boolean = true, load: Int = 1) =
            begin(false, 20.0, load, SLOTS, now - millis).onComplete(isSuccess, now)

        // A service whose other endpoints have answered [count] calls in [millis].
        fun usual(millis: Long = 40, count: Int = 200) = ServiceTimes().also { service ->
            val others = EndpointTimes(service)
            repeat(count) { others.call(millis, it.toLong()) }
        }

        fun ServiceTimes.streaming() = also { service ->
            val other = EndpointTimes(service).begin(true, 100.0, 1, SLOTS, 0)
            (1..50).forEach { other.onEvents(it * 60L) }
        }

        describe("the usual times of a plain service") {
            it("start at the values of a service that has not answered") {
                ServiceTimes().run { callMillis.roundToLong() to tailMillis } shouldBe (20L to 150L)
            }
            it("follow the service, and its tail covers the hundredth call") {
                val service = ServiceTimes()
                val times = EndpointTimes(service)
                (1..5000).forEach { times.call(if (it % 100 == 0) 215 else 43, it.toLong()) }
                service.callMillis.toLong() shouldBeInRange 40L..46L
                service.tailMillis shouldBeInRange 200L..400L
            }
            it("do not count an endpoint that sends nothing as a slow call") {
                val service = usual()
                val before = service.tailMillis
                val times = EndpointTimes(service)
                repeat(20) { times.begin(false, 20.0, 1, SLOTS, 0).onMoved(false, 400) }
                service.tailMillis shouldBe before
                repeat(20) { times.begin(false, 20.0, 1, SLOTS, 0).onMoved(true, 400) }
                service.tailMillis shouldBeGreaterThan before
            }
            it("keep their initial values while learning is off") {
                val service = ServiceTimes(isLearning = false)
                val times = EndpointTimes(service)
                repeat(100) { times.call(200, it.toLong()) }
                service.callMillis shouldBe 20.0
                service.tailMillis shouldBe 150L
                times.slowdown(100) shouldBe 1.0
            }
        }
        describe("an endpoint") {
            it("is not slow after one outlier, but after two in a row") {
                val times = EndpointTimes(usual())
                times.call(2000, 1000)
                times.slowdown(1000) shouldBe 1.0
                times.call(100, 1001)
                times.slowdown(1001) shouldBeGreaterThan 1.5
            }
            it("is as usual again after a few usual responses or without responses") {
                val times = EndpointTimes(usual())
                repeat(5) { times.call(120, 1000) }
                times.slowdown(1000) shouldBeGreaterThan 2.0
                times.slowdown(5000) shouldBeGreaterThan 1.5
                times.slowdown(13_000) shouldBe 1.0
                repeat(10) { times.call(40, 1100) }
                times.slowdown(1100) shouldBe 1.0
            }
            it("is not slow after two outliers that are far apart") {
                val times = EndpointTimes(usual())
                times.call(120, 1000)
                times.call(120, 7000)
                times.slowdown(7000) shouldBe 1.0
            }
            it("stays usable when the model gives no usable time") {
                val times = EndpointTimes(ServiceTimes())
                listOf(0.0, Double.NaN, Double.POSITIVE_INFINITY, 100.0).forEach { expected ->
                    repeat(20) { times.begin(true, expected, 1, SLOTS, 10).onEvents(10) }
                }
                times.slowdown(10) shouldBe 1.0
            }
            it("does not become faster by failures") {
                val times = EndpointTimes(usual())
                repeat(5) { times.call(120, 1000) }
                val before = times.slowdown(1000)
                repeat(50) { times.call(1, 1000, isSuccess = false) }
                times.slowdown(1000) shouldBe before
            }
            it("is not slow when the whole service becomes slower") {
                val service = usual()
                val all = List(4) { EndpointTimes(service) }
                (1..400).forEach { all[it % 4].call(100, 1000L + it) }
                all.forEach { it.slowdown(1400) shouldBe 1.0 }
            }
            it("loses what was learned with its next incarnation, also for running attempts") {
                val fleet = Fleet()
                fleet.put(record("e"), 0)
                val times = fleet.find(EndpointId("e"))!!.times
                repeat(5) { times.call(200, 1000) }
                val running = times.begin(false, 20.0, 1, SLOTS, 0)
                fleet.put(record("e").copy(startedAtMillis = 5), 1000)
                running.onComplete(true, 1000)
                times.slowdown(1000) shouldBe 1.0
            }
            it("has a lower limit while its time rises with the load, and probes after it") {
                val times = EndpointTimes(usual())
                (1..100).forEach {
                    times.call(
                        if (it % 2 ==
                            0
                        ) {
                            40
                        } else {
                            120
                        },
                        1000,
                        load = 1 + it % 2 * 4
                    )
                }
                times.concurrencyLimit(SLOTS, 1000) shouldBeLessThan 4.5
                times.concurrencyLimit(SLOTS, 60_000) shouldBe SLOTS.toDouble()
            }
        }
        describe("an engine") {
            fun EndpointTimes.stream(now: Long) = begin(true, 100.0, 1, SLOTS, now - 100)
                .also { it.onEvents(now) }

            it("is slow after two late events, before its next response") {
                val times = EndpointTimes(ServiceTimes().streaming())
                val stream = times.stream(10_000)
                stream.onEvents(10_150)
                stream.onEvents(10_300)
                times.slowdown(10_300) shouldBeGreaterThan 1.5
                (1..8).forEach { stream.onEvents(10_300L + it * 60) }
                times.slowdown(10_780) shouldBe 1.0
            }
            it("is slow while an event is overdue, until its streams end") {
                val times = EndpointTimes(ServiceTimes().streaming())
                val stream = times.stream(10_000)
                times.slowdown(10_100) shouldBe 1.0
                times.slowdown(10_150) shouldBeGreaterThan 2.0
                stream.close()
                times.slowdown(10_150) shouldBe 1.0
            }
            it("gives one observation for the events of all its streams in one pass") {
                val times = EndpointTimes(ServiceTimes().streaming())
                val streams = List(12) { times.stream(10_000) }
                streams.forEach { it.onEvents(10_150) }
                streams.forEach { it.close() }
                times.slowdown(10_150) shouldBe 1.0
            }
        }
        describe("placement on endpoints of equal speed") {
            listOf("engines" to engine, "plain endpoints" to null).forEach { (name, timing) ->
                it("chooses the same $name with learning on and off") {
                    val (off, on) = listOf(false, true).map { isLearning ->
                        val fleet = Fleet(isLearning = isLearning)
                        repeat(6) { fleet.put(record("e$it").copy(host = "10.0.0.$it"), 0) }
                        val placer =
                            RequestPlacer(fleet, ZoneId("a"), RegionId("r"), 5, Random(1))
                        val noise = Random(2)
                        val query =
                            PlacementQuery(
                                service(timing = timing),
                                973,
                                null,
                                emptySet(),
                                emptySet(),
                                0
                            )
                        List(500) {
                            val now = it * 10L
                            val sent = placer.place(query, 320.0, now, 4)
                                .shouldBeInstanceOf<Placement.Send>()
                            val time = sent.endpoint.times
                                .begin(timing != null, sent.modelMillis, 1, 16, now)
                            val millis = (100 * (0.85 + 0.3 * noise.nextDouble())).toLong()
                            time.onEvents(now + millis)
                            time.onComplete(true, now + millis)
                            sent.endpoint.record.id
                        }
                    }
                    on shouldBe off
                }
            }
            it("sends also when all endpoints look too slow for the budget") {
                val fleet = Fleet()
                fleet.put(record("e"), 0)
                val placer = RequestPlacer(fleet, ZoneId("a"), RegionId("r"), 5, Random(1))
                val times = fleet.find(EndpointId("e"))!!.times
                repeat(200) { times.call(900, it.toLong()) }
                val query =
                    PlacementQuery(service(timing = null), 0, null, emptySet(), emptySet(), 0)
                placer.place(query, 100.0, 200, 4).shouldBeInstanceOf<Placement.Send>()
                    .firstByteMillis shouldBeGreaterThan 500.0
            }
        }
    })
