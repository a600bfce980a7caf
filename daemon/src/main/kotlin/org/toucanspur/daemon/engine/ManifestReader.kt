/*
 * Reads copies of the manifest of a version, from the origin or, while that does not respond, from
 * other agents.
 */
package org.toucanspur.daemon.engine

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.weights.PieceCountAgreement
import org.toucanspur.core.weights.PieceManifest
import org.toucanspur.core.weights.PieceOrigin
import org.toucanspur.core.weights.isWellFormed
import org.toucanspur.schema.PieceQuery
import org.toucanspur.schema.VmId

/** Piece index in a [PieceQuery] that requests the manifest. */
const val MANIFEST_INDEX = -1

/**
 * Reads the manifest of [key], which is expected to have [expectedCount] digests; null if nothing
 * is known of their number. [agents] are all that may hold a copy. Confined to the event loop.
 */
class ManifestReader(
    private val key: VersionKey,
    private val deps: TransferDependencies,
    private val origin: PieceOrigin,
    private val expectedCount: Int?,
    private val agents: () -> List<VmId>
) {
    private var agentAttempts = 0

    /** Returns a manifest whose number of pieces more than one source names. */
    suspend fun await(): PieceManifest {
        val counts = PieceCountAgreement(expectedCount)
        while (true) {
            deps.cache.manifest(key)?.let { return it }
            val copy = readFromOrigin()
            if (copy != null && counts.add(copy)) return copy
            // Agents pass on only manifests whose number is agreed.
            val passedOn = if (copy == null) readFromAgent() else null
            if (passedOn != null && (expectedCount == null || counts.add(passedOn))) return passedOn
            delay(RETRY_MILLIS)
        }
    }

    /** Returns one more copy, or null if there is none at present. */
    suspend fun readCopy(): PieceManifest? = readFromOrigin() ?: readFromAgent()

    private suspend fun readFromOrigin(): PieceManifest? {
        val copy = origin.manifest(key.model, key.version).getOrElse {
            logFailure(it.message)
            return null
        }
        return wellFormed(copy)
    }

    private suspend fun readFromAgent(): PieceManifest? {
        val others = agents().filter { it != deps.self }
        if (others.isEmpty()) return null
        val query = PieceQuery(key.model, key.version, MANIFEST_INDEX)
        val reply = deps.client.fetch(others[agentAttempts++ % others.size], query)
            ?.takeIf { it.bytes.isNotEmpty() } ?: return null
        return try {
            wellFormed(Json.decodeFromString<PieceManifest>(reply.bytes.decodeToString()))
        } catch (e: SerializationException) {
            logFailure("copy of an agent is malformed: ${e.message}")
            null
        }
    }

    private fun wellFormed(copy: PieceManifest): PieceManifest? {
        if (VersionKey(copy.model, copy.version) == key && copy.isWellFormed) return copy
        logFailure("copy is of another version, or a digest is malformed")
        return null
    }

    private fun logFailure(reason: String) =
        deps.log.event(EventCode.OBJECT_API_UNAVAILABLE, isEssential = false) {
            put("what", "manifest")
            put("reason", reason)
        }

    private companion object {
        const val RETRY_MILLIS = 200L
    }
}
