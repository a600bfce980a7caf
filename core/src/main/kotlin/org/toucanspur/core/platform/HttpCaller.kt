/*
 * Interface for HTTP calls to external services. The daemon implements it on its own event loop;
 * tests use fakes.
 */
package org.toucanspur.core.platform

import com.github.michaelbull.result.Result

/**
 * A request to [address] (HOST:PORT); [target] is the path with the query. [mayReuseConnection] is
 * for calls that may safely be sent twice, as happens when the server has closed the reused
 * connection.
 */
class HttpCall(
    val address: String,
    val method: String,
    val target: String,
    val timeoutMillis: Long,
    val body: ByteArray? = null,
    val contentType: String? = null,
    val mayReuseConnection: Boolean = false
)

/** A response with its complete body. */
class HttpReply(val status: Int, val body: ByteArray) {
    /** Returns the body as UTF-8 text. */
    fun text(): String = body.decodeToString()

    /** Whether the status is 2xx. */
    val isSuccess: Boolean get() = status in SUCCESS

    private companion object {
        val SUCCESS = 200..299
    }
}

/** Reason why a call got no response. */
sealed interface HttpFailure {
    /** Description for log lines. */
    val message: String

    /** The connection failed; nothing was sent. */
    data class NotConnected(val reason: String) : HttpFailure {
        override val message = "not connected ($reason)"
    }

    /** The call was sent and may have taken effect, but no response was received. */
    data class NoResponse(val reason: String) : HttpFailure {
        override val message = "no response ($reason)"
    }
}

/** Makes HTTP calls. */
fun interface HttpCaller {
    /** Makes one call; a response with any status, including an error status, is a success. */
    suspend fun call(call: HttpCall): Result<HttpReply, HttpFailure>
}
