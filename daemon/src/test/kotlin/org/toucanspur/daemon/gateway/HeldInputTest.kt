package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.string.shouldStartWith
import java.util.concurrent.CompletableFuture

private const val HOLD_MILLIS = 60_000L
private const val SHORT_HOLD_MILLIS = 50L
private const val ARRIVAL_MILLIS = 500L

class HeldInputTest :
    DescribeSpec({
        val opened = ScriptedEndpoints()
        afterTest { opened.closeAll() }

        fun staleGateway() = TestGateway(
            listOf(opened.open { request, socket -> socket.respond(request, "fine") }.port),
            isFresh = false
        )

        // Guards against refusing all requests with a key that arrived while an entry was stopped.
        describe("a request that arrives while input is held") {
            it("is decided by the configuration that is confirmed meanwhile") {
                val gateway = staleGateway()
                gateway.call("/once/") shouldStartWith "HTTP/1.1 503"
                gateway.holdInput(HOLD_MILLIS)
                val response = CompletableFuture.supplyAsync { gateway.call("/once/") }
                Thread.sleep(ARRIVAL_MILLIS)
                gateway.confirmConfiguration()
                response.get() shouldStartWith "HTTP/1.1 200"
            }
            it("is refused once the hold ends without a confirmation") {
                val gateway = staleGateway()
                gateway.holdInput(SHORT_HOLD_MILLIS)
                gateway.call("/once/") shouldStartWith "HTTP/1.1 503"
            }
        }
    })
