/*
 * Fails a connection whose peer sends bytes but no response head. The codec bounds each line and
 * the headers, but skips control characters before the status line and interim responses without
 * end.
 */
package org.toucanspur.daemon.net

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.LastHttpContent
import java.net.ProtocolException
import org.toucanspur.core.gateway.ActiveTime
import org.toucanspur.daemon.monotonicMillis

/** Adds the handlers that decode the final responses of an HTTP connection. */
fun ChannelPipeline.addResponseDecoder() {
    val limiter = ResponseHeadLimiter()
    val decoder = StrictResponseDecoder()
    addLast(limiter, decoder, HttpRequestEncoder(), decoder.methodRecorder)
    addLast(limiter.observer, InterimResponseFilter())
}

/**
 * Rejects a response whose status is not of three digits from 100 to 599. The decoder of the
 * library accepts any number.
 */
private class StrictResponseDecoder : HttpResponseDecoder() {
    // Methods of the requests that have no final response yet.
    private val methods = ArrayDeque<HttpMethod>()

    /** Records the requests, because a response to HEAD has no body. */
    val methodRecorder = object : ChannelOutboundHandlerAdapter() {
        override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
            if (message is HttpRequest) methods.addLast(message.method())
            super.write(context, message, promise)
        }
    }

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        require(STATUS.matches(initialLine[1])) {
            "invalid status ${initialLine[1].take(MAX_SHOWN)}"
        }
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        val status = (message as HttpResponse).status()
        if (status.codeClass() == HttpStatusClass.INFORMATIONAL) {
            return super.isContentAlwaysEmpty(message)
        }
        return methods.removeFirstOrNull() == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)
    }

    private companion object {
        val STATUS = Regex("[1-5][0-9]{2}")
        const val MAX_SHOWN = 16
    }
}

/** Limits the bytes of a response up to the end of its head, and the time in which they arrive. */
private class ResponseHeadLimiter : ChannelInboundHandlerAdapter() {
    private var isHeadPending = true
    private var headBytes = 0
    private var hasEnded = false
    private val activeTime = ActiveTime(SILENCE_MAX_MILLIS)

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val readBytes = (message as ByteBuf).readableBytes()
        hasEnded = false
        context.fireChannelRead(message)
        // The bytes that end a response are not part of the head of the next one.
        if (hasEnded || !isHeadPending || !context.channel().isActive) return
        headBytes += readBytes
        if (headBytes > HEAD_MAX_BYTES) {
            fail(context, "response head exceeds $HEAD_MAX_BYTES bytes")
            return
        }
        activeTime.onArrival(monotonicMillis())
        if (activeTime.millis > HEAD_ACTIVE_MILLIS) fail(context, "response head is incomplete")
    }

    private fun fail(context: ChannelHandlerContext, reason: String) {
        context.fireExceptionCaught(ProtocolException(reason))
    }

    /** Observes the decoded responses. */
    val observer = object : ChannelInboundHandlerAdapter() {
        private var isInterim = false

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is HttpResponse) onHead(message)
            if (message is HttpContent && message is LastHttpContent && !isInterim) {
                isHeadPending = true
                headBytes = 0
                hasEnded = true
            }
            context.fireChannelRead(message)
        }

        private fun onHead(response: HttpResponse) {
            activeTime.reset()
            isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
            isHeadPending = isInterim
        }
    }

    private companion object {
        // The codec accepts a status line and headers of 12 KiB; the rest is for interim responses.
        const val HEAD_MAX_BYTES = 16 * 1024

        // Servers write a head at once; a second suffices for its retransmission.
        const val HEAD_ACTIVE_MILLIS = 1000L

        // A server may be silent within a head for as long as its caller waits.
        const val SILENCE_MAX_MILLIS = 100L
    }
}
