/*
 * One HTTP call, as the clients of outside services need it. The daemon implements it over its own
 * event loop; tests use fakes.
 */
package org.toucanspur.core.platform

import com.github.michaelbull.result.Result

/**
 * A call to [address] (HOST:PORT); [target] is the path with its query. A call that
 * [mayReuseConnection] has no harm from being sent twice, as happens when the connection turns out
 * to be closed at the other end.
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

/** An answer with its whole body. */
class HttpReply(val status: Int, val body: ByteArray) {
    /** The body as UTF-8 text. */
    fun text(): String = body.decodeToString()

    /** Whether the status is 2xx. */
    val isSuccess: Boolean get() = status in SUCCESS

    private companion object {
        val SUCCESS = 200..299
    }
}

/** Why a call has no answer. */
sealed interface HttpFailure {
    /** What happened, for a log line. */
    val message: String

    /** Nothing was sent. */
    data class NotConnected(val reason: String) : HttpFailure {
        override val message = "not connected ($reason)"
    }

    /** The call was sent and may have taken effect. */
    data class NoAnswer(val reason: String) : HttpFailure {
        override val message = "no answer ($reason)"
    }
}

/** Makes HTTP calls. */
fun interface HttpCaller {
    /** Makes one call; a status of any kind is a reply. */
    suspend fun call(call: HttpCall): Result<HttpReply, HttpFailure>
}
