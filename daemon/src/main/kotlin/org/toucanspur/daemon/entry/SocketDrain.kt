/*
 * Waits until the socket of a call has taken what was written. The HTTP server's own channels
 * accept up to 1 MiB per answer before they hold back, which would be held for every slow caller.
 */
package org.toucanspur.daemon.entry

import io.ktor.server.application.ApplicationCall
import io.ktor.server.netty.NettyApplicationCall
import io.ktor.server.routing.RoutingCall
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import java.io.IOException
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException
import kotlinx.coroutines.suspendCancellableCoroutine

/** The socket of one call. */
internal class SocketDrain(private val context: ChannelHandlerContext) {
    /** Suspends until everything written so far has left the process. */
    suspend fun await() {
        passEventLoop()
        suspendCancellableCoroutine { continuation ->
            // An empty buffer passes the HTTP encoder; its future completes after those before it.
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { future ->
                val cause = future.cause()
                if (cause == null) {
                    continuation.resume(Unit)
                } else {
                    continuation.resumeWithException(IOException("caller has gone", cause))
                }
            }
        }
    }

    // Lets the server's tasks, which move bytes from its channels to the socket, run first.
    private suspend fun passEventLoop() = suspendCancellableCoroutine { continuation ->
        context.executor().execute { continuation.resume(Unit) }
    }
}

/** The socket of [call]. */
internal fun socketDrainOf(call: ApplicationCall): SocketDrain {
    val engineCall = (call as RoutingCall).pipelineCall.engineCall as NettyApplicationCall
    return SocketDrain(engineCall.context)
}
