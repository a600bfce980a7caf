/*
 * One request sent to one endpoint on a connection of its own. A connection that is shared by no
 * other request cannot deliver another request's bytes, and one that has gone silent holds up only
 * this request.
 */
package org.toucanspur.daemon.gateway

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.net.InetSocketAddress
import org.toucanspur.daemon.net.NetLoop

/** What an exchange reports; after [onEnd] or [onFailure] nothing more comes. */
interface ExchangeListener {
    /** The head of the answer is there. */
    fun onHead(exchange: EndpointExchange, response: HttpResponse)

    /** Bytes of the body. */
    fun onBody(exchange: EndpointExchange, bytes: ByteArray)

    /** The answer is complete. */
    fun onEnd(exchange: EndpointExchange)

    /** The answer broke off; when not [wasSent], the endpoint has not seen the request. */
    fun onFailure(exchange: EndpointExchange, wasSent: Boolean, reason: String)
}

/** A request as it goes to an endpoint. */
class EndpointRequest(val address: InetSocketAddress, val head: HttpRequest, val body: ByteArray)

/** Sends one request and reports the answer to [listener]. */
class EndpointExchange(
    private val loop: NetLoop,
    private val request: EndpointRequest,
    private val listener: ExchangeListener
) {
    private var channel: Channel? = null
    private var wasSent = false
    private var isDone = false
    private var hasLength = false
    private var resetReason: String? = null

    /** Connects and sends. */
    fun start(connectTimeoutMillis: Int) {
        val future = loop.connect(request.address, connectTimeoutMillis) {
            it.pipeline().addLast(HttpClientCodec(), AnswerHandler())
        }
        channel = future.channel()
        future.addListener { if (it.isSuccess) send() else fail("not connected: ${it.cause()}") }
    }

    /** Breaks the exchange off; the endpoint sees its connection close. */
    fun cancel() {
        isDone = true
        channel?.close()
    }

    /** Stops or continues to read the answer. */
    fun setReading(isReading: Boolean) {
        channel?.config()?.isAutoRead = isReading
    }

    private fun send() {
        if (isDone) {
            channel?.close()
            return
        }
        val head = request.head
        val content = Unpooled.wrappedBuffer(request.body)
        val full = DefaultFullHttpRequest(
            head.protocolVersion(),
            head.method(),
            head.uri(),
            content,
            head.headers(),
            EMPTY_HEADERS
        )
        wasSent = true
        channel?.writeAndFlush(full)
    }

    private fun fail(reason: String) {
        if (isDone) return
        isDone = true
        channel?.close()
        listener.onFailure(this, wasSent, reason)
    }

    private fun complete() {
        if (isDone) return
        isDone = true
        channel?.close()
        listener.onEnd(this)
    }

    private inner class AnswerHandler : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            try {
                if (!isDone && message is HttpObject) onObject(message)
            } finally {
                ReferenceCountUtil.release(message)
            }
        }

        private fun onObject(message: HttpObject) {
            if (message.decoderResult().isFailure) {
                fail("malformed answer")
                return
            }
            if (message is HttpResponse) {
                if (message.status().code() < FIRST_FINAL_STATUS) return
                hasLength = HttpUtil.isTransferEncodingChunked(message) ||
                    message.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                listener.onHead(this@EndpointExchange, message)
            }
            if (isDone || message !is HttpContent) return
            val content = message.content()
            if (content.isReadable) {
                listener.onBody(this@EndpointExchange, ByteBufUtil.getBytes(content))
            }
            if (message is LastHttpContent) {
                // An answer without a length ends with its connection; after a reset it is not
                // known to be complete.
                val reason = resetReason
                if (reason != null && !hasLength) fail(reason) else complete()
            }
        }

        override fun channelInactive(context: ChannelHandlerContext) =
            fail(resetReason ?: "connection closed")

        @Deprecated("Deprecated in Java")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            resetReason = cause.toString()
            context.close()
        }
    }

    private companion object {
        const val FIRST_FINAL_STATUS = 200
        val EMPTY_HEADERS: HttpHeaders =
            DefaultHttpHeadersFactory.trailersFactory()
                .newEmptyHeaders()
    }
}
