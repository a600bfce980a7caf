package org.toucanspur.daemon.agent

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.io.IOException
import java.net.Socket
import kotlin.time.Duration.Companion.seconds
import org.toucanspur.daemon.gateway.ReceivedRequest
import org.toucanspur.daemon.gateway.ScriptedEndpoint
import org.toucanspur.daemon.gateway.send
import org.toucanspur.schema.FencingNumber
import org.toucanspur.schema.ReleaseDigest

private const val ENDLESS_HEAD = "HTTP/1.1 200 OK\r\n\r\n"
private const val TRICKLE_MILLIS = 20L

private fun Socket.sendEndlessBody(bytes: String, pauseMillis: Long) = try {
    send(ENDLESS_HEAD)
    while (true) {
        send(bytes)
        Thread.sleep(pauseMillis)
    }
} catch (_: IOException) {
    // The client has closed the connection.
}

class EndpointClientTest :
    DescribeSpec({
        val openEndpoints = mutableListOf<ScriptedEndpoint>()
        afterTest {
            openEndpoints.forEach { it.close() }
            openEndpoints.clear()
        }
        fun client(script: (ReceivedRequest, Socket) -> Unit): EndpointClient {
            val endpoint = ScriptedEndpoint(script).also { openEndpoints += it }
            return EndpointClient("http://127.0.0.1:${endpoint.port}")
        }
        describe("a body without end") {
            it("does not make an endpoint healthy").config(timeout = 10.seconds) {
                client { _, socket -> socket.sendEndlessBody("~", TRICKLE_MILLIS) }
                    .isHealthy() shouldBe false
            }
            it("is no engine status when it arrives slowly").config(timeout = 10.seconds) {
                val client = client { _, socket -> socket.sendEndlessBody(" ", TRICKLE_MILLIS) }
                shouldThrow<IOException> { client.status() }
            }
            it("is no engine status when it arrives fast").config(timeout = 10.seconds) {
                val client = client { _, socket -> socket.sendEndlessBody(" ".repeat(1000), 0) }
                shouldThrow<IOException> { client.status() }
            }
            it("does not confirm a load").config(timeout = 10.seconds) {
                val client = client { _, socket -> socket.sendEndlessBody("~", TRICKLE_MILLIS) }
                val request = EngineLoadRequest(ReleaseDigest("r"), FencingNumber(1), "http://s")
                shouldThrow<IOException> { client.load(request, 500) }
            }
        }
    })
