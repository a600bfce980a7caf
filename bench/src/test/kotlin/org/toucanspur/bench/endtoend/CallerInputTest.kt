package org.toucanspur.bench.endtoend

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import java.net.Socket
import java.net.URI

private fun sendRaw(entry: String, request: String): String {
    val uri = URI(entry)
    return Socket(uri.host, uri.port).use { socket ->
        socket.soTimeout = 20_000
        socket.getOutputStream().write(request.replace("\n", "\r\n").encodeToByteArray())
        socket.getOutputStream().flush()
        socket.getInputStream().readBytes().decodeToString()
    }
}

private fun postRequest(
    path: String,
    body: String,
    headers: String = "Toucanspur-Organisation: acme"
): String =
    "POST $path HTTP/1.1\nHost: x\nConnection: close\n$headers\nContent-Length: ${body.length}\n\n$body"

class CallerInputTest :
    DescribeSpec({
        val fixture = ClusterFixture()
        beforeSpec { fixture.start() }
        afterSpec { fixture.close() }

        describe("an entry rejects invalid input with a problem document that names the remedy") {
            val chat = "/v1/chat/completions"
            val cases = listOf(
                "broken JSON" to (postRequest(chat, "{\"model\":") to "HTTP/1.1 400"),
                "a body that is not a JSON object" to (postRequest(chat, "[1]") to "HTTP/1.1 400"),
                "no messages" to (postRequest(chat, "{\"model\":\"writer\"}") to "HTTP/1.1 400"),
                "an unknown model" to
                    (postRequest(chat, "{\"model\":\"x\",\"messages\":[1]}") to "HTTP/1.1 404"),
                "an unknown organisation" to
                    (postRequest(chat, "{}", "Toucanspur-Organisation: evil") to "HTTP/1.1 403"),
                "no organisation" to (postRequest(chat, "{}", "X-A: b") to "HTTP/1.1 403"),
                "a body over the limit" to (
                    postRequest(
                        chat,
                        "x".repeat(70_000)
                    ) to "HTTP/1.1 413"
                    ),
                "an unknown service" to (postRequest("/services/none/x", "") to "HTTP/1.1 404"),
                "a path with parent segments" to (
                    postRequest(
                        "/services/slots/../../admin/load",
                        ""
                    ) to "HTTP/1.1 400"
                    ),
                "a path with encoded parent segments" to
                    (postRequest("/services/slots/%2e%2e/admin", "") to "HTTP/1.1 400"),
                "a key with spaces" to
                    (
                        postRequest(
                            "/services/slots/bookings",
                            "",
                            "Toucanspur-Organisation: acme\nIdempotency-Key: a b"
                        ) to
                            "HTTP/1.1 400"
                        ),
                "a deadline that is not a number" to
                    (
                        postRequest(
                            chat,
                            "{}",
                            "Toucanspur-Organisation: acme\nToucanspur-Deadline-Millis: soon"
                        ) to
                            "HTTP/1.1 400"
                        )
            )
            cases.forEach { (title, case) ->
                it("for $title") {
                    val response = sendRaw(fixture.entryOne, case.first)
                    response shouldStartWith case.second
                    response shouldContain "\"ran\":\"no\""
                    response shouldNotContain "Exception"
                }
            }
            it("and does not process a request smuggled in a body with two lengths") {
                val smuggled = "GET /smuggled HTTP/1.1\nHost: x\n\n"
                val request =
                    "POST $chat HTTP/1.1\nHost: x\nConnection: close\n" +
                        "Toucanspur-Organisation: acme\n" +
                        "Content-Length: ${smuggled.length}\n" +
                        "Transfer-Encoding: chunked\n\n0\n\n$smuggled"
                val response = sendRaw(fixture.entryOne, request)
                response.split("HTTP/1.1 ").size shouldBe 2
            }
        }
        describe("an entry") {
            it("lists the models of the configuration document") {
                sendRaw(
                    fixture.entryOne,
                    "GET /v1/models HTTP/1.1\nHost: x\nConnection: close\n\n"
                ) shouldContain
                    "\"id\":\"writer\""
            }
            it("relays a complete response that is not streamed") {
                val response = fixture.callers.chat(
                    fixture.entryOne,
                    "writer",
                    "hello",
                    5,
                    isStreamed = false
                )
                response.body shouldContain "chat.completion"
            }
        }
    })
