/*
 * The platform's services as the system sees them. Implementations speak the platform's protocols;
 * tests use small fakes.
 */
package org.toucanspur.core.platform

import com.github.michaelbull.result.Result
import org.toucanspur.schema.ObjectRecord
import org.toucanspur.schema.VmRecord

/** Version of an object that does not exist. */
const val ABSENT_VERSION = 0L

/** Why a call to the object API gave no result. */
sealed interface StoreError {
    /** What to do about the error. */
    val message: String

    /** The object has another version than expected; nothing was written. */
    data class Conflict(val key: String) : StoreError {
        override val message = "object \"$key\" was changed meanwhile; read it and decide again"
    }

    /** The call did not take effect. */
    data class Unavailable(val reason: String) : StoreError {
        override val message = "object API is unavailable ($reason); retry later"
    }

    /** The call may have taken effect; its answer was lost. */
    data class OutcomeUnknown(val reason: String) : StoreError {
        override val message = "answer of the object API was lost ($reason); read the object back"
    }
}

/** The platform's object API. */
interface ObjectStore {
    /** Reads an object; null when it does not exist. */
    suspend fun read(key: String): Result<ObjectRecord?, StoreError>

    /** Writes an object if its version is [expectedVersion]; returns the new version. */
    suspend fun write(key: String, value: String, expectedVersion: Long): Result<Long, StoreError>

    /** Waits until the object has a version above [aboveVersion]; null when none came in time. */
    suspend fun watch(
        key: String,
        aboveVersion: Long,
        waitMillis: Long
    ): Result<ObjectRecord?, StoreError>

    /** All objects whose key starts with [prefix]. */
    suspend fun list(prefix: String): Result<List<ObjectRecord>, StoreError>
}

/** The platform's list of VMs; it lags behind the truth. */
fun interface VmList {
    /** The VMs as the platform knows them now. */
    suspend fun read(): Result<List<VmRecord>, StoreError>
}

/** The platform's weight store. */
fun interface WeightStore {
    /** Bytes of a blob by digest; the caller verifies them. */
    suspend fun fetch(digest: String): Result<ByteArray, StoreError>
}

/** Keys of the system's own objects. */
object ObjectKeys {
    /** The accepted document. */
    fun document(environment: String): String = "environments/$environment/document"

    /** An earlier document. */
    fun history(environment: String, revision: Long): String =
        "environments/$environment/history/${revision.toString().padStart(REVISION_DIGITS, '0')}"

    /** Prefix of all earlier documents. */
    fun historyPrefix(environment: String): String = "environments/$environment/history/"

    /** The lease on the endpoint of a VM. */
    fun lease(environment: String, vm: String): String = "environments/$environment/leases/$vm"

    /** Progress of a release in a pool. */
    fun rollout(environment: String, pool: String): String =
        "environments/$environment/rollouts/$pool"

    /** The claim of an idempotency key, which is hashed by the caller. */
    fun claim(environment: String, keyDigest: String): String =
        "environments/$environment/claims/$keyDigest"

    /** Charges of all fingerprints. */
    fun poison(environment: String): String = "environments/$environment/poison"

    private const val REVISION_DIGITS = 10
}
