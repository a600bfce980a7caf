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

    // Indexes whose digest occurs more than once, and whose piece was not stored.
    private val ambiguous = HashMap<VersionKey, MutableSet<Int>>()

    /** The manifest of [key], or null if it has not been added. */
    fun manifest(key: VersionKey): PieceManifest? = manifests[key]

    /** Adds a manifest; evicts the lowest version when more than [VERSIONS_MAX] are cached. */
    fun addManifest(manifest: PieceManifest) {
        val key = VersionKey(manifest.model, manifest.version)
        if (key in manifests) return
        replaceManifest(manifest)
        while (manifests.size > VERSIONS_MAX) {
            val lowest = manifests.keys.minBy { it.version }
            manifests.remove(lowest)
            ambiguous.remove(lowest)
            val referencedDigests = manifests.values.flatMap { it.digests }.toSet()
            piecesByDigest.keys.retainAll(referencedDigests)
        }
    }

    /** Adds a manifest, or replaces one of the same length; pieces that match it remain cached. */
    fun replaceManifest(manifest: PieceManifest) {
        val key = VersionKey(manifest.model, manifest.version)
        val previous = manifests[key]
        val kept = heldIndexes(key).filter { previous?.digests?.get(it) == manifest.digests[it] }
        manifests[key] = manifest
        ambiguous[key] = (manifest.repeatedIndexes() - kept.toSet()).toMutableSet()
    }

    // A digest that occurs twice may be wrong at one of its indexes. It shows that a piece is
    // cached only if the piece was stored at that index.
    private fun PieceManifest.repeatedIndexes(): List<Int> {
        val counts = digests.groupingBy { it }.eachCount()
        return digests.indices.filter { counts.getValue(digests[it]) > 1 }
    }

    /** Stores [bytes] if they match the digest of the piece at [index]; returns whether they do. */
    fun put(key: VersionKey, index: Int, bytes: ByteArray): Boolean {
        val manifest = manifests[key] ?: return false
        if (!manifest.verifies(index, bytes)) return false
        piecesByDigest.putIfAbsent(manifest.digests[index], bytes)
        ambiguous[key]?.remove(index)
        return true
    }

    /** The piece at [index], or null if it is not cached. */
    fun get(key: VersionKey, index: Int): ByteArray? {
        if (isAmbiguous(key, index)) return null
        return manifests[key]?.digests?.getOrNull(index)?.let(piecesByDigest::get)
    }

    /** Indexes of the cached pieces of [key]. */
    fun heldIndexes(key: VersionKey): List<Int> {
        val manifest = manifests[key] ?: return emptyList()
        return manifest.digests.indices.filter { isHeld(key, manifest, it) }
    }

    /** Whether all pieces of [key] are cached; false if its manifest is unknown. */
    fun isComplete(key: VersionKey): Boolean {
        val manifest = manifests[key] ?: return false
        return manifest.digests.indices.all { isHeld(key, manifest, it) }
    }

    private fun isHeld(key: VersionKey, manifest: PieceManifest, index: Int): Boolean =
        manifest.digests[index] in piecesByDigest && !isAmbiguous(key, index)

    private fun isAmbiguous(key: VersionKey, index: Int): Boolean =
        ambiguous[key]?.contains(index) ?: false

    private companion object {
        const val VERSIONS_MAX = 3
    }
}
