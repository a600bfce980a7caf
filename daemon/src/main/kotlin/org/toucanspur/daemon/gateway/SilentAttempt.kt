/*
 * An attempt that is set aside while its call may be sent to another endpoint.
 */
package org.toucanspur.daemon.gateway

import io.netty.handler.codec.http.HttpResponse
import java.io.ByteArrayOutputStream
import org.toucanspur.core.gateway.EndpointRun
import org.toucanspur.core.gateway.EventStreamSplitter
import org.toucanspur.core.gateway.FleetEndpoint

/** The state of an attempt whose endpoint has gone silent within its response. */
class SilentAttempt(
    val endpoint: FleetEndpoint,
    val run: EndpointRun?,
    val exchange: EndpointExchange,
    val sentMillis: Long,
    val versionMin: Long,
    val weightVersion: Long?,
    val eventSplitter: EventStreamSplitter?,
    val attemptEvents: Int,
    val responseHead: HttpResponse?,
    val bufferedBody: ByteArrayOutputStream,
    val isSealed: Boolean
) {
    /** Bytes of the response that are not relayed yet. */
    val bufferedBytes: Int get() = eventSplitter?.capacityBytes ?: bufferedBody.size()

    /**
     * Whether the response is complete now that it has ended. An endpoint that closes its
     * connection after a silence, or ends within an event, may have crashed. One that ends a
     * response of a known length has completed it.
     */
    val isComplete: Boolean
        get() = exchange.hasLength && eventSplitter?.isInsideEvent != true
}
