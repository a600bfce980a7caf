/*
 * Piece exchange between agents over TCP, as length-prefixed CBOR frames. A client keeps one
 * connection per peer, which is opened on demand.
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
import org.toucanspur.daemon.net.ConnectionLimit
import org.toucanspur.daemon.net.NettyEventLoop
import org.toucanspur.daemon.transport.FRAME_MAX_BYTES
import org.toucanspur.daemon.transport.ProtocolException
import org.toucanspur.daemon.transport.decodeFrame
import org.toucanspur.daemon.transport.encodeFrame
import org.toucanspur.schema.Frame
import org.toucanspur.schema.PieceQuery
import org.toucanspur.schema.PieceReply
import org.toucanspur.schema.VmId

private const val LENGTH_FIELD_BYTES = 4
private const val CONNECT_TIMEOUT_MILLIS = 500

// A piece takes 40 ms on a VM's link; the timeout allows for queued pieces at both ends.
private const val FETCH_TIMEOUT_MILLIS = 2500L

private fun Channel.addFrameHandlers(handler: FrameHandler, frameMaxBytes: Int) {
    pipeline().addLast(
        LengthFieldBasedFrameDecoder(frameMaxBytes, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES),
        LengthFieldPrepender(LENGTH_FIELD_BYTES),
        handler
    )
}

private abstract class FrameHandler(private val onClosed: () -> Unit) :
    SimpleChannelInboundHandler<ByteBuf>() {
    abstract fun onFrame(channel: Channel, frame: Frame)

    override fun channelRead0(context: ChannelHandlerContext, bytes: ByteBuf) {
        try {
            onFrame(context.channel(), decodeFrame(ByteBufUtil.getBytes(bytes)))
        } catch (_: ProtocolException) {
            // The peer runs an incompatible protocol version or is not an agent.
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

/** Fetches pieces from other agents. The [VmId] of a peer is its IP address. */
class PieceClient(private val loop: NettyEventLoop, private val port: Int) {
    private val connections = HashMap<VmId, PieceConnection>()

    /**
     * Requests a piece from [vm]. The reply has no bytes when the peer does not hold the piece yet;
     * null means that the peer did not reply.
     */
    suspend fun fetch(vm: VmId, query: PieceQuery): PieceReply? {
        val connection = connections.getOrPut(vm) { PieceConnection(vm) }
        return withTimeoutOrNull(FETCH_TIMEOUT_MILLIS) { connection.send(query) }
    }

    private inner class PieceConnection(private val vm: VmId) {
        private val pendingReplies = HashMap<PieceQuery, CompletableDeferred<PieceReply?>>()
        private val channel = loop.connect(
            InetSocketAddress(vm.value, port),
            CONNECT_TIMEOUT_MILLIS
        ) {
            it.addFrameHandlers(ReplyHandler(), FRAME_MAX_BYTES)
        }

        private inner class ReplyHandler : FrameHandler(::close) {
            override fun onFrame(channel: Channel, frame: Frame) = onReply(frame)
        }

        init {
            channel.addListener { if (!it.isSuccess) close() }
        }

        suspend fun send(query: PieceQuery): PieceReply? {
            val reply = pendingReplies.getOrPut(query) { CompletableDeferred() }
            channel.addListener { if (it.isSuccess) channel.channel().sendFrame(query) }
            return reply.await()
        }

        private fun onReply(frame: Frame) {
            if (frame !is PieceReply) return
            val query = PieceQuery(frame.model, frame.version, frame.index)
            pendingReplies.remove(query)?.complete(frame)
        }

        private fun close() {
            if (connections[vm] === this) connections.remove(vm)
            channel.channel().close()
            pendingReplies.values.toList().forEach { it.complete(null) }
            pendingReplies.clear()
        }
    }
}

/**
 * Serves queries of other agents through [onQuery], which may reply asynchronously. Its port can be
 * reached by anyone, so frames, connections and queries that wait for their reply are limited.
 */
class PieceServer(
    private val loop: NettyEventLoop,
    connectionsMax: Int,
    private val onQuery: (PieceQuery, (PieceReply) -> Unit) -> Unit
) {
    private val connections = ConnectionLimit(loop, connectionsMax, SILENCE_MAX_MILLIS)

    /** Binds to [address]. */
    fun start(address: InetSocketAddress) {
        loop.listen(address) { channel ->
            channel.pipeline().addLast(connections.handler())
            channel.addFrameHandlers(QueryHandler(), QUERY_MAX_BYTES)
        }.sync()
    }

    // Passes on the queries of one connection while few of them wait and the replies are read.
    private inner class QueryHandler : FrameHandler({}) {
        private val waiting = ArrayDeque<PieceQuery>()
        private var pending = 0

        override fun onFrame(channel: Channel, frame: Frame) {
            if (frame !is PieceQuery) return
            if (waiting.size == WAITING_MAX) {
                channel.close()
                return
            }
            waiting.addLast(frame)
            next(channel)
        }

        private fun next(channel: Channel) {
            while (pending < PENDING_MAX && channel.isWritable && waiting.isNotEmpty()) {
                pending++
                onQuery(waiting.removeFirst()) { reply ->
                    pending--
                    if (channel.isActive) send(channel, reply)
                    next(channel)
                }
            }
        }

        private fun send(channel: Channel, reply: PieceReply) {
            val unsent = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0
            if (unsent > UNREAD_MAX_BYTES) channel.close() else channel.sendFrame(reply)
        }

        override fun channelWritabilityChanged(context: ChannelHandlerContext) =
            next(context.channel())
    }

    private companion object {
        const val QUERY_MAX_BYTES = 4096

        // A client asks for the next pieces while earlier ones are sent or not held yet, but not
        // for a whole version from one agent.
        const val PENDING_MAX = 32
        const val WAITING_MAX = 256

        // Replies that a client does not read. A link that carries less for 2.5 s is too slow for
        // the time-out of the client.
        const val UNREAD_MAX_BYTES = 32L * 1024 * 1024

        // Between versions, agents may be silent for long.
        const val SILENCE_MAX_MILLIS = 600_000L
    }
}
