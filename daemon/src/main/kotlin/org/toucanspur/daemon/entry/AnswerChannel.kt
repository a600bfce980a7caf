/*
 * The body of an answer as the HTTP server reads it. The server asks for more only when the socket
 * has taken what it had, so that a slow caller holds back the relay and with it the agent.
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

/** Pulls the bytes of an answer from its relay. */
@OptIn(InternalAPI::class)
internal class AnswerChannel(private val relay: AnswerRelay, private val drain: SocketDrain) :
    ByteReadChannel {
    private val buffer = Buffer()

    private var hasStarted = false

    @Volatile
    private var isEnded = false

    @Volatile
    override var closedCause: Throwable? = null
        private set

    /** Whether the caller has been given the whole answer. */
    val isWhole: Boolean get() = isEnded

    override val isClosedForRead: Boolean get() = buffer.exhausted() &&
        (isEnded || closedCause != null)

    override val readBuffer: Source get() = buffer

    override suspend fun awaitContent(min: Int): Boolean {
        closedCause?.let { throw it }
        while (buffer.size < min && !isEnded) pull()
        return buffer.size >= min
    }

    private suspend fun pull() {
        val bytes = try {
            if (hasStarted) drain.await()
            hasStarted = true
            relay.next()
        } catch (e: java.io.IOException) {
            closedCause = e
            throw e
        }
        if (bytes == null) isEnded = true else buffer.write(bytes)
    }

    override fun cancel(cause: Throwable?) {
        if (closedCause == null) closedCause = cause ?: IOException("caller has gone")
    }
}

/** An answer with its head as the agent sent it. */
internal class AnswerContent(head: Head, private val channel: AnswerChannel) :
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
