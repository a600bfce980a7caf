package org.toucanspur.daemon.engine

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.toucanspur.core.weights.PieceManifest
import org.toucanspur.core.weights.sha256
import org.toucanspur.schema.ModelId

class PieceLibraryTest :
    DescribeSpec({
        val model = ModelId("m")
        fun bytes(text: String) = text.encodeToByteArray()
        fun manifest(version: Long, vararg pieces: String) =
            PieceManifest(model, version, 1, pieces.map { sha256(bytes(it)) })
        describe("the library") {
            it("keeps only bytes that match the manifest") {
                val library = PieceLibrary()
                library.add(manifest(1, "a", "b"))
                val key = VersionKey(model, 1)
                library.put(key, 0, bytes("b")) shouldBe false
                library.put(key, 0, bytes("a")) shouldBe true
                library.put(key, 7, bytes("a")) shouldBe false
                library.isComplete(key) shouldBe false
            }
            it("has pieces of a new version that an older one shares") {
                val library = PieceLibrary()
                library.add(manifest(1, "a", "b"))
                library.put(VersionKey(model, 1), 0, bytes("a"))
                library.add(manifest(2, "c", "a"))
                library.held(VersionKey(model, 2)) shouldBe listOf(1)
            }
            it("drops the oldest version with the pieces that only it uses") {
                val library = PieceLibrary()
                for (version in 1L..4L) {
                    library.add(manifest(version, "p$version", "shared"))
                    library.put(VersionKey(model, version), 0, bytes("p$version"))
                }
                library.manifest(VersionKey(model, 1)) shouldBe null
                library.held(VersionKey(model, 4)) shouldBe listOf(0)
            }
        }
    })
