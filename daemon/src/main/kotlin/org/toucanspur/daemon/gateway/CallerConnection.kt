/*
 * HTTP connection of a caller: buffers one request at a time and writes its response. While a
 * response is not written to the socket, nothing beyond the next request is decoded.
 */
package org.toucanspur.daemon.gateway

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
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import org.toucanspur.core.gateway.CallerActivity
import org.toucanspur.core.gateway.CallerHolding
import org.toucanspur.core.gateway.HeaderLine
import org.toucanspur.core.gateway.TransferProgress
import org.toucanspur.core.gateway.TransferRate
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.net.LimitedHeaders

/** A completely received request. */
class BufferedRequest(val head: HttpRequest, val body: ByteArray, val receivedMillis: Long)

/** Receives the requests and state changes of connections. */
interface CallerConnectionListener {
    /** Maximum size of the body of a request whose head arrives now. */
    val bodyMaxBytes: Int

    /** Whether responses announce that the connection will be closed. */
    val isClosing: Boolean

    /** Whether nothing more is read from callers for a moment. */
    val isInputHeld: Boolean get() = false

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

    /** Called when what [connection] holds in memory may have changed. */
    fun onHoldingChanged(connection: CallerConnection) = Unit

    /** Whether the request of [connection], which holds [bytes], may run. */
    fun mayRun(connection: CallerConnection, bytes: Long): Boolean = true

    /** Called to refuse the request of [connection], which may not run. */
    fun onOverBudget(connection: CallerConnection) = Unit

    /** Called before [connection] is closed because of [cause], which is no error of its socket. */
    fun onInternalError(connection: CallerConnection, cause: Throwable)
}

/** One connection; confined to the event loop. */
class CallerConnection(private val listener: CallerConnectionListener) :
    ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext

    /** Head of the request that is being received. */
    var head: HttpRequest? = null
        private set

    private val body = BodyBuffer()
    private var bodyMaxBytes = 0

    // Limits under which the heads arrived that are not handled yet.
    private val arrivedBodyMaxBytes = ArrayDeque<Int>()
    private val queuedMessages = ArrayDeque<Any>()
    private var isKeepAlive = true
    private var isResponding = false

    // Whether a complete response has not been written to the socket.
    private var isAwaitingWrite = false
    private var runningBytes = 0L
    private val receiving = TransferProgress()
    private val sending = TransferProgress()
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
        get() = !isResponding &&
            !isAwaitingWrite &&
            !isInputDiscarded &&
            (head != null || isReceivingHead)

    /** Address of the caller. */
    val remoteHost: Any?
        get() = (context.channel().remoteAddress() as? InetSocketAddress)?.address

    /** Whether the channel is open. */
    val isOpen: Boolean get() = context.channel().isActive

    /** Whether a request is being received and nothing is due to the caller. */
    val isReceivingOnly: Boolean get() = isReading && !hasPendingWrites

    private val isBusy: Boolean
        get() = isResponding || isAwaitingWrite || queuedMessages.isNotEmpty()

    /** Whether further messages may be decoded: at most the next request while one is answered. */
    val mayDecode: Boolean
        get() = !isBusy ||
            (
                queuedMessages.size < QUEUED_MESSAGES_MAX &&
                    queuedMessages.lastOrNull() !is LastHttpContent
                )

    private val decoderContext: ChannelHandlerContext?
        get() = context.pipeline().context(StrictRequestDecoder::class.java)

    private val decoder: StrictRequestDecoder?
        get() = decoderContext?.handler() as? StrictRequestDecoder

    /** What the connection holds in memory now. */
    fun holding(): CallerHolding {
        val unsent = unsentBytes
        val headBytes = (head?.headers() as? LimitedHeaders)?.heldBytes ?: 0
        val queued = queuedMessages.sumOf { heldBytes(it) }
        val bytes = headBytes + body.capacityBytes + queued + runningBytes + unsent +
            (decoder?.heldBytes ?: 0)
        val isUnread = !isResponding && unsent > 0
        return CallerHolding(
            if (bytes == 0L) 0 else bytes + REQUEST_BYTES,
            if (isUnread) sending.lastMillis else receiving.lastMillis,
            isReading || isUnread
        )
    }

    private fun heldBytes(message: Any): Long {
        val headBytes = ((message as? HttpRequest)?.headers() as? LimitedHeaders)?.heldBytes ?: 0
        return REQUEST_BYTES + headBytes +
            ((message as? HttpContent)?.content()?.readableBytes() ?: 0)
    }

    /** Whether the write buffer of the connection has room. */
    val isWritable: Boolean get() = context.channel().isWritable

    /** Records whether the head of a request [isReceived] in part; its time-out starts once. */
    fun onPartialHead(isReceived: Boolean) {
        if (isReceived && !isReceivingHead) {
            lastActiveMillis = monotonicMillis()
            if (head == null) receiving.start(lastActiveMillis)
        }
        isReceivingHead = isReceived
    }

    /** Refuses a request that was received in part, and closes the connection. */
    fun refuseIncomplete() = reject(HttpResponseStatus.REQUEST_TIMEOUT)

    /** Refuses a request that is being received with a complete response, and closes. */
    fun refuse(status: Int, headers: List<HeaderLine>, responseBody: ByteArray) {
        discardInput()
        writeResponse(status, headers, responseBody)
    }

    /** Keeps the connection open for a response that is due by [millis]. */
    fun extendDeadline(millis: Long) {
        deadlineMillis = maxOf(deadlineMillis, millis)
    }

    /** Returns what is under way. Bytes sent since the last call count as progress made now. */
    fun sampleActivity(): CallerActivity {
        val unsent = unsentBytes
        if (unsent < observedUnsentBytes) {
            lastActiveMillis = monotonicMillis()
            sending.onBytes(observedUnsentBytes - unsent, lastActiveMillis)
        }
        observedUnsentBytes = unsent
        return CallerActivity(
            isReceiving = isReading,
            // A request that waits until its caller reads the response before is not served.
            isServing = isResponseDue && !isAwaitingWrite,
            unsentBytes = unsent,
            lastProgressMillis = lastActiveMillis,
            deadlineMillis = deadlineMillis,
            receiving = if (head == null) {
                TransferRate()
            } else {
                TransferRate(receiving.startMillis, receiving.totalBytes)
            },
            sending = TransferRate(sending.startMillis, sending.totalBytes)
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
        // Input that waits for an unread response is no progress.
        if (!isAwaitingWrite) lastActiveMillis = monotonicMillis()
        if (message is HttpRequest) arrivedBodyMaxBytes.addLast(listener.bodyMaxBytes)
        if (isBusy) queuedMessages.addLast(message) else onMessage(message)
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        updateReading()
        listener.onHoldingChanged(this)
        super.channelReadComplete(ctx)
    }

    // Stops reading while bytes have arrived that may not be decoded yet. Otherwise reading goes
    // on, which shows when the caller disconnects.
    private fun updateReading() {
        val isFull =
            !mayDecode && (decoder?.hasInput ?: (queuedMessages.size >= QUEUED_MESSAGES_MAX))
        context.channel().config().isAutoRead =
            !listener.isInputHeld &&
            (isInputDiscarded || !isFull)
    }

    /** Applies a change of [CallerConnectionListener.isInputHeld]. */
    fun onInputHeldChanged() = updateReading()

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
        receiving.start(monotonicMillis())
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
        val bytes = content.content().readableBytes()
        if (body.size + bytes.toLong() > bodyMaxBytes) {
            content.release()
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        }
        receiving.onBytes(bytes.toLong(), monotonicMillis())
        body.add(content.content())
        content.release()
        if (content is LastHttpContent) dispatch()
    }

    private fun dispatch() {
        val request = checkNotNull(head)
        val bytes = body.size + ((request.headers() as? LimitedHeaders)?.heldBytes ?: 0)
        if (!listener.mayRun(this, bytes)) {
            listener.onOverBudget(this)
            return
        }
        val buffered = BufferedRequest(request, body.take(), monotonicMillis())
        head = null
        isResponding = true
        runningBytes = bytes
        listener.onRequest(this, buffered)
    }

    private fun reject(status: HttpResponseStatus) =
        refuse(status.code(), emptyList(), ByteArray(0))

    // Discards what has been received of a request, and everything that follows.
    private fun discardInput() {
        isInputDiscarded = true
        head = null
        isKeepAlive = false
        body.clear()
        releaseQueuedMessages()
        // The decoder would keep an incomplete head.
        decoderContext?.let { it.pipeline().remove(it.handler()) }
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
        val hasFurther = queuedMessages.isNotEmpty() || decoder?.hasInput == true
        if (listener.isClosing && !hasFurther) isKeepAlive = false
        if (!isKeepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
    }

    private fun endResponse(future: ChannelFuture) {
        isResponding = false
        runningBytes = 0
        lastActiveMillis = monotonicMillis()
        sending.start(lastActiveMillis)
        listener.onResponseEnd(this)
        if (!isKeepAlive) {
            discardInput()
            context.channel().config().isAutoRead = true
            future.addListener { closeAfterInput(it.isSuccess) }
            return
        }
        isAwaitingWrite = true
        future.addListener {
            isAwaitingWrite = false
            lastActiveMillis = monotonicMillis()
            // Deferred, because the code that ends the response may still have cleanup to do.
            context.executor().execute {
                runCatching(::readQueuedMessages).onFailure(context.pipeline()::fireExceptionCaught)
            }
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
        while (!isResponding && !isAwaitingWrite && queuedMessages.isNotEmpty()) {
            onMessage(queuedMessages.removeFirst())
        }
        decoderContext?.let { (it.handler() as StrictRequestDecoder).resume(it) }
        updateReading()
        listener.onHoldingChanged(this)
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) =
        listener.onWritabilityChanged(this, ctx.channel().isWritable)

    override fun channelInactive(ctx: ChannelHandlerContext) {
        lingerTimer?.cancel(false)
        releaseQueuedMessages()
        body.clear()
        listener.onDisconnect(this)
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException) listener.onInternalError(this, cause)
        ctx.close()
    }

    private companion object {
        // Messages of the next request that wait: its head and some of its body.
        const val QUEUED_MESSAGES_MAX = 4

        // Objects of a request apart from its fields and its body.
        const val REQUEST_BYTES = 2048L

        // Several round trips, for callers that close as soon as they have read their response.
        const val LINGER_MILLIS = 2000L
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304
    }
}
