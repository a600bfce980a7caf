/*
 * Limits the number of header fields of a message. A decoder limits the bytes of a head, but a
 * field of five bytes occupies about 200 bytes of memory.
 */
package org.toucanspur.daemon.net

import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory

// Objects for the entry, the name and the value of a field, without their characters.
private const val FIELD_BYTES = 200L

/** Headers with at most [fieldsMax] fields. */
class LimitedHeaders(private val fieldsMax: Int) : DefaultHttpHeaders() {
    private var fields = 0

    /** Memory that the fields occupy. */
    var heldBytes = 0L
        private set

    override fun add(name: CharSequence, value: Any): HttpHeaders {
        if (++fields > fieldsMax) {
            throw TooLongFrameException("more than $fieldsMax header fields")
        }
        heldBytes += FIELD_BYTES + name.length + ((value as? CharSequence)?.length ?: 0)
        return super.add(name, value)
    }
}

/** Creates the headers of one decoder, with at most [fieldsMax] fields each. */
class HeaderFieldLimit(private val fieldsMax: Int) : HttpHeadersFactory {
    /** Headers created last. */
    var latest = LimitedHeaders(fieldsMax)
        private set

    override fun newHeaders(): HttpHeaders = LimitedHeaders(fieldsMax).also { latest = it }

    override fun newEmptyHeaders(): HttpHeaders = newHeaders()
}
