/*
 * Verified pieces of weight versions in memory. Pieces that two versions share are kept once.
 */
package org.toucanspur.daemon.engine

import org.toucanspur.core.weights.PieceManifest
import org.toucanspur.schema.ModelId

/** A version of a model. */
data class VersionKey(val model: ModelId, val version: Long)

/** Pieces of the latest versions; confined to the event loop. */
class PieceLibrary {
    private val manifests = LinkedHashMap<VersionKey, PieceManifest>()
    private val byDigest = HashMap<String, ByteArray>()

    /** The manifest of [key], once known. */
    fun manifest(key: VersionKey): PieceManifest? = manifests[key]

    /** Adds a manifest; drops the oldest version when there are more than two. */
    fun add(manifest: PieceManifest) {
        val key = VersionKey(manifest.model, manifest.version)
        if (key in manifests) return
        manifests[key] = manifest
        while (manifests.size > VERSIONS_MAX) {
            manifests.remove(manifests.keys.minBy { it.version })
            val used = manifests.values.flatMap { it.digests }.toSet()
            byDigest.keys.retainAll(used)
        }
    }

    /** Keeps [bytes] if they are the piece at [index]; returns whether they are. */
    fun put(key: VersionKey, index: Int, bytes: ByteArray): Boolean {
        val manifest = manifests[key] ?: return false
        if (!manifest.verifies(index, bytes)) return false
        byDigest.putIfAbsent(manifest.digests[index], bytes)
        return true
    }

    /** The piece at [index]; null when it is not here. */
    fun get(key: VersionKey, index: Int): ByteArray? =
        manifests[key]?.digests?.getOrNull(index)?.let(byDigest::get)

    /** Indexes of the pieces that are here. */
    fun held(key: VersionKey): List<Int> {
        val manifest = manifests[key] ?: return emptyList()
        return manifest.digests.indices.filter { manifest.digests[it] in byDigest }
    }

    /** Whether all pieces of [key] are here. */
    fun isComplete(key: VersionKey): Boolean {
        val manifest = manifests[key] ?: return false
        return manifest.digests.all { it in byDigest }
    }

    private companion object {
        const val VERSIONS_MAX = 3
    }
}
