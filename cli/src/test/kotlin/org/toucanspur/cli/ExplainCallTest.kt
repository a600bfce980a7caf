package org.toucanspur.cli

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import com.sun.net.httpserver.HttpServer
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.net.InetSocketAddress
import java.net.ServerSocket
import kotlinx.serialization.json.Json
import org.toucanspur.core.gateway.CallExplanation
import org.toucanspur.core.gateway.EndpointExclusion
import org.toucanspur.core.gateway.ExplainedEndpoint
import org.toucanspur.core.gateway.ExplainedOutcome

private fun explanation(outcome: ExplainedOutcome) = CallExplanation(
    "entry-1",
    7,
    outcome,
    "route-1",
    "service-1",
    mapOf("service-1" to 1),
    "acme",
    0,
    endpoints = listOf(
        ExplainedEndpoint("e1", "z", false, EndpointExclusion.LOADING, null, true, null, 3, 8, 90),
        ExplainedEndpoint("e2", "z", true, null, 20.0, true, 21.0, 1, 8, 80)
    )
)

private fun explain(address: String, vararg arguments: String): CliktCommandTestResult =
    toucanspur().test(
        listOf("explain", "call", "api.example.com/v1/x", "--entry", address) + arguments
    )

/** An entry that gives [outcome] for every request, and keeps the requests. */
private class Entry(outcome: ExplainedOutcome) : AutoCloseable {
    val received = mutableListOf<String>()
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)
    val address get() = "127.0.0.1:${server.address.port}"

    init {
        server.createContext("/explain") { exchange ->
            received += "${exchange.requestURI.query} ${exchange.requestHeaders["Secret"]}"
            val body = Json.encodeToString(CallExplanation.serializer(), explanation(outcome))
            exchange.sendResponseHeaders(200, body.length.toLong())
            exchange.responseBody.use { it.write(body.encodeToByteArray()) }
        }
        server.start()
    }

    override fun close() = server.stop(0)
}

class ExplainCallTest :
    DescribeSpec({
        describe("explain call") {
            it("sends the request's headers and prints the endpoints, but no header") {
                Entry(ExplainedOutcome.SENT).use { entry ->
                    val result = explain(entry.address, "--header", "Secret: value-1")
                    result.statusCode shouldBe 0
                    entry.received.single() shouldContain "path=/v1/x"
                    entry.received.single() shouldContain "value-1"
                    result.stdout shouldContain "is sent to e2"
                    result.stdout shouldContain "loads weights"
                    result.output.contains("value-1") shouldBe false
                }
            }
            it("prints JSON") {
                Entry(ExplainedOutcome.SENT).use { entry ->
                    val printed = explain(entry.address, "--json").stdout.trim()
                    Json.decodeFromString<CallExplanation>(printed) shouldBe
                        explanation(ExplainedOutcome.SENT)
                }
            }
            // Guards against exit codes that scripts cannot tell apart.
            it("has an exit code for each reason why there is no explanation") {
                val codes = listOf(
                    ExplainedOutcome.ROUTE_UNKNOWN to 8,
                    ExplainedOutcome.KEY_UNKNOWN to 9,
                    ExplainedOutcome.NOT_READY to 10
                )
                codes.forEach { (outcome, code) ->
                    Entry(outcome).use { explain(it.address).statusCode shouldBe code }
                }
                val closed = ServerSocket(0).use { it.localPort }
                explain("127.0.0.1:$closed").statusCode shouldBe 11
                explain("no address").statusCode shouldBe 2
                explain("127.0.0.1:1", "--header", "Host: other").statusCode shouldBe 2
            }
        }
    })
