/*
 * Release manifests: the files and chunks of a release, addressed by one digest. A manifest is
 * stored as a tree of size-limited blobs, so that a release of any size stays within the limits of
 * the platform.
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

/** Reference to a chunk of a file. */
@Serializable
data class ChunkRef(val digest: ChunkDigest, val sizeBytes: Int)

/** A file of a release with its chunks in order. */
@Serializable
data class WeightFile(val name: String, val chunks: List<ChunkRef>)

/** A model version with the adapters that belong to it. */
@Serializable
data class Manifest(
    val model: String,
    val version: String,
    val adapters: List<String>,
    val files: List<WeightFile>
) {
    /** Distinct chunks in order of first use; the position is the index of the chunk in bitmaps. */
    fun distinctChunks(): List<ChunkRef> = files.flatMap { it.chunks }.distinctBy { it.digest }

    /** Total size of all distinct chunks. */
    fun totalBytes(): Long = distinctChunks().sumOf { it.sizeBytes.toLong() }
}

/** A node of the stored tree; a leaf holds bytes, an inner node the digests of its children. */
@Serializable
internal data class ManifestNode(
    val children: List<ChunkDigest> = emptyList(),
    @ByteString val bytes: ByteArray = ByteArray(0)
)

/** The blobs of a manifest; [root] is the digest of the release. */
class ManifestBlobs(val root: ReleaseDigest, val blobs: Map<ChunkDigest, ByteArray>)

/** Reason why a manifest cannot be read. */
sealed interface ManifestError {
    /** Description with the remedy. */
    val message: String

    /** The content of a blob does not match its digest. */
    data class Corrupt(val digest: ChunkDigest) : ManifestError {
        override val message = "manifest blob $digest is corrupt; fetch it from another source"
    }

    /** The blobs cannot be decoded as a manifest. */
    data class Malformed(val reason: String) : ManifestError {
        override val message = "manifest is malformed ($reason); publish the release again"
    }
}

/** Size limit of a manifest blob. */
const val MANIFEST_BLOB_MAX_BYTES = 512 * 1024

private const val DIGEST_CHARS = 64
private const val NODE_OVERHEAD_BYTES = 64
private const val CHILD_BYTES = DIGEST_CHARS + 4

/** SHA-256 of [bytes] in hexadecimal. */
fun sha256(bytes: ByteArray): String =
    MessageDigest.getInstance("SHA-256").digest(bytes).toHexString()

/** Whether the SHA-256 digest of [bytes] is [digest]. */
fun hasDigest(bytes: ByteArray, digest: ChunkDigest): Boolean = sha256(bytes) == digest.value

/** Encodes [manifest] and splits it into blobs of at most [maxBytes]. */
fun splitManifest(manifest: Manifest, maxBytes: Int = MANIFEST_BLOB_MAX_BYTES): ManifestBlobs {
    val blobs = linkedMapOf<ChunkDigest, ByteArray>()
    fun addBlob(node: ManifestNode): ChunkDigest {
        val encoded = Cbor.encodeToByteArray(node)
        val digest = ChunkDigest(sha256(encoded))
        blobs[digest] = encoded
        return digest
    }
    val encoded = Cbor.encodeToByteArray(manifest)
    val leafBytes = maxBytes - NODE_OVERHEAD_BYTES
    var level = encoded.toList().chunked(leafBytes) {
        addBlob(ManifestNode(bytes = it.toByteArray()))
    }
    val fanOut = maxOf(2, leafBytes / CHILD_BYTES)
    while (level.size > 1) {
        level = level.chunked(fanOut) { addBlob(ManifestNode(children = it.toList())) }
    }
    return ManifestBlobs(ReleaseDigest(level.single().value), blobs)
}

/** Assembles a manifest from blobs that are added in any order. */
class ManifestAssembler(root: ReleaseDigest) {
    private val rootDigest = ChunkDigest(root.value)
    private val nodes = mutableMapOf<ChunkDigest, ManifestNode>()

    /** Digests of referenced blobs that are missing; empty once the manifest is complete. */
    fun missing(): List<ChunkDigest> {
        val missing = mutableListOf<ChunkDigest>()
        val pending = ArrayDeque(listOf(rootDigest))
        while (pending.isNotEmpty()) {
            val digest = pending.removeFirst()
            val node = nodes[digest]
            if (node == null) missing += digest else pending += node.children
        }
        return missing
    }

    /** Verifies the digest of a blob and adds it. */
    fun add(digest: ChunkDigest, blob: ByteArray): Result<Unit, ManifestError> {
        if (!hasDigest(blob, digest)) return Err(ManifestError.Corrupt(digest))
        return try {
            nodes[digest] = Cbor.decodeFromByteArray<ManifestNode>(blob)
            Ok(Unit)
        } catch (e: SerializationException) {
            Err(ManifestError.Malformed(e.message.orEmpty()))
        }
    }

    /** Decodes the manifest; requires that [missing] is empty. */
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

    private fun collect(digest: ChunkDigest, target: MutableList<ByteArray>) {
        val node = nodes[digest] ?: return
        if (node.children.isEmpty()) target += node.bytes
        node.children.forEach { collect(it, target) }
    }
}
