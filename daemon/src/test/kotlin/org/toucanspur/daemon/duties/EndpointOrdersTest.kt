package org.toucanspur.daemon.duties

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.toucanspur.core.duties.DutyReply
import org.toucanspur.core.duties.ScaledServiceState
import org.toucanspur.core.duties.ZoneEndpoints
import org.toucanspur.core.gateway.ServiceScaling
import org.toucanspur.daemon.gateway.LogCapture
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.ZoneId

private val service = ServiceId("s")
private val zone = ZoneId("z")

/** Orders of [vm] for a service that has [live] endpoints and needs [needed]. */
private class OrderingEntry(
    vm: String,
    stored: FakeLeaseObject,
    private val clocks: FakeClocks,
    api: FakeDutyApi
) {
    var needed: Double? = 10.0
    var live = 10
    private val lease = FakeLease(vm, stored)
    private val orders = EndpointOrders(
        lease,
        RecordUpdates(lease),
        api,
        clocks,
        callMillis = 600,
        {
            val zones = listOf(ZoneEndpoints(zone, live))
            listOf(ScaledServiceState(service, ServiceScaling(1, 40, 8000), needed, zones))
        },
        LogCapture().log,
        SimpleMeterRegistry()
    )

    suspend fun runFor(millis: Long) {
        val end = clocks.millis + millis
        while (clocks.millis < end) {
            orders.step()
            clocks.millis += 500
        }
    }
}

class EndpointOrdersTest :
    DescribeSpec({
        describe("a holder of a service that needs more endpoints") {
            it("stores the order before it sends it, and repeats it until it is carried out") {
                val stored = FakeLeaseObject(holder = "a")
                val api = FakeDutyApi()
                val entry = OrderingEntry("a", stored, FakeClocks(1000), api)
                entry.runFor(8000)
                val ordered = stored.record.orders.single()
                ordered.count shouldBe 12
                api.orders.toSet() shouldBe setOf(Triple(service, zone, 12))
                api.orders.size shouldBeGreaterThan 1
                entry.live = 12
                entry.runFor(500)
                val calls = api.orders.size
                entry.runFor(10_000)
                api.orders.size shouldBe calls
            }
            it("sends nothing when the order cannot be stored") {
                val stored = FakeLeaseObject(holder = "a").apply { losesResponses = true }
                val api = FakeDutyApi()
                val entry = OrderingEntry("a", stored, FakeClocks(1000), api)
                entry.runFor(2000)
                stored.takeOver("b")
                entry.runFor(5000)
                api.orders.shouldBeEmpty()
            }
            it("is rate limited to about a call a second") {
                val api = FakeDutyApi(ArrayDeque(List(100) { DutyReply.RATE_LIMITED }))
                OrderingEntry("a", FakeLeaseObject(holder = "a"), FakeClocks(1000), api)
                    .runFor(8000)
                (api.orders.size in 4..9) shouldBe true
            }
        }
        describe("a new holder") {
            it("carries on with the order that the one before has stored but not sent") {
                val stored = FakeLeaseObject(holder = "a")
                OrderingEntry("a", stored, FakeClocks(1000), FakeDutyApi()).runFor(6000)
                stored.takeOver("b")
                val api = FakeDutyApi()
                val next = OrderingEntry("b", stored, FakeClocks(1000), api)
                next.needed = null
                next.runFor(1000)
                api.orders.shouldNotBeEmpty()
                api.orders.toSet() shouldBe setOf(Triple(service, zone, 12))
            }
        }
        describe("an entry without the lease, or without the demand") {
            it("orders nothing") {
                val api = FakeDutyApi()
                OrderingEntry("b", FakeLeaseObject(holder = "a"), FakeClocks(1000), api)
                    .runFor(9000)
                OrderingEntry("a", FakeLeaseObject(holder = "a"), FakeClocks(1000), api)
                    .apply { needed = null }.runFor(9000)
                api.orders.shouldBeEmpty()
            }
        }
    })
