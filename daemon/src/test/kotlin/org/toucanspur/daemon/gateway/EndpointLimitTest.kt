package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.net.Socket
import java.util.concurrent.atomic.AtomicReference
import org.toucanspur.core.events.EventCode

private const val CALLS = 60
private const val LOST_STREAMS = 25

/** What an endpoint with a limit of two a second may get within four seconds at most. */
private const val ALLOWED = 17

/** An endpoint that names [limit] in each response, unless it is null. */
private class LimitedEndpoint(
    private val respond: (ReceivedRequest, Socket, String) -> Unit = { request, socket, limit ->
        socket.respond(request, "fine", headers = "Seal: s\r\n$limit")
    }
) {
    val limit = AtomicReference<String?>("2.0")
    val endpoint = ScriptedEndpoint { request, socket ->
        respond(request, socket, limit.get()?.let { "Limit: $it\r\n" }.orEmpty())
    }
    val port: Int get() = endpoint.port
    val receivedCount: Int get() = endpoint.received.size
}

class EndpointLimitTest :
    DescribeSpec({
        fun TestGateway.callOften(path: String = "/once/") = List(CALLS) { call(path) }

        describe("an endpoint that names a limit") {
            it("gets no more than that from first sends, others get the rest") {
                val limited = LimitedEndpoint()
                val free = ScriptedEndpoint { request, socket -> socket.respond(request, "fine") }
                val gateway = TestGateway(listOf(limited.port, free.port))
                gateway.callOften().forEach { it shouldContain "fine" }
                limited.receivedCount shouldBeLessThanOrEqual ALLOWED
            }
            it("is not sent more than that if there is no other, and the rest is refused at once") {
                val limited = LimitedEndpoint()
                val responses = TestGateway(listOf(limited.port), targetMillis = 300).callOften()
                limited.receivedCount shouldBeLessThanOrEqual ALLOWED
                val refused = responses.filter { "503" in it }
                refused.size shouldBe CALLS - limited.receivedCount
                refused.forEach { it shouldContain "Retry-After" }
            }
            it("gets no more than that when it names the limit in refusals") {
                val limited = LimitedEndpoint { request, socket, limit ->
                    socket.respond(request, "", "503 Full", "Not-Run: 1\r\n$limit")
                }
                TestGateway(listOf(limited.port), targetMillis = 300).callOften()
                limited.receivedCount shouldBeLessThanOrEqual ALLOWED
            }
            it("gets no more than that from retries") {
                val limited = LimitedEndpoint()
                val broken = ScriptedEndpoint { _, _ -> }
                val gateway = TestGateway(listOf(limited.port, broken.port), targetMillis = 300)
                gateway.callOften("/idempotent/")
                limited.receivedCount shouldBeLessThanOrEqual ALLOWED
            }
            it("gets no more than that from resumed streams") {
                val limited = LimitedEndpoint { request, socket, limit ->
                    socket.respond(request, "id: 3\ndata: c\n\n", headers = "Seal: s\r\n$limit")
                }
                val broken = ScriptedEndpoint { request, socket ->
                    val events = listOf("id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n")
                    socket.respondWithEvents(request, events, isComplete = false)
                }
                val gateway = TestGateway(listOf(limited.port, broken.port), targetMillis = 300)
                repeat(LOST_STREAMS) { gateway.call("/stream/") }
                limited.receivedCount shouldBeLessThanOrEqual ALLOWED
            }
            it("gets all requests again when a response names no limit any more") {
                val limited = LimitedEndpoint()
                val gateway = TestGateway(listOf(limited.port))
                gateway.call("/once/") shouldContain "fine"
                gateway.events.next(EventCode.ENDPOINT_LIMITED).shouldNotBeNull()
                limited.limit.set(null)
                gateway.call("/once/") shouldContain "fine"
                gateway.callOften().forEach { it shouldContain "fine" }
            }
            it("gets all requests again after a restart") {
                val limited = LimitedEndpoint()
                val gateway = TestGateway(listOf(limited.port))
                gateway.call("/once/") shouldContain "fine"
                limited.limit.set(null)
                gateway.onRestart(limited.port)
                gateway.callOften().forEach { it shouldContain "fine" }
            }
        }
    })
