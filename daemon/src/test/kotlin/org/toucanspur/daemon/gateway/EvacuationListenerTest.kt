package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.core.platform.StoredObject
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.schema.ZoneId

private class EvacuationFixture {
    val state = GatewayState(entrySettings(), Random(1))
    val listener = EvacuationListener(state, LogCapture().log)

    fun list(era: Long, vararg zones: String) {
        listener.onEra(era)
        listener.onListing(zones.map { StoredObject(it, 1, "{}") }, ClockReading(0, 0))
    }
}

class EvacuationListenerTest :
    DescribeSpec({
        describe("an evacuation that an older copy of the store lacks") {
            val zone = ZoneId("a")
            // Guards against requests to an evacuated zone until the operator writes it again.
            it("is kept for the time in which the operator writes it again") {
                val fixture = EvacuationFixture()
                fixture.list(1, "a")
                fixture.list(2)
                fixture.list(2)
                fixture.state.evacuatedZones shouldBe setOf(zone)
                fixture.listener.expire(monotonicMillis())
                fixture.state.evacuatedZones shouldBe setOf(zone)
                fixture.listener.expire(monotonicMillis() + 2000)
                fixture.state.evacuatedZones shouldBe emptySet()
            }
            it("stays once it is written again") {
                val fixture = EvacuationFixture()
                fixture.list(1, "a")
                fixture.list(2)
                fixture.list(2, "a")
                fixture.listener.expire(monotonicMillis() + 10_000)
                fixture.state.evacuatedZones shouldBe setOf(zone)
            }
        }
        describe("an evacuation that the operator takes back") {
            it("ends with the next listing of the same era") {
                val fixture = EvacuationFixture()
                fixture.list(1, "a")
                fixture.list(1)
                fixture.state.evacuatedZones shouldBe emptySet()
            }
        }
    })
