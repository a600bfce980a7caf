package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.LoadReport

private fun isAwaitingLoad(
    report: LoadReport,
    versionMin: Long = 0,
    tried: Set<EndpointId> = emptySet()
): Boolean {
    val fleet = Fleet()
    fleet.put(record("e0"), 0)
    fleet.find(EndpointId("e0"))!!.onReport(report, 0)
    val query = PlacementQuery(service(), 100, null, emptySet(), tried, versionMin)
    return fleet.isAwaitingLoad(query, 100)
}

class LoadWaitTest :
    DescribeSpec({
        // Guards against refusing everything within seconds while all engines load a new version.
        describe("a request whose engine takes no requests") {
            it("awaits a load in progress") {
                isAwaitingLoad(report(0, isLoading = true)) shouldBe true
            }
            // Guards against requests that are held while the origin of the weights is down.
            it("awaits no load that has not begun") {
                isAwaitingLoad(report(3, version = 1), versionMin = 2) shouldBe false
            }
            it("awaits none where the engine has the version, is down or had the request") {
                isAwaitingLoad(report(3, version = 2), versionMin = 2) shouldBe false
                isAwaitingLoad(report(0, isLoading = true).copy(isResponding = false)) shouldBe
                    false
                isAwaitingLoad(
                    report(0, isLoading = true),
                    tried = setOf(EndpointId("e0"))
                ) shouldBe
                    false
            }
            it("waits as long as the response can still be complete in time") {
                loadWaitMillis(6000, engine) shouldBe 2000
                loadWaitMillis(2000, engine) shouldBeInRange 1L..1999L
                loadWaitMillis(500, engine) shouldBe 0
            }
        }
    })
