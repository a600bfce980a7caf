/*
 * Waits until written bytes have reached the socket of a call. The HTTP server's own channels
 * buffer up to 1 MiB per response before they apply backpressure, which would use that much memory
 * for each slow caller.
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

/** Awaits writes to the socket of one call. */
internal class SocketDrain(private val context: ChannelHandlerContext) {
    /** Suspends until everything written so far has been passed to the socket. */
    suspend fun await() {
        yieldToEventLoop()
        suspendCancellableCoroutine { continuation ->
            // The HTTP encoder lets an empty buffer through; its future completes after all
            // earlier writes.
            context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { future ->
                val cause = future.cause()
                if (cause == null) {
                    continuation.resume(Unit)
                } else {
                    continuation.resumeWithException(IOException("caller disconnected", cause))
                }
            }
        }
    }

    // Queues behind the server's tasks that copy bytes from its channels to the socket.
    private suspend fun yieldToEventLoop() = suspendCancellableCoroutine { continuation ->
        context.executor().execute { continuation.resume(Unit) }
    }
}

/** The [SocketDrain] of the connection of [call]. */
internal fun socketDrainOf(call: ApplicationCall): SocketDrain {
    val engineCall = (call as RoutingCall).pipelineCall.engineCall as NettyApplicationCall
    return SocketDrain(engineCall.context)
}
