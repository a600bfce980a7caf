package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.ChannelOutboundBuffer
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpVersion

private object Listener : CallerConnectionListener {
    override val bodyMaxBytes = 1000
    override val isClosing = false

    override fun onRequest(connection: CallerConnection, request: BufferedRequest) = Unit

    override fun onResponseEnd(connection: CallerConnection) = Unit

    override fun onDisconnect(connection: CallerConnection) = Unit

    override fun onWritabilityChanged(connection: CallerConnection, isWritable: Boolean) = Unit

    override fun onConnect(connection: CallerConnection) = Unit

    override fun onInternalError(connection: CallerConnection, cause: Throwable) = Unit
}

/** A channel whose peer reads only while [isPeerReading]. */
private class SlowChannel(connection: CallerConnection) :
    EmbeddedChannel(HttpResponseEncoder(), connection) {
    var isPeerReading = false

    override fun doWrite(buffer: ChannelOutboundBuffer) {
        if (isPeerReading) super.doWrite(buffer)
    }
}

class CallerConnectionTest :
    DescribeSpec({
        describe("a connection whose peer reads slowly") {
            it("is drained only when the response has been written") {
                val connection = CallerConnection(Listener)
                val channel = SlowChannel(connection)
                connection.isDrained shouldBe true
                channel.writeInbound(
                    DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a/")
                )
                connection.isDrained shouldBe false
                connection.writeResponse(200, emptyList(), ByteArray(100))
                channel.runPendingTasks()
                connection.isIdle shouldBe true
                connection.isDrained shouldBe false
                channel.isPeerReading = true
                channel.flush()
                connection.isDrained shouldBe true
            }
        }
    })
