/*
 * HTTP connection of a caller: buffers one request at a time and writes its response. Pipelined
 * requests wait in a bounded queue; while it is full, nothing more is read from the socket.
 */
package org.toucanspur.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.nio.AbstractNioChannel
import io.netty.channel.socket.DuplexChannel
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
import io.netty.util.concurrent.ScheduledFuture
import java.io.IOException
import java.util.concurrent.TimeUnit
import org.toucanspur.core.gateway.CallerActivity
import org.toucanspur.core.gateway.HeaderLine
import org.toucanspur.daemon.monotonicMillis

/** A completely received request. */
class BufferedRequest(val head: HttpRequest, val body: ByteArray, val receivedMillis: Long)

/** Receives the requests and state changes of connections. */
interface CallerConnectionListener {
    /** Maximum size of the body of a request whose head arrives now. */
    val bodyMaxBytes: Int

    /** Whether responses announce that the connection will be closed. */
    val isClosing: Boolean

    /** Called for each request; the response is written to [connection]. */
    fun onRequest(connection: CallerConnection, request: BufferedRequest)

    /** Called when the response to the request of [connection] has been written. */
    fun onResponseEnd(connection: CallerConnection)

    /** Called when [connection] is closed. */
    fun onDisconnect(connection: CallerConnection)

    /** Called when [connection] becomes writable or its write buffer is full. */
    fun onWritabilityChanged(connection: CallerConnection, isWritable: Boolean)

    /** Called when [connection] is open. */
    fun onConnect(connection: CallerConnection)

    /** Called before [connection] is closed because of [cause], which is no error of its socket. */
    fun onInternalError(connection: CallerConnection, cause: Throwable)
}

/** One connection; confined to the event loop. */
class CallerConnection(private val listener: CallerConnectionListener) :
    ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private var head: HttpRequest? = null
    private val bodyParts = ArrayList<ByteBuf>()
    private var bodyBytes = 0
    private var bodyMaxBytes = 0

    // Limits under which the heads arrived that are not handled yet.
    private val arrivedBodyMaxBytes = ArrayDeque<Int>()
    private val queuedMessages = ArrayDeque<Any>()
    private var isKeepAlive = true
    private var isResponding = false
    private var isInputDiscarded = false
    private var lingerTimer: ScheduledFuture<*>? = null
    private var isReceivingHead = false
    private var lastActiveMillis = monotonicMillis()
    private var deadlineMillis = 0L
    private var observedUnsentBytes = 0L

    /** Whether no request is being received or processed. */
    val isIdle: Boolean get() = head == null && !isResponding

    /** Whether the connection is idle and all responses are written to the socket. */
    val isDrained: Boolean
        get() = isIdle && !isReading && !isResponseDue && !hasPendingWrites

    // Whether a request is processed or waits, or the last response is on its way to the caller.
    private val isResponseDue: Boolean
        get() = isResponding || queuedMessages.isNotEmpty() || lingerTimer != null

    /** Number of response bytes that the socket has not accepted yet. */
    val unsentBytes: Long
        get() = context.channel().unsafe().outboundBuffer()
            ?.let { it.totalPendingWriteBytes() - it.currentProgress() } ?: 0

    private val hasPendingWrites: Boolean get() = unsentBytes > 0

    private val isReading: Boolean
        get() = !isResponding && !isInputDiscarded && (head != null || isReceivingHead)

    /** Whether the write buffer of the connection has room. */
    val isWritable: Boolean get() = context.channel().isWritable

    /** Records whether the head of a request [isReceived] in part; its time-out starts once. */
    fun onPartialHead(isReceived: Boolean) {
        if (isReceived && !isReceivingHead) lastActiveMillis = monotonicMillis()
        isReceivingHead = isReceived
    }

    /** Refuses a request that was received in part, and closes the connection. */
    fun refuseIncomplete() = reject(HttpResponseStatus.REQUEST_TIMEOUT)

    /** Keeps the connection open for a response that is due by [millis]. */
    fun extendDeadline(millis: Long) {
        deadlineMillis = maxOf(deadlineMillis, millis)
    }

    /** Returns what is under way. Bytes sent since the last call count as progress made now. */
    fun sampleActivity(): CallerActivity {
        val unsent = unsentBytes
        if (unsent < observedUnsentBytes) lastActiveMillis = monotonicMillis()
        observedUnsentBytes = unsent
        return CallerActivity(
            isReceiving = isReading,
            isServing = isResponseDue,
            unsentBytes = unsent,
            lastProgressMillis = lastActiveMillis,
            deadlineMillis = deadlineMillis
        )
    }

    /** Reads what has arrived and writes what the socket accepts, without waiting for a select. */
    fun transfer() {
        val unsafe = context.channel().unsafe() as? AbstractNioChannel.NioUnsafe ?: return
        if (context.channel().isActive) unsafe.forceFlush()
        if (context.channel().isActive && context.channel().config().isAutoRead) unsafe.read()
    }

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        listener.onConnect(this)
        super.channelActive(ctx)
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (isInputDiscarded) {
            ReferenceCountUtil.release(message)
            return
        }
        lastActiveMillis = monotonicMillis()
        if (message is HttpRequest) arrivedBodyMaxBytes.addLast(listener.bodyMaxBytes)
        when {
            isResponding || queuedMessages.isNotEmpty() -> {
                queuedMessages.addLast(message)
                ctx.channel().config().isAutoRead = queuedMessages.size < QUEUED_MESSAGES_MAX
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
        bodyMaxBytes = arrivedBodyMaxBytes.removeFirst()
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
        isKeepAlive = HttpUtil.isKeepAlive(request)
        if (HttpUtil.getContentLength(request, 0L) > bodyMaxBytes) {
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
        if (bodyBytes > bodyMaxBytes) {
            content.release()
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        }
        bodyParts += content.content()
        if (content is LastHttpContent) dispatch()
    }

    private fun dispatch() {
        val request = BufferedRequest(checkNotNull(head), readBody(), monotonicMillis())
        head = null
        isResponding = true
        listener.onRequest(this, request)
    }

    private fun readBody(): ByteArray {
        val body = ByteArray(bodyBytes)
        var offset = 0
        bodyParts.forEach { part ->
            val length = part.readableBytes()
            part.readBytes(body, offset, length)
            offset += length
            part.release()
        }
        bodyParts.clear()
        bodyBytes = 0
        return body
    }

    private fun reject(status: HttpResponseStatus) {
        isInputDiscarded = true
        head = null
        isKeepAlive = false
        bodyParts.forEach { it.release() }
        bodyParts.clear()
        writeResponse(status.code(), emptyList(), ByteArray(0))
    }

    /** Writes a complete response. */
    fun writeResponse(status: Int, headers: List<HeaderLine>, body: ByteArray) {
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
        endResponse(future)
    }

    /** Begins a chunked response. */
    fun writeResponseHead(status: Int, headers: List<HeaderLine>) {
        val response =
            DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        headers.forEach { response.headers().add(it.name, it.value) }
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        setConnectionHeader(response)
        context.write(response)
    }

    /** Writes one chunk of a response. */
    fun writeChunk(bytes: ByteArray) {
        context.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
    }

    /** Completes a chunked response. */
    fun writeLastChunk() = endResponse(context.writeAndFlush(DefaultLastHttpContent()))

    /** Closes the connection without completing the response. */
    fun abort() {
        isResponding = false
        context.close()
    }

    /** Closes an idle connection. */
    fun close() {
        context.close()
    }

    private fun setConnectionHeader(response: HttpResponse) {
        // Requests that have been read already get their responses first.
        if (listener.isClosing && queuedMessages.isEmpty()) isKeepAlive = false
        if (!isKeepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
    }

    private fun endResponse(future: ChannelFuture) {
        isResponding = false
        lastActiveMillis = monotonicMillis()
        listener.onResponseEnd(this)
        if (!isKeepAlive) {
            isInputDiscarded = true
            releaseQueuedMessages()
            context.channel().config().isAutoRead = true
            future.addListener { closeAfterInput(it.isSuccess) }
            return
        }
        // Deferred, because the code that ends the response may still have cleanup to do.
        context.executor().execute {
            runCatching(::readQueuedMessages).onFailure(context.pipeline()::fireExceptionCaught)
        }
    }

    // Closing a socket with unread input resets the connection, which may destroy the response on
    // its way. So the caller sees the end first, and its input is discarded until it closes.
    private fun closeAfterInput(isWritten: Boolean) {
        val channel = context.channel()
        if (!isWritten || channel !is DuplexChannel || !channel.isActive) {
            context.close()
            return
        }
        channel.shutdownOutput()
        lingerTimer = context.executor()
            .schedule({ context.close() }, LINGER_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun releaseQueuedMessages() {
        queuedMessages.forEach { ReferenceCountUtil.release(it) }
        queuedMessages.clear()
    }

    private fun readQueuedMessages() {
        while (!isResponding && queuedMessages.isNotEmpty()) onMessage(queuedMessages.removeFirst())
        if (queuedMessages.isEmpty()) context.channel().config().isAutoRead = true
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) =
        listener.onWritabilityChanged(this, ctx.channel().isWritable)

    override fun channelInactive(ctx: ChannelHandlerContext) {
        lingerTimer?.cancel(false)
        releaseQueuedMessages()
        bodyParts.forEach { it.release() }
        bodyParts.clear()
        listener.onDisconnect(this)
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException) listener.onInternalError(this, cause)
        ctx.close()
    }

    private companion object {
        const val QUEUED_MESSAGES_MAX = 16

        // Several round trips, for callers that close as soon as they have read their response.
        const val LINGER_MILLIS = 2000L
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304
    }
}
