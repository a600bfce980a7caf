package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.net.Socket
import java.util.concurrent.atomic.AtomicReference

private const val CALLS = 60

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
            xit("gets no more than that from first sends, others get the rest") {
                val limited = LimitedEndpoint()
                val free = ScriptedEndpoint { request, socket -> socket.respond(request, "fine") }
                val gateway = TestGateway(listOf(limited.port, free.port))
                gateway.callOften().forEach { it shouldContain "fine" }
                limited.receivedCount shouldBeLessThanOrEqual ALLOWED
            }
            xit("is not sent more than that if there is no other, and the rest is refused at once") {
                val limited = LimitedEndpoint()
                val responses = TestGateway(listOf(limited.port)).callOften()
                limited.receivedCount shouldBeLessThanOrEqual ALLOWED
                val refused = responses.filter { "503" in it }
                refused.size shouldBe CALLS - limited.receivedCount
                refused.forEach { it shouldContain "Retry-After" }
            }
        }
    })
