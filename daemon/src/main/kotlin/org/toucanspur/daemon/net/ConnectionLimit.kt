/*
 * Limits the connections at a port for other processes. A connection that is silent, or that does
 * not take what is sent to it, must not keep new ones out.
 */
package org.toucanspur.daemon.net

import io.netty.channel.Channel
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import org.toucanspur.daemon.monotonicMillis

/**
 * Keeps at most [connectionsMax] connections, and none that has completed nothing for
 * [silenceMaxMillis]. Confined to [loop].
 */
class ConnectionLimit(
    private val loop: NettyEventLoop,
    private val connectionsMax: Int,
    private val silenceMaxMillis: Long
) {
    private val lastUseMillis = LinkedHashMap<Channel, Long>()

    init {
        loop.scheduleRepeating("silent connections", CHECK_MILLIS, ::closeSilent)
    }

    private fun closeSilent() {
        val latest = monotonicMillis() - silenceMaxMillis
        // The least recently used is the first one.
        lastUseMillis.entries.takeWhile { it.value < latest }.map { it.key }.forEach(::close)
    }

    private fun close(channel: Channel) {
        lastUseMillis -= channel
        channel.close()
    }

    private fun onUse(channel: Channel) {
        if (lastUseMillis.remove(channel) != null) lastUseMillis[channel] = monotonicMillis()
    }

    /** Returns the handler of a new connection. Only what is written to it counts as its use. */
    fun handler(): ChannelHandler = object : ChannelDuplexHandler() {
        override fun channelActive(context: ChannelHandlerContext) {
            if (lastUseMillis.size >= connectionsMax) close(lastUseMillis.keys.first())
            lastUseMillis[context.channel()] = monotonicMillis()
            super.channelActive(context)
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            lastUseMillis -= context.channel()
            super.channelInactive(context)
        }

        override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
            val written = promise.unvoid()
            written.addListener { if (it.isSuccess) onUse(context.channel()) }
            super.write(context, message, written)
        }
    }

    private companion object {
        const val CHECK_MILLIS = 1000L
    }
}
