/*
 * Decoder for the requests of callers.
 */
package org.toucanspur.daemon.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.LastHttpContent
import org.toucanspur.daemon.net.HeaderFieldLimit

/** Limits of request heads; [currentMaxBytes] may change. */
internal class HeadLimits(val fieldsMax: Int, val currentMaxBytes: () -> Int)

/**
 * Rejects a request with both Content-Length and Transfer-Encoding: two parsers may disagree on
 * where it ends, which allows request smuggling. Each request is judged by the limit in force
 * when it begins to arrive; a decoder has one limit, so it is replaced. Decodes only while
 * [connection] takes messages; what has been read beyond is kept undecoded.
 */
internal class StrictRequestDecoder private constructor(
    private val connection: CallerConnection,
    private val limits: HeadLimits,
    private val headerMaxBytes: Int,
    private val fields: HeaderFieldLimit
) : HttpRequestDecoder(
    HttpDecoderConfig()
        .setMaxInitialLineLength(headerMaxBytes)
        .setMaxHeaderSize(headerMaxBytes)
        .setHeadersFactory(fields)
        .setTrailersFactory(fields)
) {
    private var isInsideHead = false
    private var isInsideBody = false

    constructor(connection: CallerConnection, limits: HeadLimits) :
        this(connection, limits, limits.currentMaxBytes(), HeaderFieldLimit(limits.fieldsMax))

    /** Memory of the bytes that are not decoded and of the head that is incomplete. */
    val heldBytes: Long
        get() {
            val unread = if (actualReadableBytes() > 0) internalBuffer().capacity().toLong() else 0
            return unread + if (isInsideHead) fields.latest.heldBytes else 0
        }

    /** Whether bytes have been read that are not decoded. */
    val hasInput: Boolean get() = actualReadableBytes() > 0

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val isBetweenRequests = !isInsideHead && !isInsideBody
        if (isBetweenRequests && limits.currentMaxBytes() != headerMaxBytes) {
            val successor = StrictRequestDecoder(connection, limits)
            context.pipeline().replace(this, null, successor)
            context.fireChannelRead(message)
            return
        }
        super.channelRead(context, message)
        if (context.isRemoved) return
        if (hasInput && !isInsideBody) isInsideHead = true
        connection.onPartialHead(isInsideHead)
    }

    /** Decodes what has been read already. */
    fun resume(context: ChannelHandlerContext) = channelRead(context, Unpooled.EMPTY_BUFFER)

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        isInsideHead = true
        return super.createMessage(initialLine)
    }

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (!connection.mayDecode) return
        super.decode(context, buffer, out)
        val last = out.lastOrNull() ?: return
        isInsideHead = false
        isInsideBody = last !is LastHttpContent
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding")
}
