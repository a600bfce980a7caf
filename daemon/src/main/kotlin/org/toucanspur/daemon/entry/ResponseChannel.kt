/*
 * The body of a response as the HTTP server reads it. More bytes are read only when the previous
 * ones have been written to the socket, so that a slow caller applies backpressure to the relay and
 * the agent.
 */
package org.toucanspur.daemon.entry

import io.ktor.http.ContentType
import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.http.headers
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.InternalAPI
import kotlinx.io.Buffer
import kotlinx.io.IOException
import kotlinx.io.Source
import org.toucanspur.schema.Head

/** Reads the bytes of a response from its relay. */
@OptIn(InternalAPI::class)
internal class ResponseChannel(private val relay: ResponseRelay, private val drain: SocketDrain) :
    ByteReadChannel {
    private val buffer = Buffer()

    private var hasStarted = false

    @Volatile
    private var hasEnded = false

    @Volatile
    override var closedCause: Throwable? = null
        private set

    /** Whether the relay has delivered the complete response. */
    val isComplete: Boolean get() = hasEnded

    override val isClosedForRead: Boolean get() = buffer.exhausted() &&
        (hasEnded || closedCause != null)

    override val readBuffer: Source get() = buffer

    override suspend fun awaitContent(min: Int): Boolean {
        closedCause?.let { throw it }
        while (buffer.size < min && !hasEnded) readNext()
        return buffer.size >= min
    }

    private suspend fun readNext() {
        val bytes = try {
            if (hasStarted) drain.await()
            hasStarted = true
            relay.nextBytes()
        } catch (e: java.io.IOException) {
            closedCause = e
            throw e
        }
        if (bytes == null) hasEnded = true else buffer.write(bytes)
    }

    override fun cancel(cause: Throwable?) {
        if (closedCause == null) closedCause = cause ?: IOException("caller disconnected")
    }
}

/** A response with the status and headers that the agent sent. */
internal class ResponseContent(head: Head, private val channel: ResponseChannel) :
    OutgoingContent.ReadChannelContent() {
    override val status: HttpStatusCode = HttpStatusCode.fromValue(head.status)

    override val contentType: ContentType? = head.headers
        .find { it.name.equals(HttpHeaders.ContentType, ignoreCase = true) }
        ?.let { ContentType.parse(it.value) }

    override val headers: Headers = headers {
        head.headers
            .filterNot { it.name.equals(HttpHeaders.ContentType, ignoreCase = true) }
            .forEach { append(it.name, it.value) }
    }

    override fun readFrom(): ByteReadChannel = channel
}
