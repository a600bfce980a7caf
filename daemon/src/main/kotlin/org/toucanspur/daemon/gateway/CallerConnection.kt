/*
 * One caller's connection: reads requests whole, one at a time, and writes answers. Further
 * requests that a caller sends before the answer wait in the socket.
 */
package org.toucanspur.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.toucanspur.core.gateway.HeaderLine
import org.toucanspur.daemon.monotonicMillis

/** A request that has been read whole. */
class ReadRequest(val head: HttpRequest, val body: ByteArray, val receivedMillis: Long)

/** Takes the requests of a connection. */
interface RequestTaker {
    /** Largest body. */
    val bodyMaxBytes: Int

    /** Whether answers say that the connection will close. */
    val isClosing: Boolean

    /** A request is there; it is answered on [connection]. */
    fun onRequest(connection: CallerConnection, request: ReadRequest)

    /** The caller has closed [connection]. */
    fun onLeft(connection: CallerConnection)

    /** [connection] can take more bytes, or no more for now. */
    fun onWritable(connection: CallerConnection, isWritable: Boolean)

    /** [connection] is open. */
    fun onOpen(connection: CallerConnection)
}

/** One connection; confined to the event loop. */
class CallerConnection(private val taker: RequestTaker) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private var head: HttpRequest? = null
    private val parts = ArrayList<ByteBuf>()
    private var bodyBytes = 0
    private val early = ArrayDeque<Any>()
    private var isKeptAlive = true
    private var isAnswering = false
    private var isRejected = false

    /** Time of the last byte read or answer ended, by the steady clock. */
    var lastActiveMillis = monotonicMillis()
        private set

    /** Whether no request is being read or answered. */
    val isIdle: Boolean get() = head == null && !isAnswering

    /** Whether a request has begun to arrive and is not complete. */
    val isReading: Boolean get() = !isAnswering && head != null

    /** Whether the caller can take more bytes now. */
    val isWritable: Boolean get() = context.channel().isWritable

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        taker.onOpen(this)
        super.channelActive(ctx)
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        lastActiveMillis = monotonicMillis()
        when {
            isRejected -> ReferenceCountUtil.release(message)
            isAnswering || early.isNotEmpty() -> {
                early.addLast(message)
                ctx.channel().config().isAutoRead = early.size < EARLY_MESSAGES_MAX
            }
            else -> onMessage(message)
        }
    }

    private fun onMessage(message: Any) {
        if (message is HttpRequest && !onHead(message)) {
            ReferenceCountUtil.release(message)
            return
        }
        if (message is HttpContent) onContent(message) else ReferenceCountUtil.release(message)
    }

    private fun onHead(request: HttpRequest): Boolean {
        if (request.decoderResult().isFailure) {
            val cause = request.decoderResult().cause()
            val isTooLong = cause is TooLongFrameException
            reject(
                if (isTooLong) {
                    HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                } else {
                    HttpResponseStatus.BAD_REQUEST
                }
            )
            return false
        }
        head = request
        isKeptAlive = HttpUtil.isKeepAlive(request)
        if (HttpUtil.getContentLength(request, 0L) > taker.bodyMaxBytes) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            return false
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)
            )
        }
        return true
    }

    private fun onContent(content: HttpContent) {
        if (content.decoderResult().isFailure || head == null) {
            content.release()
            reject(HttpResponseStatus.BAD_REQUEST)
            return
        }
        bodyBytes += content.content().readableBytes()
        if (bodyBytes > taker.bodyMaxBytes) {
            content.release()
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        }
        parts += content.content()
        if (content is LastHttpContent) dispatch()
    }

    private fun dispatch() {
        val request = ReadRequest(checkNotNull(head), takeBody(), monotonicMillis())
        head = null
        isAnswering = true
        taker.onRequest(this, request)
    }

    private fun takeBody(): ByteArray {
        val body = ByteArray(bodyBytes)
        var offset = 0
        parts.forEach { part ->
            val length = part.readableBytes()
            part.readBytes(body, offset, length)
            offset += length
            part.release()
        }
        parts.clear()
        bodyBytes = 0
        return body
    }

    private fun reject(status: HttpResponseStatus) {
        isRejected = true
        head = null
        isKeptAlive = false
        parts.forEach { it.release() }
        parts.clear()
        writeWhole(status.code(), emptyList(), ByteArray(0))
    }

    /** Answers the request whole. */
    fun writeWhole(status: Int, headers: List<HeaderLine>, body: ByteArray) {
        val response = DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(body)
        )
        headers.forEach { response.headers().add(it.name, it.value) }
        if (status != NO_CONTENT && status != NOT_MODIFIED) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        }
        setConnectionHeader(response)
        val future = context.writeAndFlush(response)
        endAnswer(future)
    }

    /** Begins an answer of unknown length. */
    fun writeHead(status: Int, headers: List<HeaderLine>) {
        val response =
            DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        headers.forEach { response.headers().add(it.name, it.value) }
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        setConnectionHeader(response)
        context.write(response)
    }

    /** Continues an answer. */
    fun writePart(bytes: ByteArray) {
        context.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
    }

    /** Completes an answer. */
    fun writeEnd() = endAnswer(context.writeAndFlush(DefaultLastHttpContent()))

    /** Closes the connection without completing the answer. */
    fun abort() {
        isAnswering = false
        context.close()
    }

    /** Closes an idle connection. */
    fun close() {
        context.close()
    }

    private fun setConnectionHeader(response: HttpResponse) {
        if (taker.isClosing) isKeptAlive = false
        if (!isKeptAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
    }

    private fun endAnswer(future: ChannelFuture) {
        isAnswering = false
        lastActiveMillis = monotonicMillis()
        if (!isKeptAlive) {
            isRejected = true
            future.addListener(ChannelFutureListener.CLOSE)
            return
        }
        // Not from within the call that ends the answer, which may still clean up after it.
        context.executor().execute(::readEarly)
    }

    private fun readEarly() {
        while (!isAnswering && early.isNotEmpty()) onMessage(early.removeFirst())
        if (early.isEmpty()) context.channel().config().isAutoRead = true
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) =
        taker.onWritable(this, ctx.channel().isWritable)

    override fun channelInactive(ctx: ChannelHandlerContext) {
        early.forEach { ReferenceCountUtil.release(it) }
        early.clear()
        parts.forEach { it.release() }
        parts.clear()
        taker.onLeft(this)
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }

    private companion object {
        const val EARLY_MESSAGES_MAX = 16
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304
    }
}
