/*
 * Content of the store object that holds the lease for duties.
 */
package org.toucanspur.core.duties

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.toucanspur.schema.FencingNumber
import org.toucanspur.schema.VmId

/** Name of the store object that holds the lease. */
const val LEASE_OBJECT = "lease"

/**
 * The lease of [holder], whose process is [incarnation]. [renewals] differs in each write of a
 * holder. [era] is that of the store for which it was written: another one shows that the store was
 * restored, or that an old write was executed after that. [gapUntilMillis] is as in [DutyLease].
 */
@Serializable
data class LeaseContent(
    val holder: VmId,
    val incarnation: Long,
    val fencing: FencingNumber,
    val renewals: Long,
    val era: Long,
    val gapUntilMillis: Long,
    val record: DutyRecord
)

/** The object of the lease as read from the store. */
sealed interface LeaseObject {
    /** Its revision; null if there is no object. */
    val revision: Long?

    /** There is no object. */
    data object Absent : LeaseObject {
        override val revision = null
    }

    /** The object cannot be parsed. */
    data class Unreadable(override val revision: Long) : LeaseObject

    /** The object has [content]. */
    data class Readable(override val revision: Long, val content: LeaseContent) : LeaseObject
}

// Fields of later versions are ignored.
private val json = Json { ignoreUnknownKeys = true }

/** Text of [content] for the store. */
fun encodeLease(content: LeaseContent): String = json.encodeToString(content)

/** Reads the [text] of an object with [revision]. */
fun decodeLease(revision: Long, text: String?): LeaseObject = try {
    val content = json.decodeFromString<LeaseContent>(text.orEmpty())
    val isValid = content.holder.value.isNotEmpty() && content.fencing.value > 0
    if (isValid) LeaseObject.Readable(revision, content) else LeaseObject.Unreadable(revision)
} catch (_: SerializationException) {
    LeaseObject.Unreadable(revision)
}
