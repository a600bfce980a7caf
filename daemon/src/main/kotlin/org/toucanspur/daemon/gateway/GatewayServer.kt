/*
 * HTTP servers of an entry node: for callers, and for probes and metrics.
 */
package org.toucanspur.daemon.gateway

import io.netty.buffer.ByteBuf
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
import io.netty.handler.codec.http.LastHttpContent
import java.net.InetSocketAddress
import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.CallerActivity
import org.toucanspur.core.gateway.CallerTimeout
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.net.NettyEventLoop

/** Accepts caller connections and passes their requests to [dispatcher]. */
class GatewayServer(
    private val loop: NettyEventLoop,
    private val state: GatewayState,
    private val dispatcher: CallDispatcher,
    private val connectionsMax: Int,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics
) : CallerConnectionListener {
    private val calls = HashMap<CallerConnection, Call>()
    private val connections = LinkedHashSet<CallerConnection>()
    private var listener: Channel? = null

    override var isClosing = false
        private set

    override val bodyMaxBytes: Int
        get() = state.callerLimits.bodyMaxBytes

    /** Starts listening; returns the bound address. */
    fun start(address: InetSocketAddress): InetSocketAddress {
        val bound = loop.listen(address, ::initializeChannel).sync().channel()
        listener = bound
        loop.scheduleRepeating("timeouts", TIMEOUT_CHECK_MILLIS, ::closeTimedOut)
        return bound.localAddress() as InetSocketAddress
    }

    private fun initializeChannel(channel: Channel) {
        val connection = CallerConnection(this)
        channel.pipeline().addLast(
            StrictRequestDecoder(connection) { state.callerLimits.headerMaxBytes },
            HttpResponseEncoder(),
            connection
        )
    }

    override fun onConnect(connection: CallerConnection) {
        if (connections.size >= connectionsMax) {
            connection.close()
            return
        }
        connections += connection
    }

    override fun onRequest(connection: CallerConnection, request: BufferedRequest) {
        val call = dispatcher.onRequest(connection, request) ?: return
        connection.extendDeadline(call.deadlineMillis)
        if (!call.isFinished) calls[connection] = call
    }

    // A connection may stay open for long, so it does not keep what the call has buffered.
    override fun onResponseEnd(connection: CallerConnection) {
        calls -= connection
    }

    override fun onDisconnect(connection: CallerConnection) {
        connections -= connection
        calls.remove(connection)?.let(dispatcher::onDisconnect)
    }

    override fun onWritabilityChanged(connection: CallerConnection, isWritable: Boolean) {
        calls[connection]?.takeUnless { it.isFinished }?.setReading(isWritable)
    }

    internal fun closeTimedOut() = connections.toList().forEach { connection ->
        if (expired(connection) == null) return@forEach
        // After a pause or a long task, the selector has not been asked since the request arrived.
        connection.transfer()
        if (connection in connections) expired(connection)?.let { close(connection, it) }
    }

    private fun expired(connection: CallerConnection): CallerTimeout? =
        state.callerTimeouts.expired(connection.sampleActivity(), monotonicMillis())

    private fun close(connection: CallerConnection, timeout: CallerTimeout) {
        report(timeout, connection.sampleActivity(), monotonicMillis())
        if (timeout == CallerTimeout.INCOMPLETE_REQUEST) {
            connection.refuseIncomplete()
        } else {
            connection.close()
        }
    }

    private fun report(timeout: CallerTimeout, activity: CallerActivity, nowMillis: Long) {
        val isCut = timeout == CallerTimeout.UNREAD_RESPONSE
        metrics.onTimedOut(timeout.reason, isCut)
        log.event(EventCode.CALLER_TIMED_OUT, isEssential = isCut) {
            put("reason", timeout.reason)
            put("inactiveMillis", nowMillis - activity.lastProgressMillis)
            put("unsentBytes", activity.unsentBytes)
            put("configuration", state.configuration?.version ?: 0)
        }
    }

    override fun onInternalError(connection: CallerConnection, cause: Throwable) {
        log.event(EventCode.CALLER_FAILED) {
            put("request", calls[connection]?.takeUnless { it.isFinished }?.id?.value ?: "")
            put("cause", cause.toString())
            put("at", cause.stackTrace.firstOrNull().toString())
        }
    }

    /** Announces in each response that the connection will be closed. */
    fun beginClosing() {
        isClosing = true
    }

    /** Stops listening and closes idle connections. */
    fun closeIdle() {
        listener?.close()
        connections.filter { it.isDrained }.forEach {
            it.transfer()
            if (it.isDrained) it.close()
        }
    }

    /** Whether a request is being received or processed, or a response is not yet written. */
    val isServing: Boolean get() = connections.any { !it.isDrained }

    /** Number of response bytes that the sockets of callers have not accepted yet. */
    val unsentBytes: Long get() = connections.sumOf { it.unsentBytes }

    /** Number of open connections. */
    val connectionCount: Int get() = connections.size

    private companion object {
        const val TIMEOUT_CHECK_MILLIS = 500L
    }
}

/**
 * Rejects a request with both Content-Length and Transfer-Encoding: two parsers may disagree on
 * where it ends, which allows request smuggling. Each request is judged by the value of
 * [currentHeaderMaxBytes] when it begins to arrive; a decoder has one limit, so it is replaced.
 */
private class StrictRequestDecoder(
    private val connection: CallerConnection,
    private val headerMaxBytes: Int,
    private val currentHeaderMaxBytes: () -> Int
) : HttpRequestDecoder(
    HttpDecoderConfig()
        .setMaxInitialLineLength(headerMaxBytes)
        .setMaxHeaderSize(headerMaxBytes)
) {
    private var isInsideHead = false
    private var isInsideBody = false

    constructor(connection: CallerConnection, currentHeaderMaxBytes: () -> Int) :
        this(connection, currentHeaderMaxBytes(), currentHeaderMaxBytes)

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val isBetweenRequests = !isInsideHead && !isInsideBody
        if (isBetweenRequests && currentHeaderMaxBytes() != headerMaxBytes) {
            val successor = StrictRequestDecoder(connection, currentHeaderMaxBytes)
            context.pipeline().replace(this, null, successor)
            context.fireChannelRead(message)
            return
        }
        super.channelRead(context, message)
        if (actualReadableBytes() > 0 && !isInsideBody) isInsideHead = true
        connection.onPartialHead(isInsideHead)
    }

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        isInsideHead = true
        return super.createMessage(initialLine)
    }

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        super.decode(context, buffer, out)
        val last = out.lastOrNull() ?: return
        isInsideHead = false
        isInsideBody = last !is LastHttpContent
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding")
}

/** Serves [pages] by path, and a readiness probe at [path]: 200 if [isReady], otherwise 503. */
class ProbeServer(
    private val loop: NettyEventLoop,
    private val pages: Map<String, () -> String>,
    private val path: String = "",
    private val isReady: () -> Boolean = { true }
) {
    /** Starts listening on [address]. */
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
