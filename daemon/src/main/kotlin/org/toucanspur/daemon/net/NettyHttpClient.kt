/*
 * HTTP client on the event loop. By default each call uses a new connection, so that a connection
 * that stalls makes only one call time out. Calls that may be sent twice reuse idle connections;
 * one that fails is closed. A call may request further connections while the first one is not
 * established; the one that is established first is used, and the others are closed.
 */
package org.toucanspur.daemon.net

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.concurrent.ScheduledFuture
import kotlin.coroutines.resume
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import org.toucanspur.core.platform.HttpCall
import org.toucanspur.core.platform.HttpCaller
import org.toucanspur.core.platform.HttpFailure
import org.toucanspur.core.platform.HttpReply
import org.toucanspur.core.platform.ResponseTimeout
import org.toucanspur.daemon.monotonicMillis

// Idle connections kept for one address, for calls that are made at the same time.
private const val IDLE_CONNECTIONS_MAX = 2

// Well below the time after a resumption in which calls do not count, 300 ms.
private const val VALIDITY_CHECK_MILLIS = 50L

/** Makes HTTP calls on [loop]; confined to its thread. */
class NettyHttpClient(private val loop: NettyEventLoop) : HttpCaller {
    private val idleChannels = HashMap<String, ArrayDeque<Channel>>()

    override suspend fun call(call: HttpCall): Result<HttpReply, HttpFailure> {
        val channel = if (call.mayReuseConnection) {
            idleChannels[call.address]?.removeLastOrNull()
        } else {
            null
        }
        if (channel != null && channel.isActive) {
            val result = suspendCancellableCoroutine { PendingCall(call, it).reuse(channel) }
            if (result.isOk) return result
        }
        return suspendCancellableCoroutine { PendingCall(call, it).start() }
    }

    private inner class PendingCall(
        private val call: HttpCall,
        private val continuation: CancellableContinuation<Result<HttpReply, HttpFailure>>
    ) {
        private var channel: Channel? = null
        private val connecting = LinkedHashSet<Channel>()
        private var connectDueMillis = 0L
        private var isSent = false
        private var isDone = false
        private var receivedBytes = 0L
        private val timeout =
            ResponseTimeout(monotonicMillis(), call.timeoutMillis, call.transferLimits)
        private var timer: ScheduledFuture<*>? = null

        init {
            scheduleTimeout()
            continuation.invokeOnCancellation { loop.executor.execute { finish(null) } }
        }

        private fun scheduleTimeout() {
            val leftMillis = timeout.dueMillis - monotonicMillis()
            timer = loop.schedule("call time-out", leftMillis) {
                // What has arrived meanwhile is read before the timers run again.
                timer = loop.schedule("call time-out", 0, ::onTimeout)
            }
        }

        private fun onTimeout() {
            if (isDone) return
            if (monotonicMillis() < timeout.dueMillis) {
                scheduleTimeout()
            } else {
                fail("timed out after $receivedBytes bytes")
            }
        }

        fun start() {
            connectDueMillis =
                monotonicMillis() + minOf(call.timeoutMillis, call.connectTimeoutMillis)
            connect()
        }

        private fun connect() {
            val leftMillis = maxOf(1, connectDueMillis - monotonicMillis()).toInt()
            val future = loop.connect(socketAddress(call.address), leftMillis) {
                // With a linger time of 0, closing resets the connection, also when the system
                // closes it for a process that was killed.
                if (call.validMillis != null) it.config().setOption(ChannelOption.SO_LINGER, 0)
                it.pipeline().addLast(ByteCounter())
                it.pipeline().addResponseDecoder()
                it.pipeline().addLast(
                    HttpObjectAggregator(call.responseMaxBytes),
                    ResponseHandler()
                )
            }
            connecting += future.channel()
            future.addListener { onConnected(future) }
            val retryMillis = call.connectRetryMillis ?: return
            loop.schedule("connection request", retryMillis) {
                if (!isDone && channel == null && monotonicMillis() < connectDueMillis) connect()
            }
        }

        private fun onConnected(future: ChannelFuture) {
            val opened = future.channel()
            connecting -= opened
            val isNeeded = !isDone && channel == null
            if (future.isSuccess && isNeeded) {
                channel = opened
                connecting.toList().forEach { it.close() }
                timeout.onConnected(monotonicMillis())
                send()
                scheduleValidityCheck()
            } else {
                opened.close()
                if (isNeeded) fail(future.cause().toString())
            }
        }

        fun reuse(openChannel: Channel) {
            channel = openChannel
            val aggregator = HttpObjectAggregator(call.responseMaxBytes)
            openChannel.pipeline().replace(ByteCounter::class.java, null, ByteCounter())
            openChannel.pipeline().replace(HttpObjectAggregator::class.java, null, aggregator)
            openChannel.pipeline().replace(ResponseHandler::class.java, null, ResponseHandler())
            send()
        }

        private fun send() {
            if (isDone) {
                channel?.close()
                return
            }
            val content = call.body?.let(Unpooled::wrappedBuffer) ?: Unpooled.EMPTY_BUFFER
            val method = HttpMethod.valueOf(call.method)
            val request =
                DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, call.target, content)
            request.headers().set(HttpHeaderNames.HOST, call.address)
            if (!call.mayReuseConnection) {
                request.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            }
            if (call.body != null) {
                val length = content.readableBytes()
                request.headers().set(HttpHeaderNames.CONTENT_LENGTH, length)
                call.contentType?.let { request.headers().set(HttpHeaderNames.CONTENT_TYPE, it) }
            }
            call.headers.forEach { (name, value) -> request.headers().set(name, value) }
            if (!call.isStillValid() || !staysValid()) {
                finish(Err(HttpFailure.Outdated))
                return
            }
            isSent = true
            // A write that fails closes the channel, which ends a response without a length.
            channel?.writeAndFlush(request)?.addListener {
                if (!it.isSuccess) fail(it.cause().toString())
            }
        }

        private fun staysValid(): Boolean {
            val validMillis = call.validMillis ?: return true
            return validMillis() >= maxOf(1, timeout.dueMillis - monotonicMillis())
        }

        // The time-out does not pass while the VM is suspended, and the validity may end early.
        private fun scheduleValidityCheck() {
            val validMillis = call.validMillis ?: return
            if (isDone) return
            loop.schedule("call validity", VALIDITY_CHECK_MILLIS) {
                if (!isDone && validMillis() <= 0) fail("no longer valid")
                scheduleValidityCheck()
            }
        }

        fun fail(reason: String) = finish(
            Err(
                if (isSent) HttpFailure.NoResponse(reason) else HttpFailure.NotConnected(reason)
            )
        )

        fun finish(result: Result<HttpReply, HttpFailure>?, isReusable: Boolean = false) {
            if (isDone) return
            isDone = true
            timer?.cancel(false)
            connecting.toList().forEach { it.close() }
            val openChannel = channel
            if (isReusable && openChannel != null) keepOpen(openChannel) else openChannel?.close()
            if (result != null && continuation.isActive) continuation.resume(result)
        }

        private fun keepOpen(openChannel: Channel) {
            val idle = idleChannels.getOrPut(call.address) { ArrayDeque() }
            if (idle.size < IDLE_CONNECTIONS_MAX) idle.addLast(openChannel) else openChannel.close()
        }

        private inner class ByteCounter : ChannelInboundHandlerAdapter() {
            override fun channelRead(context: ChannelHandlerContext, message: Any) {
                receivedBytes += (message as? ByteBuf)?.readableBytes() ?: 0
                timeout.onBytes(monotonicMillis())
                call.onBytes()
                super.channelRead(context, message)
            }
        }

        private inner class ResponseHandler : SimpleChannelInboundHandler<FullHttpResponse>() {
            override fun channelRead0(context: ChannelHandlerContext, response: FullHttpResponse) {
                if (isDone || context.channel() !== channel) {
                    // A response without a pending request; the connection cannot be reused.
                    context.close()
                    return
                }
                if (response.decoderResult().isFailure) {
                    fail("malformed response: ${response.decoderResult().cause()}")
                    return
                }
                val body = ByteBufUtil.getBytes(response.content())
                val isReusable = call.mayReuseConnection && HttpUtil.isKeepAlive(response)
                val headers = response.headers().associate { it.key.lowercase() to it.value }
                finish(Ok(HttpReply(response.status().code(), body, headers)), isReusable)
            }

            override fun channelInactive(context: ChannelHandlerContext) {
                idleChannels[call.address]?.remove(context.channel())
                if (context.channel() === channel) fail("connection closed")
            }

            @Deprecated("Deprecated in Java")
            override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
                context.close()
                if (context.channel() !== channel) return
                if (cause is TooLongFrameException && isSent) {
                    finish(Err(HttpFailure.TooLarge(call.responseMaxBytes)))
                } else {
                    fail(cause.toString())
                }
            }
        }
    }
}
