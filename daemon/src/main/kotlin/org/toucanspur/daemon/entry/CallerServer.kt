/*
 * The HTTP server for callers. Its buffers per connection are small, so that a slow caller applies
 * backpressure to the relay instead of filling memory. Requests with more than one body length are
 * rejected, to prevent request smuggling.
 */
package org.toucanspur.daemon.entry

import io.ktor.server.application.serverConfig
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.ktor.server.routing.Route
import io.ktor.server.routing.routing
import io.netty.channel.ChannelOption
import io.netty.channel.WriteBufferWaterMark
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory
import io.netty.handler.codec.http.HttpServerCodec
import org.toucanspur.schema.ListenSection

private const val SEND_BUFFER_BYTES = 16 * 1024
private const val WATER_MARK_LOW_BYTES = 4 * 1024
private const val WATER_MARK_HIGH_BYTES = 8 * 1024
private const val NO_TIMEOUT = 0

/** Creates, but does not start, a server with [routes] on the HTTP port of [listen]. */
internal fun callerServer(
    listen: ListenSection,
    routes: Route.() -> Unit
): EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration> =
    embeddedServer(Netty, serverConfig { module { routing { routes() } } }) {
        connector {
            host = listen.host
            port = listen.httpPort
        }
        responseWriteTimeoutSeconds = NO_TIMEOUT
        httpServerCodec = ::strictHttpCodec
        configureBootstrap = {
            childOption(ChannelOption.TCP_NODELAY, true)
            childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
            childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                WriteBufferWaterMark(WATER_MARK_LOW_BYTES, WATER_MARK_HIGH_BYTES)
            )
        }
    }

private fun strictHttpCodec(): HttpServerCodec =
    HttpServerCodec(HttpDecoderConfig().setHeadersFactory(StrictHeadersFactory))

private object StrictHeadersFactory : HttpHeadersFactory {
    override fun newHeaders(): HttpHeaders = StrictHeaders()

    override fun newEmptyHeaders(): HttpHeaders = StrictHeaders()
}

// The decoder would use one of several conflicting lengths. A proxy in front of it may have used
// another one (request smuggling), so the request is rejected when the second length is parsed.
private class StrictHeaders : DefaultHttpHeaders() {
    override fun add(name: CharSequence, value: Any): HttpHeaders {
        val isConflicting = when {
            HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name) ->
                contains(HttpHeaderNames.TRANSFER_ENCODING) ||
                    contains(HttpHeaderNames.CONTENT_LENGTH)
            HttpHeaderNames.TRANSFER_ENCODING.contentEqualsIgnoreCase(name) ->
                contains(HttpHeaderNames.CONTENT_LENGTH)
            else -> false
        }
        require(!isConflicting) { "request has more than one body length; send one" }
        return super.add(name, value)
    }
}
