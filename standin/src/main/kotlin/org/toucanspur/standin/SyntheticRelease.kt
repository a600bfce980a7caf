/*
 * Releases with reproducible pseudo-random content, whose digests are known in advance. Three of
 * four chunks of a model do not depend on its version, so successive versions share them.
 */
package org.toucanspur.standin

import kotlin.random.Random
import org.toucanspur.core.membership.stableHash
import org.toucanspur.core.weights.ChunkRef
import org.toucanspur.core.weights.Manifest
import org.toucanspur.core.weights.ManifestBlobs
import org.toucanspur.core.weights.WeightFile
import org.toucanspur.core.weights.sha256
import org.toucanspur.core.weights.splitManifest
import org.toucanspur.schema.ChunkDigest
import org.toucanspur.schema.ReleaseDigest

private const val VERSIONED_CHUNK_STRIDE = 4
private const val CHUNKS_PER_ADAPTER = 1

/** Parameters of a synthetic release. */
data class ReleaseSpec(
    val model: String,
    val version: String,
    val adapters: List<String>,
    val sizeBytes: Long,
    val chunkBytes: Int
)

/** A release with its manifest blobs and the seeds of its chunks. */
class SyntheticRelease(
    val manifest: Manifest,
    val stored: ManifestBlobs,
    private val seeds: Map<ChunkDigest, ChunkSeed>
) {
    /** Digest of the release. */
    val digest: ReleaseDigest get() = stored.root

    /** Bytes of the manifest blob or chunk with [digest], or null when the release has none. */
    fun blob(digest: ChunkDigest): ByteArray? = stored.blobs[digest] ?: seeds[digest]?.bytes()
}

/** Generates the same bytes for a chunk each time, so that chunks need not be kept in memory. */
data class ChunkSeed(val name: String, val sizeBytes: Int) {
    fun bytes(): ByteArray = Random(stableHash(name)).nextBytes(sizeBytes)
}

/** Generates the release that [spec] describes. */
fun syntheticRelease(spec: ReleaseSpec): SyntheticRelease {
    val seeds = LinkedHashMap<ChunkDigest, ChunkSeed>()
    fun chunk(name: String, sizeBytes: Int): ChunkRef {
        val seed = ChunkSeed(name, sizeBytes)
        val digest = ChunkDigest(sha256(seed.bytes()))
        seeds[digest] = seed
        return ChunkRef(digest, sizeBytes)
    }
    val count = maxOf(1, (spec.sizeBytes / spec.chunkBytes).toInt())
    val base = (0 until count).map { index ->
        val version = if (index % VERSIONED_CHUNK_STRIDE == 0) spec.version else "any"
        chunk("${spec.model}/$version/$index", spec.chunkBytes)
    }
    val adapters = spec.adapters.map { name ->
        val chunks = (0 until CHUNKS_PER_ADAPTER).map {
            chunk("${spec.model}/$name/$it", spec.chunkBytes)
        }
        WeightFile("adapters/$name.safetensors", chunks)
    }
    val files = listOf(WeightFile("model.safetensors", base)) + adapters
    val manifest = Manifest(spec.model, spec.version, spec.adapters, files)
    return SyntheticRelease(manifest, splitManifest(manifest), seeds)
}
