/*
 * HTTP calls on the event loop, each on a connection of its own: a connection that has gone silent
 * then costs one call its time-out and no later one.
 */
package org.toucanspur.daemon.net

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpVersion
import kotlin.coroutines.resume
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import org.toucanspur.core.platform.HttpCall
import org.toucanspur.core.platform.HttpCaller
import org.toucanspur.core.platform.HttpFailure
import org.toucanspur.core.platform.HttpReply

// A listing of the store holds about 1 MB; a configuration as much.
private const val REPLY_MAX_BYTES = 8 * 1024 * 1024

// A packet that is lost while connecting is sent again after a second.
private const val CONNECT_TIMEOUT_MILLIS = 1000L

/** Makes calls on [loop]. */
class NettyHttpCaller(private val loop: NetLoop) : HttpCaller {
    override suspend fun call(call: HttpCall): Result<HttpReply, HttpFailure> =
        suspendCancellableCoroutine { continuation -> PendingCall(call, continuation).start() }

    private inner class PendingCall(
        private val call: HttpCall,
        private val continuation: CancellableContinuation<Result<HttpReply, HttpFailure>>
    ) {
        private var channel: Channel? = null
        private var isSent = false
        private var isDone = false
        private val timeout = loop.schedule(call.timeoutMillis) { fail("timed out") }

        fun start() {
            val connectMillis = minOf(call.timeoutMillis, CONNECT_TIMEOUT_MILLIS).toInt()
            val future = loop.connect(socketAddress(call.address), connectMillis) {
                it.pipeline().addLast(
                    HttpClientCodec(),
                    HttpObjectAggregator(REPLY_MAX_BYTES),
                    ReplyHandler()
                )
            }
            channel = future.channel()
            future.addListener { if (it.isSuccess) send() else fail(it.cause().toString()) }
            continuation.invokeOnCancellation { loop.executor.execute { finish(null) } }
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
            request.headers()
                .set(HttpHeaderNames.HOST, call.address)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            if (call.body != null) {
                request.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
                call.contentType?.let { request.headers().set(HttpHeaderNames.CONTENT_TYPE, it) }
            }
            isSent = true
            channel?.writeAndFlush(request)
        }

        fun fail(reason: String) = finish(
            Err(
                if (isSent) HttpFailure.NoAnswer(reason) else HttpFailure.NotConnected(reason)
            )
        )

        fun finish(result: Result<HttpReply, HttpFailure>?) {
            if (isDone) return
            isDone = true
            timeout.cancel(false)
            channel?.close()
            if (result != null && continuation.isActive) continuation.resume(result)
        }

        private inner class ReplyHandler : SimpleChannelInboundHandler<FullHttpResponse>() {
            override fun channelRead0(context: ChannelHandlerContext, reply: FullHttpResponse) {
                if (reply.decoderResult().isFailure) {
                    fail("malformed answer: ${reply.decoderResult().cause()}")
                    return
                }
                val body = ByteBufUtil.getBytes(reply.content())
                finish(Ok(HttpReply(reply.status().code(), body)))
            }

            override fun channelInactive(context: ChannelHandlerContext) =
                fail("connection closed")

            @Deprecated("Deprecated in Java")
            override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) =
                fail(cause.toString())
        }
    }
}
