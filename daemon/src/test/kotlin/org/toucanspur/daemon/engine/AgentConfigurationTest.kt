package org.toucanspur.daemon.engine

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.test.runTest
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.core.platform.FeedFailure
import org.toucanspur.core.platform.ObjectChange
import org.toucanspur.core.platform.ObjectChanges
import org.toucanspur.core.platform.ObjectFeed
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.core.platform.ObjectListing
import org.toucanspur.core.platform.StoredObject
import org.toucanspur.core.platform.WatchCall

/** A store with one configuration, whose revision is its version. */
private class ConfigurationFeed : ObjectFeed {
    val calls = mutableListOf<String>()
    var version = 1L
    var era = 1L
    var content: (Long) -> String = { """{"version":$it}""" }
    var failure: FeedFailure? = null
    var hasTooManyChanges = false

    private val stored get() = StoredObject("main", version, content(version))

    override suspend fun list(
        kind: ObjectKind,
        isStaleAllowed: Boolean
    ): Result<ObjectListing, FeedFailure> {
        calls += "list"
        failure?.let { return Err(it) }
        return Ok(ObjectListing(listOf(stored), version, era))
    }

    override suspend fun watch(call: WatchCall): Result<ObjectChanges, FeedFailure> {
        calls += "watch ${call.afterRevision}"
        failure?.let { return Err(it) }
        if (hasTooManyChanges) return Err(FeedFailure.TooManyChanges)
        val changes = if (version > call.afterRevision) {
            listOf(ObjectChange(stored, isRemoved = false))
        } else {
            emptyList()
        }
        return Ok(ObjectChanges(changes, version, era = era))
    }
}

class AgentConfigurationTest :
    DescribeSpec({
        class Fixture {
            val feed = ConfigurationFeed()
            var nowMillis = 0L
            val problems = mutableListOf<String>()
            val configuration = AgentConfiguration(
                feed,
                { ClockReading(nowMillis, nowMillis) },
                { problems += "unavailable: $it" },
                { problems += "rejected: $it" }
            )

            suspend fun versionAfter(elapsedMillis: Long, maxAgeMillis: Long): Long? {
                nowMillis += elapsedMillis
                configuration.refresh(maxAgeMillis)
                return configuration.current?.version
            }
        }
        // Guards against filling the link of a region with versions that agents do not use.
        describe("the configuration of an agent") {
            it("is not read again while it is as recent as needed") {
                runTest {
                    val fixture = Fixture()
                    fixture.versionAfter(0, maxAgeMillis = 5000) shouldBe 1
                    fixture.feed.version = 2
                    fixture.versionAfter(4000, maxAgeMillis = 5000) shouldBe 1
                    fixture.feed.calls shouldBe listOf("list")
                    fixture.versionAfter(2000, maxAgeMillis = 5000) shouldBe 2
                    fixture.feed.calls shouldBe listOf("list", "watch 1")
                }
            }
            it("is listed when there are many changes, and after a change of the era") {
                runTest {
                    val fixture = Fixture()
                    fixture.versionAfter(0, maxAgeMillis = 0) shouldBe 1
                    fixture.feed.version = 9
                    fixture.feed.hasTooManyChanges = true
                    fixture.versionAfter(1, maxAgeMillis = 0) shouldBe 9
                    fixture.feed.hasTooManyChanges = false
                    fixture.feed.era = 2
                    fixture.feed.version = 10
                    fixture.versionAfter(1, maxAgeMillis = 0) shouldBe 10
                    fixture.feed.calls shouldBe
                        listOf("list", "watch 1", "list", "watch 9", "list")
                }
            }
            it("stays as it is while the store does not respond, and is read after that") {
                runTest {
                    val fixture = Fixture()
                    fixture.versionAfter(0, maxAgeMillis = 0) shouldBe 1
                    fixture.feed.version = 2
                    fixture.feed.failure = FeedFailure.Unavailable("down")
                    fixture.versionAfter(1, maxAgeMillis = 0) shouldBe 1
                    fixture.problems shouldBe listOf("unavailable: down")
                    fixture.feed.failure = null
                    fixture.versionAfter(1, maxAgeMillis = 0) shouldBe 2
                }
            }
            it("stays as it is when a version cannot be decoded") {
                runTest {
                    val fixture = Fixture()
                    fixture.versionAfter(0, maxAgeMillis = 0) shouldBe 1
                    fixture.feed.version = 2
                    fixture.feed.content = { "[]" }
                    fixture.versionAfter(1, maxAgeMillis = 0) shouldBe 1
                    fixture.problems shouldBe
                        listOf("rejected: configuration is not a JSON object")
                }
            }
        }
    })
