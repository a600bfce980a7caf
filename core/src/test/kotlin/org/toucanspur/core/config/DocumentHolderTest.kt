package org.toucanspur.core.config

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.toucanspur.schema.Revision
import org.toucanspur.schema.StoredDocument
import org.toucanspur.schema.environmentFileSpec

private fun document(revision: Long, text: String = validDocument) =
    StoredDocument(Revision(revision), "id-$revision", "ann", 0, "", text)

class DocumentHolderTest :
    DescribeSpec({
        describe("a document holder") {
            it("never returns to an earlier revision") {
                val holder = DocumentHolder()
                holder.offer(document(3)) shouldBe AdoptionResult.ADOPTED
                holder.offer(document(2)) shouldBe AdoptionResult.STALE
                holder.offer(document(3)) shouldBe AdoptionResult.STALE
                holder.revision shouldBe Revision(3)
            }
            it("keeps the active document when a later one is invalid") {
                val holder = DocumentHolder()
                holder.offer(document(1))
                holder.offer(document(2, "[environment]")) shouldBe AdoptionResult.INVALID
                holder.revision shouldBe Revision(1)
                holder.isBehind shouldBe true
            }
        }
        describe("a diff") {
            it("ignores order and explicit defaults") {
                val reordered = validDocument
                    .replace(
                        "endpoints = 4\nconcurrent-max = 8",
                        "concurrent-max = 8\nendpoints = 4"
                    )
                    .replace("[zone a]", "[zone a]\nstate = in")
                val before = checkKeys("a", validDocument, environmentFileSpec)
                val after = checkKeys("b", reordered, environmentFileSpec)
                diffDocuments(before.values, after.values) shouldBe emptyList()
            }
            it("reports the section, key and both values of a change") {
                val changed = validDocument.replace("endpoints = 4", "endpoints = 5")
                val before = checkKeys("a", validDocument, environmentFileSpec)
                val after = checkKeys("b", changed, environmentFileSpec)
                diffDocuments(before.values, after.values).map { it.render() } shouldBe
                    listOf("~ [pool writers] endpoints: 4 -> 5")
            }
        }
    })
