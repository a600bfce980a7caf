package org.toucanspur.daemon.net

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.toucanspur.core.platform.HttpCall
import org.toucanspur.core.platform.HttpFailure
import org.toucanspur.core.platform.HttpReply

/** The result of a call to a server that sends [reply] and closes the connection. */
private fun callFor(reply: String): Result<HttpReply, HttpFailure> =
    ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")).use { server ->
        thread(isDaemon = true) {
            try {
                server.accept().use { socket ->
                    socket.getInputStream().bufferedReader().lineSequence().takeWhile {
                        it.isNotEmpty()
                    }.count()
                    socket.getOutputStream().write(reply.encodeToByteArray())
                }
            } catch (_: IOException) {
                // The client has closed the connection.
            }
        }
        val loop = NettyEventLoop()
        val call = HttpCall(
            "127.0.0.1:${server.localPort}",
            "GET",
            "/",
            timeoutMillis = CALL_MILLIS
        )
        runBlocking { loop.scope.async { NettyHttpClient(loop).call(call) }.await() }
    }

private const val CALL_MILLIS = 10_000L

// Guards against taking an invalid response of the store, the origin or the engine as a response.
class InvalidReplyTest :
    DescribeSpec({
        describe("a reply with an invalid status") {
            listOf("000", "20", "2000", "0200", "+200", "099", "600", "999", "OK", "").forEach {
                it("is a failure: \"$it\"") {
                    val result = callFor("HTTP/1.1 $it Text\r\nContent-Length: 2\r\n\r\n{}")
                    result.get() shouldBe null
                    result.getError().shouldBeInstanceOf<HttpFailure.NoResponse>()
                }
            }
        }
        describe("an informational reply that ends") {
            listOf("100 Continue", "103 Early Hints").forEach {
                it("is a failure: $it") {
                    callFor("HTTP/1.1 $it\r\n\r\n").get() shouldBe null
                }
            }
        }
        describe("a valid reply") {
            it("is returned after an informational one") {
                val informational = "HTTP/1.1 103 Hints\r\n\r\n"
                val final = "HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n"
                callFor(informational + final).get()?.status shouldBe 404
            }
        }
    })
