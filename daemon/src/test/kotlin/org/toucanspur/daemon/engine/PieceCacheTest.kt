package org.toucanspur.daemon.engine

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.toucanspur.core.weights.PieceManifest
import org.toucanspur.core.weights.sha256
import org.toucanspur.schema.ModelId

class PieceCacheTest :
    DescribeSpec({
        val model = ModelId("m")
        fun bytes(text: String) = text.encodeToByteArray()
        fun manifest(version: Long, vararg pieces: String) =
            PieceManifest(model, version, 1, pieces.map { sha256(bytes(it)) })
        describe("the piece cache") {
            it("stores only bytes that match the digest in the manifest") {
                val cache = PieceCache()
                cache.addManifest(manifest(1, "a", "b"))
                val key = VersionKey(model, 1)
                cache.put(key, 0, bytes("b")) shouldBe false
                cache.put(key, 0, bytes("a")) shouldBe true
                cache.put(key, 7, bytes("a")) shouldBe false
                cache.isComplete(key) shouldBe false
            }
            it("reuses pieces that a new version shares with an older one") {
                val cache = PieceCache()
                cache.addManifest(manifest(1, "a", "b"))
                cache.put(VersionKey(model, 1), 0, bytes("a"))
                cache.addManifest(manifest(2, "c", "a"))
                cache.heldIndexes(VersionKey(model, 2)) shouldBe listOf(1)
            }
            // Guards against a version with a piece of its neighbour in place of its own, when one
            // digest of the manifest stood twice.
            it("holds a piece whose digest occurs twice only where it was stored") {
                val cache = PieceCache()
                cache.addManifest(manifest(1, "a", "b", "b"))
                val key = VersionKey(model, 1)
                cache.put(key, 0, bytes("a"))
                cache.put(key, 1, bytes("b"))
                cache.heldIndexes(key) shouldBe listOf(0, 1)
                cache.get(key, 2) shouldBe null
                cache.isComplete(key) shouldBe false
                cache.put(key, 2, bytes("b")) shouldBe true
                cache.isComplete(key) shouldBe true
            }
            it("keeps the pieces that match a corrected manifest") {
                val cache = PieceCache()
                cache.addManifest(manifest(1, "a", "b", "b", "d"))
                val key = VersionKey(model, 1)
                (0..1).forEach { cache.put(key, it, bytes("ab".substring(it, it + 1))) }
                cache.replaceManifest(manifest(1, "a", "b", "c", "d"))
                cache.heldIndexes(key) shouldBe listOf(0, 1)
                cache.put(key, 2, bytes("c")) shouldBe true
                cache.replaceManifest(manifest(1, "a", "b", "c", "a"))
                cache.heldIndexes(key) shouldBe listOf(0, 1, 2)
            }
            it("evicts the oldest version and the pieces that no other version references") {
                val cache = PieceCache()
                for (version in 1L..4L) {
                    cache.addManifest(manifest(version, "p$version", "shared"))
                    cache.put(VersionKey(model, version), 0, bytes("p$version"))
                }
                cache.manifest(VersionKey(model, 1)) shouldBe null
                cache.heldIndexes(VersionKey(model, 4)) shouldBe listOf(0)
            }
        }
    })
