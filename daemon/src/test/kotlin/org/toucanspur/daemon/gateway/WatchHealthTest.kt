package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.core.gateway.StoreFreshness
import org.toucanspur.core.platform.ObjectChange
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.core.platform.StoredObject

private object NoListener : ObjectWatchListener {
    override fun onListing(objects: List<StoredObject>, unseenSince: ClockReading) = Unit

    override fun onChanges(changes: List<ObjectChange>, unseenSince: ClockReading) = Unit
}

class WatchHealthTest :
    DescribeSpec({
        describe("an entry whose watch has failed") {
            it("follows again when that watch is up to date") {
                val health = WatchHealth(StoreFreshness(emptyMap()))
                health.areAllFollowing shouldBe true
                health.onFailed(ObjectKind.ENDPOINTS)
                health.observe(
                    ObjectKind.EVACUATIONS,
                    NoListener
                ).onUpToDate(1, ClockReading(1, 1), null)
                health.areAllFollowing shouldBe false
                health.observe(
                    ObjectKind.ENDPOINTS,
                    NoListener
                ).onUpToDate(1, ClockReading(1, 1), null)
                health.areAllFollowing shouldBe true
            }
        }
    })
