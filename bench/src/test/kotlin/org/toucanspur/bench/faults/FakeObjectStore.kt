/*
 * An object API in memory, with faults per call.
 */
package org.toucanspur.bench.faults

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.toucanspur.core.platform.ObjectStore
import org.toucanspur.core.platform.StoreError
import org.toucanspur.schema.ObjectRecord

/** What strikes a call. */
internal enum class StoreFault { NONE, DOWN, LOST_ANSWER }

/** [faultOf] tells, for each call by its name, what strikes it. */
internal class FakeObjectStore(private val faultOf: (String) -> StoreFault) : ObjectStore {
    val objects = LinkedHashMap<String, ObjectRecord>()
    private var versions = 0L

    override suspend fun read(key: String): Result<ObjectRecord?, StoreError> =
        when (faultOf("read $key")) {
            StoreFault.NONE -> Ok(objects[key])
            else -> Err(StoreError.Unavailable("fault"))
        }

    override suspend fun write(
        key: String,
        value: String,
        expectedVersion: Long
    ): Result<Long, StoreError> {
        val fault = faultOf("write $key")
        if (fault == StoreFault.DOWN) return Err(StoreError.Unavailable("fault"))
        val current = objects[key]?.version ?: 0
        if (current != expectedVersion) {
            return Err(
                if (fault ==
                    StoreFault.NONE
                ) {
                    StoreError.Conflict(key)
                } else {
                    StoreError.OutcomeUnknown("fault")
                }
            )
        }
        objects[key] = ObjectRecord(key, ++versions, value)
        return if (fault ==
            StoreFault.NONE
        ) {
            Ok(versions)
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
