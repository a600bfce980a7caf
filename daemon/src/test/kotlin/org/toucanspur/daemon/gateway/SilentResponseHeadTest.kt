package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import java.net.Socket

// Longer than a server takes to write a response head.
private const val HEAD_SILENT_MILLIS = 2000L

class SilentResponseHeadTest :
    DescribeSpec({
        val opened = ScriptedEndpoints()
        afterTest { opened.closeAll() }
        fun endpoint(script: (ReceivedRequest, Socket) -> Unit) = opened.open(script)

        // Guards against taking a silence within a head for a broken head.
        describe("a response head within which the endpoint is silent") {
            listOf("HTTP/1.1 20", "HTTP/1.1 200 OK\r\nSea", "HTTP/1.1 200 OK\r\n").forEach { part ->
                it("is relayed when the endpoint goes on after ${part.length} bytes") {
                    val whole = "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwhole"
                    val silent = endpoint { _, socket ->
                        socket.send(part)
                        Thread.sleep(HEAD_SILENT_MILLIS)
                        socket.send(whole.removePrefix(part))
                    }
                    TestGateway(listOf(silent.port)).call("/once/") shouldEndWith "whole"
                    silent.received.size shouldBe 1
                }
            }
        }
    })
