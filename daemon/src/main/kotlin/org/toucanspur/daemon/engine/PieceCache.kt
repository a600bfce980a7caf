/*
 * In-memory cache of verified pieces of weight versions. Pieces are addressed by digest, so that
 * versions with a piece in common share one copy of it.
 */
package org.toucanspur.daemon.engine

import org.toucanspur.core.weights.PieceManifest
import org.toucanspur.schema.ModelId

/** Identifies a weight version of a model. */
data class VersionKey(val model: ModelId, val version: Long)

/** Caches the pieces of the latest versions; confined to the event loop. */
class PieceCache {
    private val manifests = LinkedHashMap<VersionKey, PieceManifest>()
    private val piecesByDigest = HashMap<String, ByteArray>()

    /** The manifest of [key], or null if it has not been added. */
    fun manifest(key: VersionKey): PieceManifest? = manifests[key]

    /** Adds a manifest; evicts the lowest version when more than [VERSIONS_MAX] are cached. */
    fun addManifest(manifest: PieceManifest) {
        val key = VersionKey(manifest.model, manifest.version)
        if (key in manifests) return
        manifests[key] = manifest
        while (manifests.size > VERSIONS_MAX) {
            manifests.remove(manifests.keys.minBy { it.version })
            val referencedDigests = manifests.values.flatMap { it.digests }.toSet()
            piecesByDigest.keys.retainAll(referencedDigests)
        }
    }

    /** Stores [bytes] if they match the digest of the piece at [index]; returns whether they do. */
    fun put(key: VersionKey, index: Int, bytes: ByteArray): Boolean {
        val manifest = manifests[key] ?: return false
        if (!manifest.verifies(index, bytes)) return false
        piecesByDigest.putIfAbsent(manifest.digests[index], bytes)
        return true
    }

    /** The piece at [index], or null if it is not cached. */
    fun get(key: VersionKey, index: Int): ByteArray? =
        manifests[key]?.digests?.getOrNull(index)?.let(piecesByDigest::get)

    /** Indexes of the cached pieces of [key]. */
    fun heldIndexes(key: VersionKey): List<Int> {
        val manifest = manifests[key] ?: return emptyList()
        return manifest.digests.indices.filter { manifest.digests[it] in piecesByDigest }
    }

    /** Whether all pieces of [key] are cached; false if its manifest is unknown. */
    fun isComplete(key: VersionKey): Boolean {
        val manifest = manifests[key] ?: return false
        return manifest.digests.all { it in piecesByDigest }
    }

    private companion object {
        const val VERSIONS_MAX = 3
    }
}
