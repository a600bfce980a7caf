/*
 * Frames between processes as datagrams. A lost one is made up for by the next.
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

/** Sends and receives frames; malformed datagrams are counted and dropped. */
class Datagrams(
    loop: NetLoop,
    address: InetSocketAddress,
    private val onFrame: (Frame, InetSocketAddress) -> Unit
) {
    /** Datagrams that were no frame. */
    var malformed = 0L
        private set

    private val channel: Channel = loop.datagrams(address, Handler()).sync().channel()

    /** Sends [frame]; nothing tells whether it arrives. */
    fun send(frame: Frame, to: InetSocketAddress) = sendEncoded(encodeFrame(frame), to)

    /** Sends one frame, encoded before, to several receivers. */
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
                malformed++
            }
        }

        // A receiver that is down shows as an error on the socket, which stays usable.
        @Deprecated("Deprecated in Java")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) = Unit
    }
}
