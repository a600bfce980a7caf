/*
 * Fingerprints of a call, by which requests that crash endpoints are recognised.
 */
package org.toucanspur.daemon.gateway

import org.toucanspur.core.gateway.Fingerprint
import org.toucanspur.core.gateway.partFingerprint
import org.toucanspur.core.gateway.requestFingerprint

/** Fingerprints of [call]; computed when they are needed. */
class CallFingerprints(private val call: Call) {
    /** What the call has in common with others that may crash endpoints. */
    val parts: List<Fingerprint> by lazy(LazyThreadSafetyMode.NONE) {
        call.metadata.promptParts.map { partFingerprint(call.service.id, it) }
    }

    /** What identifies the call when a caller repeats it. */
    val own: Fingerprint by lazy(LazyThreadSafetyMode.NONE) {
        requestFingerprint(
            call.service.id,
            call.organisation?.id,
            call.request.head.method().name(),
            call.request.head.uri(),
            call.request.body
        )
    }

    /** All of them. */
    val all: List<Fingerprint> get() = parts + own
}
