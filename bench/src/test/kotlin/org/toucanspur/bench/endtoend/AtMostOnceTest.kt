package org.toucanspur.bench.endtoend

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.toucanspur.standin.ObjectApiFault

class AtMostOnceTest :
    DescribeSpec({
        val fixture = ClusterFixture()
        beforeSpec { fixture.start() }
        afterSpec { fixture.close() }

        fun executions(body: String): Int = fixture.services.sumOf {
            checkNotNull(it.service).runsOf("POST", "/bookings", body)
        }

        suspend fun book(entry: String, body: String, key: String?) =
            fixture.callers.service(entry, "POST", "slots/bookings", body, key)

        describe("a booking with a key") {
            it("runs once when it is submitted through both entries") {
                val first = book(fixture.entryOne, "one", "key-1")
                val second = book(fixture.entryTwo, "one", "key-1")
                first.status shouldBe 200
                second.body shouldBe first.body
                executions("one") shouldBe 1
            }
            it("is rejected when its key was used with another body") {
                book(fixture.entryTwo, "other", "key-1").status shouldBe 422
                executions("other") shouldBe 0
            }
            it(
                "is not dispatched while the object API is down, and runs once when it is repeated"
            ) {
                fixture.cluster.objectApi.fault = ObjectApiFault.DOWN
                val rejected = book(fixture.entryOne, "two", "key-2")
                fixture.cluster.objectApi.fault = ObjectApiFault.NONE
                rejected.status shouldBe 503
                rejected.body shouldContain "\"ran\":\"unknown\""
                executions("two") shouldBe 0
                book(fixture.entryTwo, "two", "key-2").status shouldBe 200
                executions("two") shouldBe 1
            }
            it("runs once when the response to the write of its claim is lost") {
                fixture.cluster.objectApi.fault = ObjectApiFault.LOSE_WRITE_RESPONSES
                val response = book(fixture.entryOne, "three", "key-3")
                fixture.cluster.objectApi.fault = ObjectApiFault.NONE
                response.status shouldBe 200
                executions("three") shouldBe 1
            }
            it("is reported as unknown and is not executed again after its agent restarts") {
                book(fixture.entryOne, "four", "key-4").status shouldBe 200
                fixture.services.forEach { agent ->
                    agent.node.close()
                    fixture.cluster.startAgent(agent)
                }
                fixture.awaitAllEndpoints()
                val repeated = book(fixture.entryTwo, "four", "key-4")
                repeated.status shouldBe 502
                repeated.body shouldContain "\"ran\":\"unknown\""
                executions("four") shouldBe 1
            }
        }
        describe("a booking without a key") {
            it("runs") {
                book(fixture.entryOne, "five", null).status shouldBe 200
                executions("five") shouldBe 1
            }
        }
        describe("a lookup") {
            it("needs neither a key nor the object API") {
                fixture.cluster.objectApi.fault = ObjectApiFault.DOWN
                val response = fixture.callers.service(fixture.entryOne, "GET", "slots/free?day=1")
                fixture.cluster.objectApi.fault = ObjectApiFault.NONE
                response.status shouldBe 200
            }
        }
    })
