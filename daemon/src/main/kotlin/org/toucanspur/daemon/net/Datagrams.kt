/*
 * Datagram transport for frames between processes. Datagrams are not retransmitted: a later one
 * replaces one that is lost.
 */
package org.toucanspur.daemon.net

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import java.net.InetSocketAddress
import org.toucanspur.daemon.transport.ProtocolException
import org.toucanspur.daemon.transport.decodeFrame
import org.toucanspur.daemon.transport.encodeFrame
import org.toucanspur.schema.Frame

/** Sends and receives one frame per datagram; malformed datagrams are counted and dropped. */
class Datagrams(
    loop: NettyEventLoop,
    address: InetSocketAddress,
    private val onFrame: (Frame, InetSocketAddress) -> Unit
) {
    /** Number of datagrams that could not be decoded as a frame. */
    var malformedCount = 0L
        private set

    private val channel: Channel = loop.bindDatagram(address, Handler()).sync().channel()

    /** Sends [frame] without confirmation of delivery. */
    fun send(frame: Frame, to: InetSocketAddress) = sendEncoded(encodeFrame(frame), to)

    /** Sends an encoded frame; lets a caller encode a frame once for several receivers. */
    fun sendEncoded(bytes: ByteArray, to: InetSocketAddress) {
        channel.writeAndFlush(
            DatagramPacket(Unpooled.wrappedBuffer(bytes), to),
            channel.voidPromise()
        )
    }

    private inner class Handler : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            try {
                onFrame(decodeFrame(ByteBufUtil.getBytes(packet.content())), packet.sender())
            } catch (_: ProtocolException) {
                malformedCount++
            }
        }

        // An unreachable receiver causes an error on the socket, which stays usable.
        @Deprecated("Deprecated in Java")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) = Unit
    }
}
