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

        fun runs(body: String): Int = fixture.services.sumOf {
            checkNotNull(it.service).runsOf("POST", "/bookings", body)
        }

        suspend fun book(entry: String, body: String, key: String?) =
            fixture.callers.service(entry, "POST", "slots/bookings", body, key)

        describe("a booking with a key") {
            it("runs once when it is sent through both entries") {
                val first = book(fixture.entryOne, "one", "key-1")
                val second = book(fixture.entryTwo, "one", "key-1")
                first.status shouldBe 200
                second.body shouldBe first.body
                runs("one") shouldBe 1
            }
            it("is refused when the key comes with another body") {
                book(fixture.entryTwo, "other", "key-1").status shouldBe 422
                runs("other") shouldBe 0
            }
            it("is not dispatched while the object API is down, and runs once afterwards") {
                fixture.cluster.objectApi.fault = ObjectApiFault.DOWN
                val refused = book(fixture.entryOne, "two", "key-2")
                fixture.cluster.objectApi.fault = ObjectApiFault.NONE
                refused.status shouldBe 503
                refused.body shouldContain "\"ran\":\"unknown\""
                runs("two") shouldBe 0
                book(fixture.entryTwo, "two", "key-2").status shouldBe 200
                runs("two") shouldBe 1
            }
            it("runs once when the answer to its claim is lost") {
                fixture.cluster.objectApi.fault = ObjectApiFault.LOSE_WRITE_RESPONSES
                val answer = book(fixture.entryOne, "three", "key-3")
                fixture.cluster.objectApi.fault = ObjectApiFault.NONE
                answer.status shouldBe 200
                runs("three") shouldBe 1
            }
            it("is called unknown, and not run again, when the agent that ran it is gone") {
                book(fixture.entryOne, "four", "key-4").status shouldBe 200
                fixture.services.forEach { agent ->
                    agent.node.close()
                    fixture.cluster.startAgent(agent)
                }
                fixture.awaitAllEndpoints()
                val repeated = book(fixture.entryTwo, "four", "key-4")
                repeated.status shouldBe 502
                repeated.body shouldContain "\"ran\":\"unknown\""
                runs("four") shouldBe 1
            }
        }
        describe("a booking without a key") {
            it("is dispatched") {
                book(fixture.entryOne, "five", null).status shouldBe 200
                runs("five") shouldBe 1
            }
        }
        describe("a lookup") {
            it("needs no key and the object API") {
                fixture.cluster.objectApi.fault = ObjectApiFault.DOWN
                val answer = fixture.callers.service(fixture.entryOne, "GET", "slots/free?day=1")
                fixture.cluster.objectApi.fault = ObjectApiFault.NONE
                answer.status shouldBe 200
            }
        }
    })
