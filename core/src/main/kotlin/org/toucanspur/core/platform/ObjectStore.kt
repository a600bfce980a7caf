/*
 * Interfaces to the services of the platform. Implementations use the platform's protocols; tests
 * use fakes.
 */
package org.toucanspur.core.platform

import com.github.michaelbull.result.Result
import org.toucanspur.schema.ObjectRecord
import org.toucanspur.schema.VmRecord

/** Version of an object that does not exist. */
const val ABSENT_VERSION = 0L

/** Reason why a call to the object API failed. */
sealed interface StoreError {
    /** Description with the remedy. */
    val message: String

    /** The object does not have the expected version; nothing was written. */
    data class Conflict(val key: String) : StoreError {
        override val message = "object \"$key\" was changed concurrently; read it again and retry"
    }

    /** The call did not take effect. */
    data class Unavailable(val reason: String) : StoreError {
        override val message = "object API is unavailable ($reason); retry later"
    }

    /** The call may have taken effect; the response was lost. */
    data class OutcomeUnknown(val reason: String) : StoreError {
        override val message = "response of the object API was lost ($reason); read the object back"
    }
}

/** The platform's object API. */
interface ObjectStore {
    /** Reads an object; null when it does not exist. */
    suspend fun read(key: String): Result<ObjectRecord?, StoreError>

    /** Writes an object if its version is [expectedVersion]; returns the new version. */
    suspend fun write(key: String, value: String, expectedVersion: Long): Result<Long, StoreError>

    /** Waits for a version of the object above [aboveVersion]; returns null after [waitMillis]. */
    suspend fun watch(
        key: String,
        aboveVersion: Long,
        waitMillis: Long
    ): Result<ObjectRecord?, StoreError>

    /** Lists all objects whose key starts with [prefix]. */
    suspend fun list(prefix: String): Result<List<ObjectRecord>, StoreError>
}

/** The platform's list of VMs; it may be out of date. */
fun interface VmList {
    /** Reads the current list. */
    suspend fun read(): Result<List<VmRecord>, StoreError>
}

/** The platform's weight store. */
fun interface WeightStore {
    /** Fetches a blob by digest; the caller must verify it. */
    suspend fun fetch(digest: String): Result<ByteArray, StoreError>
}

/** Keys of the objects that the system stores. */
object ObjectKeys {
    /** The active document. */
    fun document(environment: String): String = "environments/$environment/document"

    /** An earlier document. */
    fun history(environment: String, revision: Long): String =
        "environments/$environment/history/${revision.toString().padStart(REVISION_DIGITS, '0')}"

    /** Prefix of all earlier documents. */
    fun historyPrefix(environment: String): String = "environments/$environment/history/"

    /** The lease on the endpoint of a VM. */
    fun lease(environment: String, vm: String): String = "environments/$environment/leases/$vm"

    /** Rollout state of a release in a pool. */
    fun rollout(environment: String, pool: String): String =
        "environments/$environment/rollouts/$pool"

    /** The claim of an idempotency key; the caller passes its digest. */
    fun claim(environment: String, keyDigest: String): String =
        "environments/$environment/claims/$keyDigest"

    /** Crash counts of all request fingerprints. */
    fun poison(environment: String): String = "environments/$environment/poison"

    private const val REVISION_DIGITS = 10
}
