/*
 * Drops interim (1xx) responses, which the codec decodes like final ones, including an end.
 */
package org.toucanspur.daemon.net

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.net.ProtocolException

/** Passes on final responses only; a switch of the protocol, which no client requests, fails. */
class InterimResponseFilter : ChannelInboundHandlerAdapter() {
    private var isInterim = false

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is HttpResponse) isInterim = isInterim(message)
        if (!isInterim || message !is HttpObject) {
            context.fireChannelRead(message)
            return
        }
        if (message is LastHttpContent) isInterim = false
        ReferenceCountUtil.release(message)
        if (message is HttpResponse && message.status() == HttpResponseStatus.SWITCHING_PROTOCOLS) {
            context.fireExceptionCaught(ProtocolException("response switches the protocol"))
        }
    }

    private fun isInterim(response: HttpResponse): Boolean = response.decoderResult().isSuccess &&
        response.status().codeClass() == HttpStatusClass.INFORMATIONAL
}
