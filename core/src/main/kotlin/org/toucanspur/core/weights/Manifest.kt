/*
 * Manifests: the files and chunks of a release under one digest. A manifest is stored as a tree of
 * blobs, each below a size limit, so that releases of any size keep to the limits of the platform.
 */
package org.toucanspur.core.weights

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.security.MessageDigest
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.toucanspur.schema.ChunkDigest
import org.toucanspur.schema.ReleaseDigest

/** A chunk of a file. */
@Serializable
data class ChunkRef(val digest: ChunkDigest, val sizeBytes: Int)

/** A file of a release, as its chunks in order. */
@Serializable
data class WeightFile(val name: String, val chunks: List<ChunkRef>)

/** The consistent set of a model version and its adapters. */
@Serializable
data class Manifest(
    val model: String,
    val version: String,
    val adapters: List<String>,
    val files: List<WeightFile>
) {
    /** Distinct chunks in order of first use; the position is the chunk's index in bitmaps. */
    fun distinctChunks(): List<ChunkRef> = files.flatMap { it.chunks }.distinctBy { it.digest }

    /** Bytes of all distinct chunks. */
    fun totalBytes(): Long = distinctChunks().sumOf { it.sizeBytes.toLong() }
}

/** A node of the stored tree; a leaf holds bytes, an inner node the digests of its children. */
@Serializable
internal data class ManifestNode(
    val children: List<ChunkDigest> = emptyList(),
    @ByteString val bytes: ByteArray = ByteArray(0)
)

/** The blobs of a stored manifest; [root] is the digest of the release. */
class ManifestBlobs(val root: ReleaseDigest, val blobs: Map<ChunkDigest, ByteArray>)

/** Reasons why a manifest cannot be read. */
sealed interface ManifestError {
    /** What to do about the error. */
    val message: String

    /** A blob does not have the digest it was asked for by. */
    data class Corrupt(val digest: ChunkDigest) : ManifestError {
        override val message = "manifest blob $digest is corrupt; fetch it from another source"
    }

    /** The blobs decode to something that is no manifest. */
    data class Malformed(val reason: String) : ManifestError {
        override val message = "manifest is malformed ($reason); publish the release again"
    }
}

/** Largest blob of a stored manifest. */
const val MANIFEST_BLOB_MAX_BYTES = 512 * 1024

private const val DIGEST_CHARS = 64
private const val NODE_OVERHEAD_BYTES = 64
private const val CHILD_BYTES = DIGEST_CHARS + 4

/** SHA-256 of [bytes] in hexadecimal. */
fun sha256(bytes: ByteArray): String =
    MessageDigest.getInstance("SHA-256").digest(bytes).toHexString()

/** Whether [bytes] have [digest]. */
fun hasDigest(bytes: ByteArray, digest: ChunkDigest): Boolean = sha256(bytes) == digest.value

/** Splits [manifest] into blobs of at most [maxBytes]. */
fun storeManifest(manifest: Manifest, maxBytes: Int = MANIFEST_BLOB_MAX_BYTES): ManifestBlobs {
    val blobs = linkedMapOf<ChunkDigest, ByteArray>()
    fun store(node: ManifestNode): ChunkDigest {
        val encoded = Cbor.encodeToByteArray(node)
        val digest = ChunkDigest(sha256(encoded))
        blobs[digest] = encoded
        return digest
    }
    val encoded = Cbor.encodeToByteArray(manifest)
    val leafBytes = maxBytes - NODE_OVERHEAD_BYTES
    var level = encoded.toList().chunked(leafBytes) {
        store(ManifestNode(bytes = it.toByteArray()))
    }
    val fanOut = maxOf(2, leafBytes / CHILD_BYTES)
    while (level.size > 1) {
        level = level.chunked(fanOut) { store(ManifestNode(children = it.toList())) }
    }
    return ManifestBlobs(ReleaseDigest(level.single().value), blobs)
}

/** Collects the blobs of a manifest in any order until the whole tree is known. */
class ManifestAssembler(root: ReleaseDigest) {
    private val rootDigest = ChunkDigest(root.value)
    private val nodes = mutableMapOf<ChunkDigest, ManifestNode>()

    /** Digests that are known to be missing; empty once the manifest is complete. */
    fun missing(): List<ChunkDigest> {
        val missing = mutableListOf<ChunkDigest>()
        val open = ArrayDeque(listOf(rootDigest))
        while (open.isNotEmpty()) {
            val digest = open.removeFirst()
            val node = nodes[digest]
            if (node == null) missing += digest else open += node.children
        }
        return missing
    }

    /** Adds a blob after verifying its digest. */
    fun add(digest: ChunkDigest, blob: ByteArray): Result<Unit, ManifestError> {
        if (!hasDigest(blob, digest)) return Err(ManifestError.Corrupt(digest))
        return try {
            nodes[digest] = Cbor.decodeFromByteArray<ManifestNode>(blob)
            Ok(Unit)
        } catch (e: SerializationException) {
            Err(ManifestError.Malformed(e.message.orEmpty()))
        }
    }

    /** Decodes the manifest; call it when [missing] is empty. */
    fun assemble(): Result<Manifest, ManifestError> {
        val bytes = mutableListOf<ByteArray>()
        collect(rootDigest, bytes)
        val joined = ByteArray(bytes.sumOf { it.size })
        bytes.fold(0) { offset, part ->
            part.copyInto(joined, offset)
            offset + part.size
        }
        return try {
            Ok(Cbor.decodeFromByteArray<Manifest>(joined))
        } catch (e: SerializationException) {
            Err(ManifestError.Malformed(e.message.orEmpty()))
        }
    }

    private fun collect(digest: ChunkDigest, into: MutableList<ByteArray>) {
        val node = nodes[digest] ?: return
        if (node.children.isEmpty()) into += node.bytes
        node.children.forEach { collect(it, into) }
    }
}
