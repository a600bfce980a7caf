/*
 * A caller's request after its checks.
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

/** What the entry knows of one request. */
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
    val prefix: String?,
    val idempotencyKey: String?,
    val deadlineMillis: Long
) {
    /** Digest of what the request does, which is the same for a repeated submission. */
    val fingerprint: String by lazy {
        sha256("${pool.id}\n$method\n$path\n".encodeToByteArray() + body)
    }

    /** Time left. */
    fun remainingMillis(): Long = deadlineMillis - monotonicMillis()
}
