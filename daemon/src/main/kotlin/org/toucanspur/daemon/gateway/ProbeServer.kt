/*
 * HTTP server for probes and metrics. Its port can be reached by anyone, so the body of a request
 * is discarded, one request at a time is decoded, and the number and the time of connections are
 * limited.
 */
package org.toucanspur.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.net.InetSocketAddress
import org.toucanspur.daemon.net.ConnectionLimit
import org.toucanspur.daemon.net.HeaderFieldLimit
import org.toucanspur.daemon.net.NettyEventLoop
import org.toucanspur.schema.LimitsSection

/** Answer to a request with a query. */
class ProbeAnswer(val status: Int, val text: String)

/**
 * Serves [pages] and the answers of [queries] by path, and a readiness probe at [path]: 200 if
 * [isReady], otherwise 503.
 */
class ProbeServer(
    private val loop: NettyEventLoop,
    private val limits: LimitsSection,
    private val pages: Map<String, () -> String>,
    private val path: String = "",
    private val isReady: () -> Boolean = { true },
    private val queries: Map<String, (HttpRequest) -> ProbeAnswer> = emptyMap()
) {
    private val connections = ConnectionLimit(loop, limits.probeConnections, SILENCE_MAX_MILLIS)

    /** Starts listening on [address]. */
    fun start(address: InetSocketAddress) {
        loop.listen(address) {
            val handler = Handler()
            it.pipeline().addLast(
                connections.handler(),
                Decoder(handler, HeaderFieldLimit(limits.headerFields)),
                HttpResponseEncoder(),
                handler
            )
        }.sync()
    }

    /** Decodes one request at a time. */
    private class Decoder(private val handler: Handler, fields: HeaderFieldLimit) :
        HttpRequestDecoder(
            HttpDecoderConfig().setHeadersFactory(fields).setTrailersFactory(fields)
        ) {
        override fun decode(
            context: ChannelHandlerContext,
            buffer: ByteBuf,
            out: MutableList<Any>
        ) {
            if (!handler.isResponding) super.decode(context, buffer, out)
        }
    }

    private inner class Handler : ChannelInboundHandlerAdapter() {
        private var request: HttpRequest? = null
        private var bodyBytes = 0

        // Until the response is written, nothing more is read.
        var isResponding = false
            private set

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            try {
                if (message is HttpRequest) request = message
                if (message is HttpRequest && message.decoderResult().isFailure) context.close()
                if (message is HttpContent) onContent(context, message)
            } finally {
                ReferenceCountUtil.release(message)
            }
        }

        private fun onContent(context: ChannelHandlerContext, content: HttpContent) {
            bodyBytes += content.content().readableBytes()
            if (content.decoderResult().isFailure || bodyBytes > REQUEST_MAX_BYTES) {
                context.close()
                return
            }
            if (content !is LastHttpContent) return
            request?.let { respond(context, it) }
            request = null
            bodyBytes = 0
        }

        private fun respond(context: ChannelHandlerContext, request: HttpRequest) {
            val target = request.uri().substringBefore('?')
            val page = pages[target]
            val answer = queries[target]?.invoke(request)
            val status = when {
                answer != null -> HttpResponseStatus.valueOf(answer.status)
                page != null -> HttpResponseStatus.OK
                target != path -> HttpResponseStatus.NOT_FOUND
                isReady() -> HttpResponseStatus.OK
                else -> HttpResponseStatus.SERVICE_UNAVAILABLE
            }
            val text = answer?.text ?: page?.invoke().orEmpty()
            val content = Unpooled.copiedBuffer(text, Charsets.UTF_8)
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
            val isKeepAlive = HttpUtil.isKeepAlive(request)
            isResponding = true
            context.channel().config().isAutoRead = false
            val future = context.writeAndFlush(response)
            if (!isKeepAlive) {
                future.addListener(ChannelFutureListener.CLOSE)
                return
            }
            future.addListener { context.executor().execute { readFurther(context) } }
        }

        private fun readFurther(context: ChannelHandlerContext) {
            isResponding = false
            if (!context.channel().isActive) return
            context.channel().config().isAutoRead = true
            val decoder = context.pipeline().context(Decoder::class.java) ?: return
            (decoder.handler() as Decoder).channelRead(decoder, Unpooled.EMPTY_BUFFER)
        }

        @Deprecated("Deprecated in Java")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        const val REQUEST_MAX_BYTES = 65_536

        // Probes and scrapes are less than a minute apart.
        const val SILENCE_MAX_MILLIS = 60_000L
    }
}
