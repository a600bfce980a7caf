package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.ClockPair
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.core.gateway.Pause

class PauseMonitorTest :
    DescribeSpec({
        describe("a suspension of the VM") {
            it("is known and logged before the next periodic observation") {
                val captured = LogCapture()
                var now = ClockReading(0, 0)
                val monitor = PauseMonitor({ now }, captured.log)
                monitor.recent() shouldBe null
                now = ClockReading(100, 5100)
                monitor.recent() shouldBe Pause(ClockReading(0, 0), 100, 5100)
                val event = captured.next(EventCode.PROCESS_PAUSED)
                event?.get("monotonicMillis")?.jsonPrimitive?.long shouldBe 100
                event?.get("wallMillis")?.jsonPrimitive?.long shouldBe 5100
                event?.get("clockShiftMillis")?.jsonPrimitive?.long shouldBe 5000
            }
            it("is no longer recent after half a minute") {
                var now = ClockReading(0, 0)
                val clocks = ClockPair { now }
                val monitor = PauseMonitor(clocks, LogCapture().log)
                monitor.recent()
                now = ClockReading(100, 5100)
                monitor.recent()
                (1..300).forEach {
                    now = ClockReading(100 + it * 100L, 5100 + it * 100L)
                    monitor.recent()
                }
                monitor.recent() shouldBe null
            }
        }
    })
