/*
 * Interface for HTTP calls to external services. The daemon implements it on its own event loop;
 * tests use fakes.
 */
package org.toucanspur.core.platform

import com.github.michaelbull.result.Result

/**
 * A request to [address] (HOST:PORT); [target] is the path with the query. [mayReuseConnection] is
 * for calls that may safely be sent twice, as happens when the server has closed the reused
 * connection. [isStillValid] is for calls that depend on an earlier check: it is evaluated
 * immediately before the request is written, and nothing is sent once it is false. A response with
 * a body of more than [responseMaxBytes] is a failure, as is a connection that is not established
 * in [connectTimeoutMillis]. A response that is not complete in [timeoutMillis] is a failure too,
 * unless [transferLimits] allow it more time. [onBytes] is called when bytes of it have arrived.
 * While there is no connection, a further one is requested every [connectRetryMillis], and the
 * first one that is established is used.
 *
 * [validMillis] is for calls that must not arrive once it is not positive any more. Such a call is
 * sent only if the rest of its time-out is within that time. It is evaluated again while the call
 * is pending. The connection is closed with a reset in any case, also if the process is killed, so
 * that the system sends no bytes that wait in its buffers.
 */
class HttpCall(
    val address: String,
    val method: String,
    val target: String,
    val timeoutMillis: Long,
    val body: ByteArray? = null,
    val contentType: String? = null,
    val mayReuseConnection: Boolean = false,
    val isStillValid: () -> Boolean = { true },
    val responseMaxBytes: Int = RESPONSE_MAX_BYTES,
    val connectTimeoutMillis: Long = CONNECT_TIMEOUT_MILLIS,
    val connectRetryMillis: Long? = null,
    val transferLimits: TransferLimits? = null,
    val onBytes: () -> Unit = {},
    val headers: Map<String, String> = emptyMap(),
    val validMillis: (() -> Long)? = null
) {
    private companion object {
        // A listing of the store is about 1 MB, and so is a configuration.
        const val RESPONSE_MAX_BYTES = 8 * 1024 * 1024

        // TCP retransmits a lost connection request only after a second.
        const val CONNECT_TIMEOUT_MILLIS = 1000L
    }
}

/** A response with its complete body; names of [headers] are in lower case. */
class HttpReply(
    val status: Int,
    val body: ByteArray,
    val headers: Map<String, String> = emptyMap()
) {
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

    /** The check that the call depends on became too old; nothing was sent. */
    data object Outdated : HttpFailure {
        override val message = "not sent (an earlier check became too old)"
    }

    /** The call was sent and may have taken effect, but no response was received. */
    data class NoResponse(val reason: String) : HttpFailure {
        override val message = "no response ($reason)"
    }

    /** The call was sent, and its response is larger than the call allows. */
    data class TooLarge(val maxBytes: Int) : HttpFailure {
        override val message = "response has more than $maxBytes bytes"
    }
}

/** Makes HTTP calls. */
fun interface HttpCaller {
    /** Makes one call; a response with any status, including an error status, is a success. */
    suspend fun call(call: HttpCall): Result<HttpReply, HttpFailure>
}
