package org.toucanspur.core.weights

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.toucanspur.schema.ModelId

private fun digestOf(text: String) = sha256(text.encodeToByteArray())

private fun manifest(vararg digests: String) = PieceManifest(ModelId("m"), 2, 8, digests.toList())

private val sound = manifest(digestOf("a"), digestOf("b"), digestOf("c"))
private val wrongDigit = manifest(digestOf("a"), digestOf("x"), digestOf("c"))

class ManifestEvidenceTest :
    DescribeSpec({
        describe("a manifest") {
            it("is well-formed only with digests of 64 hexadecimal digits") {
                sound.isWellFormed shouldBe true
                manifest().isWellFormed shouldBe false
                manifest(digestOf("a").dropLast(1)).isWellFormed shouldBe false
                manifest(digestOf("a").dropLast(1) + "g").isWellFormed shouldBe false
            }
        }
        describe("the number of pieces") {
            // Guards against a version with a missing piece, when a manifest lacked a digest.
            it("is agreed by one copy with the expected number") {
                PieceCountAgreement(3).add(sound) shouldBe true
                PieceCountAgreement(3).add(manifest(digestOf("a"))) shouldBe false
            }
            it("is agreed by two copies if none is expected, and by three against that") {
                mapOf(null to 2, 4 to 3).forEach { (expected, copies) ->
                    val counts = PieceCountAgreement(expected)
                    counts.add(manifest(digestOf("a"))) shouldBe false
                    repeat(copies - 1) { counts.add(sound) shouldBe false }
                    counts.add(sound) shouldBe true
                }
            }
            it("is that of staged pieces only if none is missing") {
                wholeCountOf(setOf(2, 0, 1)) shouldBe 3
                wholeCountOf(setOf(0, 2)) shouldBe null
                wholeCountOf(emptySet()) shouldBe null
            }
        }
        describe("a digest") {
            it("is doubted when bytes that do not match are the same again") {
                val doubts = DigestDoubts()
                doubts.onMismatch(1, digestOf("b"), 0) shouldBe false
                doubts.onMismatch(2, digestOf("b"), 10) shouldBe false
                doubts.onMismatch(1, digestOf("b"), 20) shouldBe true
            }
            // Guards against reading the manifest again for each corrupt piece.
            it("is not doubted when the bytes differ each time") {
                val doubts = DigestDoubts()
                (0 until 100).forEach {
                    doubts.onMismatch(1, digestOf("b$it"), 500L * it) shouldBe
                        false
                }
            }
            // Guards against asking the origin in a loop: all that it sends costs.
            it("is doubted less and less often when copies of the manifest agree") {
                val doubts = DigestDoubts()
                val reviews = (0 until 3000).count {
                    doubts.onMismatch(1, digestOf("b"), 100L * it)
                }
                reviews shouldBeLessThan 18
            }
            it(
                "is corrected by a copy that agrees with the bytes, which may be corrupt elsewhere"
            ) {
                val doubts = DigestDoubts()
                doubts.onMismatch(1, digestOf("b"), 0)
                val copy = manifest(digestOf("a"), digestOf("b"), digestOf("y"))
                doubts.correct(wrongDigit, copy) shouldBe sound
            }
            it("is not corrected by a copy that agrees with nothing, or of another length") {
                val doubts = DigestDoubts()
                doubts.onMismatch(1, digestOf("b"), 0)
                doubts.correct(wrongDigit, wrongDigit) shouldBe wrongDigit
                doubts.correct(wrongDigit, manifest(digestOf("a"), digestOf("b"))) shouldBe
                    wrongDigit
                doubts.correct(
                    wrongDigit,
                    manifest(digestOf("a"), digestOf("z"), digestOf("c"))
                ) shouldBe
                    wrongDigit
            }
        }
    })
