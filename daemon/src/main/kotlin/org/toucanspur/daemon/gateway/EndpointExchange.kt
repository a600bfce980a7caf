/*
 * Sends one request to one endpoint on a dedicated connection. A connection that is not reused
 * cannot deliver bytes of another request's response, and a connection that stalls delays only one
 * request.
 */
package org.toucanspur.daemon.gateway

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.net.ConnectException
import java.net.InetSocketAddress
import org.toucanspur.daemon.net.NettyEventLoop
import org.toucanspur.daemon.net.addResponseDecoder

/** Callbacks of an exchange; [onEnd] or [onFailure] is the last one. */
interface ExchangeListener {
    /** Called when the response head has been received. */
    fun onHead(exchange: EndpointExchange, response: HttpResponse)

    /** Called for each part of the response body. */
    fun onBody(exchange: EndpointExchange, bytes: ByteArray)

    /** Called when the response is complete. */
    fun onEnd(exchange: EndpointExchange)

    /** Called when the exchange fails. */
    fun onFailure(exchange: EndpointExchange, stage: FailureStage, reason: String)
}

/** Passes the calls to [listener] on, and those that fail to [onError]. */
class GuardedExchangeListener(
    private val listener: ExchangeListener,
    private val onError: (Throwable) -> Unit
) : ExchangeListener {
    override fun onHead(exchange: EndpointExchange, response: HttpResponse) =
        guarded { listener.onHead(exchange, response) }

    override fun onBody(exchange: EndpointExchange, bytes: ByteArray) =
        guarded { listener.onBody(exchange, bytes) }

    override fun onEnd(exchange: EndpointExchange) = guarded { listener.onEnd(exchange) }

    override fun onFailure(exchange: EndpointExchange, stage: FailureStage, reason: String) =
        guarded { listener.onFailure(exchange, stage, reason) }

    private inline fun guarded(action: () -> Unit) {
        runCatching(action).onFailure(onError)
    }
}

/** How far an exchange came before it failed. */
enum class FailureStage {
    /** Nothing listens at the address. */
    REFUSED,

    /** No connection was established in time; the endpoint did not get the request. */
    UNCONNECTED,

    /** The endpoint may have received the request. */
    SENT
}

/** A request as sent to an endpoint. */
class EndpointRequest(val address: InetSocketAddress, val head: HttpRequest, val body: ByteArray)

/** Sends one request and reports the response to [listener]. */
class EndpointExchange(
    private val loop: NettyEventLoop,
    private val request: EndpointRequest,
    private val listener: ExchangeListener
) {
    /** Whether the end of the response is known without the close of the connection. */
    var hasLength = false
        private set

    private var channel: Channel? = null
    private var wasSent = false
    private var isRefused = false
    private var isDone = false
    private var resetReason: String? = null

    /** Connects to the endpoint and sends the request. */
    fun start(connectTimeoutMillis: Int) {
        val future = loop.connect(request.address, connectTimeoutMillis) {
            it.pipeline().addResponseDecoder()
            it.pipeline().addLast(ResponseHandler())
        }
        channel = future.channel()
        future.addListener {
            if (it.isSuccess) {
                send()
            } else {
                isRefused = it.cause() is ConnectException && it.cause() !is ConnectTimeoutException
                fail("not connected: ${it.cause()}")
            }
        }
    }

    /**
     * Cancels the exchange by resetting the connection. Unlike an orderly close, a reset also
     * discards the request if the endpoint has not read it yet.
     */
    fun cancel() {
        isDone = true
        val open = channel?.takeIf { it.isOpen } ?: return
        open.config().setOption(ChannelOption.SO_LINGER, 0)
        open.close()
    }

    /** Pauses or resumes reading of the response. */
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
        // A write that fails closes the channel without an exception in the pipeline.
        channel?.writeAndFlush(full)?.addListener {
            if (!it.isSuccess && resetReason == null) resetReason = it.cause().toString()
        }
    }

    private fun fail(reason: String) {
        if (isDone) return
        isDone = true
        channel?.close()
        val stage = when {
            wasSent -> FailureStage.SENT
            isRefused -> FailureStage.REFUSED
            else -> FailureStage.UNCONNECTED
        }
        listener.onFailure(this, stage, reason)
    }

    private fun complete() {
        if (isDone) return
        isDone = true
        channel?.close()
        listener.onEnd(this)
    }

    private inner class ResponseHandler : ChannelInboundHandlerAdapter() {
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
                // A response without a length is delimited by the close of the connection; after a
                // reset it may be incomplete.
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
        val EMPTY_HEADERS: HttpHeaders =
            DefaultHttpHeadersFactory.trailersFactory()
                .newEmptyHeaders()
    }
}
