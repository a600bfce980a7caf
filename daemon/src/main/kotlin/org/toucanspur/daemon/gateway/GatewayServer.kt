/*
 * The entry's listeners: callers and the readiness probe.
 */
package org.toucanspur.daemon.gateway

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import java.net.InetSocketAddress
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.net.NetLoop

/** Accepts callers and hands their requests to [dispatcher]. */
class GatewayServer(
    private val loop: NetLoop,
    private val state: GatewayState,
    private val dispatcher: CallDispatcher,
    private val connectionsMax: Int
) : RequestTaker {
    private val calls = HashMap<CallerConnection, Call>()
    private val connections = LinkedHashSet<CallerConnection>()
    private var listener: Channel? = null

    override var isClosing = false
        private set

    override val bodyMaxBytes: Int
        get() = state.configuration?.limits?.bodyMaxBytes ?: DEFAULT_BODY_BYTES

    /** Starts to listen; returns the bound address. */
    fun start(address: InetSocketAddress): InetSocketAddress {
        val bound = loop.listen(address, ::prepare).sync().channel()
        listener = bound
        loop.every(SWEEP_MILLIS, ::sweep)
        return bound.localAddress() as InetSocketAddress
    }

    private fun prepare(channel: Channel) {
        val headerMax = state.configuration?.limits?.headerMaxBytes ?: DEFAULT_HEADER_BYTES
        val config = HttpDecoderConfig()
            .setMaxInitialLineLength(headerMax)
            .setMaxHeaderSize(headerMax)
        channel.pipeline().addLast(
            StrictRequestDecoder(config),
            HttpResponseEncoder(),
            CallerConnection(this)
        )
    }

    override fun onOpen(connection: CallerConnection) {
        if (connections.size >= connectionsMax) {
            connection.close()
            return
        }
        connections += connection
    }

    override fun onRequest(connection: CallerConnection, request: ReadRequest) {
        val call = dispatcher.onRequest(connection, request)
        if (call != null && !call.isOver) calls[connection] = call
    }

    override fun onLeft(connection: CallerConnection) {
        connections -= connection
        calls.remove(connection)?.let(dispatcher::onLeft)
    }

    override fun onWritable(connection: CallerConnection, isWritable: Boolean) {
        calls[connection]?.takeUnless { it.isOver }?.setReading(isWritable)
    }

    private fun sweep() {
        val limits = state.configuration?.limits
        val idleMillis = limits?.idleTimeoutMillis ?: DEFAULT_IDLE_MILLIS
        val headerMillis = limits?.headerTimeoutMillis ?: DEFAULT_HEADER_MILLIS
        val now = monotonicMillis()
        connections.toList().forEach { connection ->
            val age = now - connection.lastActiveMillis
            val isOverdue = when {
                connection.isReading -> age > headerMillis
                connection.isIdle -> age > idleMillis
                else -> false
            }
            if (isOverdue) connection.close()
        }
    }

    /** Announces in each answer that the connection will close. */
    fun beginClosing() {
        isClosing = true
    }

    /** Takes no new connections and closes idle ones. */
    fun closeIdle() {
        listener?.close()
        connections.filter { it.isIdle }.forEach { it.close() }
    }

    /** Open connections. */
    val connectionCount: Int get() = connections.size

    private companion object {
        const val DEFAULT_BODY_BYTES = 4_194_304
        const val DEFAULT_HEADER_BYTES = 16_384
        const val DEFAULT_IDLE_MILLIS = 15_000L
        const val DEFAULT_HEADER_MILLIS = 3000L
        const val SWEEP_MILLIS = 500L
    }
}

/** Refuses a request with both a length and chunks, which two readers may cut differently. */
private class StrictRequestDecoder(config: HttpDecoderConfig) : HttpRequestDecoder(config) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding")
}

/** Serves the probe at [path]: 200 while [isReady], else 503; and [pages] by their paths. */
class ProbeServer(
    private val loop: NetLoop,
    private val pages: Map<String, () -> String>,
    private val path: String = "",
    private val isReady: () -> Boolean = { true }
) {
    /** Starts to listen. */
    fun start(address: InetSocketAddress) {
        loop.listen(address) {
            it.pipeline().addLast(
                HttpServerCodec(),
                HttpObjectAggregator(REQUEST_MAX_BYTES),
                Handler()
            )
        }.sync()
    }

    private inner class Handler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val target = request.uri().substringBefore('?')
            val page = pages[target]
            val status = when {
                page != null -> HttpResponseStatus.OK
                target != path -> HttpResponseStatus.NOT_FOUND
                isReady() -> HttpResponseStatus.OK
                else -> HttpResponseStatus.SERVICE_UNAVAILABLE
            }
            val text = page?.invoke().orEmpty()
            val content = Unpooled.copiedBuffer(text, Charsets.UTF_8)
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
            val future = context.writeAndFlush(response)
            if (!HttpUtil.isKeepAlive(request)) future.addListener(ChannelFutureListener.CLOSE)
        }

        @Deprecated("Deprecated in Java")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        const val REQUEST_MAX_BYTES = 65_536
    }
}
