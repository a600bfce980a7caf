/*
 * Answers of the system's own, as problem documents (RFC 9457).
 */
package org.toucanspur.daemon.gateway

import java.util.Locale
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.toucanspur.core.gateway.HeaderLine
import org.toucanspur.core.gateway.RequestCodec
import org.toucanspur.schema.RequestId

/** An answer with [status]; a 503 says that the request did not run. */
class Rejection(val status: Int, val reason: String, val retryAfterMillis: Long? = null) {
    /** Headers of the answer. */
    fun headers(codec: RequestCodec, id: RequestId): List<HeaderLine> = buildList {
        add(HeaderLine("Content-Type", "application/problem+json"))
        if (id.value.isNotEmpty()) addAll(codec.callerHeaders(id))
        retryAfterMillis?.let {
            val seconds = it / MILLIS_PER_SECOND
            add(HeaderLine("Retry-After", String.format(Locale.ROOT, "%.3f", seconds)))
        }
    }

    /** The problem document. */
    fun body(): ByteArray = buildJsonObject {
        put("title", reason)
        put("status", status)
        put("ran", if (status == UNAVAILABLE) "no" else "unknown")
    }.toString().encodeToByteArray()

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
        const val UNAVAILABLE = 503
    }
}
