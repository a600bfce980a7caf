/*
 * Connections between agents for pieces: frames with a length, as CBOR. One connection for each
 * peer, opened when it is needed.
 */
package org.toucanspur.daemon.engine

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.LengthFieldBasedFrameDecoder
import io.netty.handler.codec.LengthFieldPrepender
import java.net.InetSocketAddress
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.toucanspur.daemon.net.NettyEventLoop
import org.toucanspur.daemon.transport.FRAME_MAX_BYTES
import org.toucanspur.daemon.transport.ProtocolException
import org.toucanspur.daemon.transport.decodeFrame
import org.toucanspur.daemon.transport.encodeFrame
import org.toucanspur.schema.Frame
import org.toucanspur.schema.PieceQuery
import org.toucanspur.schema.PieceReply
import org.toucanspur.schema.VmId

private const val LENGTH_BYTES = 4
private const val CONNECT_TIMEOUT_MILLIS = 500

// A piece takes 40 ms on a VM's link; this allows for a queue of others at both ends.
private const val FETCH_TIMEOUT_MILLIS = 2500L

private fun Channel.addFrames(handler: FrameHandler) {
    pipeline().addLast(
        LengthFieldBasedFrameDecoder(FRAME_MAX_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
        LengthFieldPrepender(LENGTH_BYTES),
        handler
    )
}

private class FrameHandler(
    private val onFrame: (Channel, Frame) -> Unit,
    private val onClosed: () -> Unit
) : SimpleChannelInboundHandler<ByteBuf>() {
    override fun channelRead0(context: ChannelHandlerContext, bytes: ByteBuf) {
        try {
            onFrame(context.channel(), decodeFrame(ByteBufUtil.getBytes(bytes)))
        } catch (_: ProtocolException) {
            // Another version of the program or a stranger; the connection is of no use.
            context.close()
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) = onClosed()

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }
}

private fun Channel.sendFrame(frame: Frame) {
    writeAndFlush(Unpooled.wrappedBuffer(encodeFrame(frame)))
}

/** Fetches pieces from other agents; a VM's id is its IP number here. */
class PieceLinks(private val loop: NettyEventLoop, private val port: Int) {
    private val links = HashMap<VmId, Link>()

    /** Asks [vm] for a piece; empty when it has none yet, null when it does not answer. */
    suspend fun fetch(vm: VmId, query: PieceQuery): PieceReply? {
        val link = links.getOrPut(vm) { Link(vm) }
        return withTimeoutOrNull(FETCH_TIMEOUT_MILLIS) { link.ask(query) }
    }

    private inner class Link(private val vm: VmId) {
        private val pending = HashMap<PieceQuery, CompletableDeferred<PieceReply?>>()
        private val channel = loop.connect(
            InetSocketAddress(vm.value, port),
            CONNECT_TIMEOUT_MILLIS
        ) {
            it.addFrames(FrameHandler({ _, frame -> onFrame(frame) }, ::close))
        }

        init {
            channel.addListener { if (!it.isSuccess) close() }
        }

        suspend fun ask(query: PieceQuery): PieceReply? {
            val answer = pending.getOrPut(query) { CompletableDeferred() }
            channel.addListener { if (it.isSuccess) channel.channel().sendFrame(query) }
            return answer.await()
        }

        private fun onFrame(frame: Frame) {
            if (frame !is PieceReply) return
            val query = PieceQuery(frame.model, frame.version, frame.index)
            pending.remove(query)?.complete(frame)
        }

        private fun close() {
            if (links[vm] === this) links.remove(vm)
            channel.channel().close()
            pending.values.toList().forEach { it.complete(null) }
            pending.clear()
        }
    }
}

/** Answers other agents' queries through [answer], which may suspend until a piece is here. */
class PieceServer(
    private val loop: NettyEventLoop,
    private val answer: (PieceQuery, (PieceReply) -> Unit) -> Unit
) {
    /** Starts to listen. */
    fun start(address: InetSocketAddress) {
        loop.listen(address) { channel ->
            channel.addFrames(
                FrameHandler(
                    { from, frame ->
                        if (frame is PieceQuery) answer(frame) { from.sendFrame(it) }
                    },
                    {}
                )
            )
        }.sync()
    }
}
