/*
 * An in-memory object store with a fault per call.
 */
package org.toucanspur.bench.faults

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.toucanspur.core.platform.ObjectStore
import org.toucanspur.core.platform.StoreError
import org.toucanspur.schema.ObjectRecord

/** The fault injected into a call. */
internal enum class StoreFault { NONE, DOWN, LOST_RESPONSE }

/** [faultFor] returns the fault to inject into a call, given its operation and key. */
internal class FakeObjectStore(private val faultFor: (String) -> StoreFault) : ObjectStore {
    val objects = LinkedHashMap<String, ObjectRecord>()
    private var lastVersion = 0L

    override suspend fun read(key: String): Result<ObjectRecord?, StoreError> =
        when (faultFor("read $key")) {
            StoreFault.NONE -> Ok(objects[key])
            else -> Err(StoreError.Unavailable("fault"))
        }

    override suspend fun write(
        key: String,
        value: String,
        expectedVersion: Long
    ): Result<Long, StoreError> {
        val fault = faultFor("write $key")
        if (fault == StoreFault.DOWN) return Err(StoreError.Unavailable("fault"))
        val current = objects[key]?.version ?: 0
        if (current != expectedVersion) {
            return Err(
                if (fault == StoreFault.NONE) {
                    StoreError.Conflict(key)
                } else {
                    StoreError.OutcomeUnknown("fault")
                }
            )
        }
        objects[key] = ObjectRecord(key, ++lastVersion, value)
        return if (fault == StoreFault.NONE) {
            Ok(lastVersion)
        } else {
            Err(StoreError.OutcomeUnknown("fault"))
        }
    }

    override suspend fun watch(
        key: String,
        aboveVersion: Long,
        waitMillis: Long
    ): Result<ObjectRecord?, StoreError> = read(key)

    override suspend fun list(prefix: String): Result<List<ObjectRecord>, StoreError> =
        Ok(objects.values.filter { it.key.startsWith(prefix) })
}
