package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

class UsageCountTest :
    DescribeSpec({
        describe("the usage of an organisation") {
            it("counts a stream once that breaks off and is resumed at another endpoint") {
                val broken = ScriptedEndpoint { request, socket ->
                    socket.respondWithEvents(request, listOf("id: 1\ndata: a\n\n"), false)
                }
                val sound = ScriptedEndpoint { request, socket ->
                    socket.respondWithEvents(request, listOf("id: 2\ndata: b\n\n"), true)
                }
                val gateway = TestGateway(listOf(broken.port, sound.port))
                repeat(6) { gateway.call("/stream/") }
                gateway.usageCount shouldBe 6
            }
            it("counts any other request at its response") {
                val endpoint = ScriptedEndpoint { request, socket -> socket.respond(request, "a") }
                val gateway = TestGateway(listOf(endpoint.port))
                repeat(3) { gateway.call("/once/") shouldContain "200" }
                gateway.usageCount shouldBe 3
            }
            it("does not count a request that no endpoint ran") {
                val endpoint = ScriptedEndpoint { request, socket ->
                    socket.respond(request, "", "503 Full", "Not-Run: 1\r\n")
                }
                val gateway = TestGateway(listOf(endpoint.port), targetMillis = 300)
                gateway.call("/once/") shouldContain "503"
                gateway.usageCount shouldBe 0
            }
            it("does not count a request without an organisation") {
                val endpoint = ScriptedEndpoint { request, socket -> socket.respond(request, "a") }
                val gateway = TestGateway(listOf(endpoint.port))
                gateway.call("/open/", key = null) shouldContain "200"
                gateway.usageCount shouldBe 0
            }
        }
        describe("the demand of a service") {
            it("includes requests that were refused") {
                val gateway = TestGateway(emptyList(), targetMillis = 300)
                gateway.call("/once/") shouldContain "503"
                gateway.demand().costMillisPerSecond shouldBeGreaterThan 0
                gateway.demand().refusedCostMillisPerSecond shouldBe
                    gateway.demand().costMillisPerSecond
            }
        }
    })
