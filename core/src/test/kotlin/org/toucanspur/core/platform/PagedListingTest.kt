package org.toucanspur.core.platform

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private fun item(name: String, revision: Long) = StoredObject(name, revision, "{}")

class PagedListingTest :
    DescribeSpec({
        describe("a listing in pages") {
            // Guards against losing the changes made between two pages.
            it("is as of its earliest page, also if stale pages are out of order") {
                listOf(listOf(5L, 7L, 9L), listOf(9L, 5L, 7L)).forEach { revisions ->
                    val paged = PagedListing()
                    revisions.forEachIndexed { index, revision ->
                        paged.add(listOf(item("page $index", 1)), revision, pageEra = 3)
                    }
                    val listing = paged.toListing()
                    listing.storeRevision shouldBe 5
                    listing.objects.map { it.name } shouldBe listOf("page 0", "page 1", "page 2")
                    listing.era shouldBe 3
                }
            }
            it("does not take a page of another era, or of none") {
                val paged = PagedListing()
                paged.add(listOf(item("a", 1)), 5, pageEra = 1) shouldBe true
                paged.add(listOf(item("b", 1)), 4, pageEra = 2) shouldBe false
                paged.add(listOf(item("b", 1)), 4, pageEra = null) shouldBe false
                paged.toListing().objects.map { it.name } shouldBe listOf("a")
                paged.toListing().storeRevision shouldBe 5
            }
        }
    })
