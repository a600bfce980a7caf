package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.ClockPair
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.core.platform.ObjectChange
import org.toucanspur.core.platform.StoredObject

private fun stored(version: Long, revision: Long) =
    StoredObject("m", revision, """{"model":"m","version":$version}""")

private fun JsonObject?.long(field: String): Long? = this?.get(field)?.jsonPrimitive?.long

private class Fixture {
    val captured = LogCapture()
    var now = ClockReading(0, 50_000)
    private val clocks = ClockPair { now }
    val pauses = PauseMonitor(clocks, captured.log)
    val listener =
        WeightVersionListener(captured.log, clocks, pauses, ListingAgeTracker()) { _, _, _ -> }

    private val unseenSince = ClockReading(0, 0)

    fun change(version: Long, revision: Long) = listener.onChanges(
        listOf(ObjectChange(stored(version, revision), isRemoved = false)),
        unseenSince
    )

    fun list(version: Long, revision: Long) =
        listener.onListing(listOf(stored(version, revision)), unseenSince)

    fun nextVersionEvent() = captured.next(EventCode.VERSION_NAMED)
}

class WeightVersionListenerTest :
    DescribeSpec({
        describe("the event of a target version") {
            it("states the revision and the time since the watch was last up to date") {
                val fixture = Fixture()
                fixture.list(version = 1, revision = 7)
                fixture.listener.onUpToDate(1, fixture.now, null)
                fixture.now = ClockReading(200, 50_200)
                fixture.change(version = 2, revision = 9)
                fixture.nextVersionEvent().long("upToDateAgoMillis") shouldBe -1
                val event = fixture.nextVersionEvent()
                event.long("version") shouldBe 2
                event.long("revision") shouldBe 9
                event.long("upToDateAgoMillis") shouldBe 200
                event.long("pauseMillis") shouldBe null
            }
            it("states the previous version, which shows a version that no listing contained") {
                val fixture = Fixture()
                fixture.change(version = 2, revision = 9)
                fixture.list(version = 4, revision = 12)
                fixture.nextVersionEvent().long("previousVersion") shouldBe 0
                fixture.nextVersionEvent().long("previousVersion") shouldBe 2
            }
            it("states a suspension that ended with the message that reports the version") {
                val fixture = Fixture()
                fixture.pauses.recent()
                fixture.listener.onUpToDate(1, fixture.now, null)
                fixture.now = ClockReading(50, 56_050)
                fixture.change(version = 2, revision = 9)
                val event = fixture.nextVersionEvent()
                event.long("upToDateAgoMillis") shouldBe 6050
                event.long("pauseMillis") shouldBe 6050
                event.long("pauseAgoMillis") shouldBe 0
            }
        }
    })
