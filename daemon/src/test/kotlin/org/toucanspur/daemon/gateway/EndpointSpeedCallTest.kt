package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.string.shouldContain
import kotlinx.serialization.json.jsonPrimitive
import org.toucanspur.core.events.EventCode

private const val CALLS = 80

class EndpointSpeedCallTest :
    DescribeSpec({
        val opened = ScriptedEndpoints()
        afterTest { opened.closeAll() }

        fun endpoint(millis: Long) = opened.open { request, socket ->
            Thread.sleep(millis)
            socket.respond(request, "fine")
        }

        // Guards against attempts that are not measured: all endpoints would get the same share.
        describe("an endpoint that is much slower than the others") {
            it("gets few requests, and the change is logged") {
                val slow = endpoint(500)
                val gateway = TestGateway(listOf(slow.port) + List(3) { endpoint(40).port })
                repeat(CALLS) { gateway.call("/idempotent/") shouldContain "fine" }
                slow.received.size shouldBeLessThan CALLS / 8
                // On a busy machine, other endpoints may be slow for a moment as well.
                generateSequence { gateway.events.next(EventCode.ENDPOINT_SPEED_CHANGED) }
                    .firstOrNull { it.getValue("endpoint").jsonPrimitive.content == "e0" }
                    .shouldNotBeNull()
            }
        }
    })
