/*
 * A validated request of a caller.
 */
package org.toucanspur.daemon.entry

import org.toucanspur.core.weights.sha256
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.schema.Delivery
import org.toucanspur.schema.HeaderField
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.PoolSection
import org.toucanspur.schema.Priority
import org.toucanspur.schema.RequestId

/** A validated request with its target pool. */
class CallerRequest(
    val id: RequestId,
    val organisation: OrganisationId,
    val priority: Priority,
    val pool: PoolSection,
    val delivery: Delivery,
    val method: String,
    val path: String,
    val headers: List<HeaderField>,
    val body: ByteArray,
    val routingPrefix: String?,
    val idempotencyKey: String?,
    val deadlineMillis: Long
) {
    /** Digest of pool, method, path and body; equal for repeated submissions of a request. */
    val fingerprint: String by lazy {
        sha256("${pool.id}\n$method\n$path\n".encodeToByteArray() + body)
    }

    /** Time until the deadline; negative after it. */
    fun remainingMillis(): Long = deadlineMillis - monotonicMillis()
}
