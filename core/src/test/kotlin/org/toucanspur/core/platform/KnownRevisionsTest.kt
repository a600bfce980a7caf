package org.toucanspur.core.platform

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private fun stored(name: String, revision: Long) = StoredObject(name, revision, "{}")

private fun update(name: String, revision: Long) =
    ObjectChange(stored(name, revision), isRemoved = false)

private fun removal(name: String, revision: Long) =
    ObjectChange(stored(name, revision), isRemoved = true)

private fun listed() = KnownRevisions().apply { replaceAll(listOf(stored("a", 4), stored("b", 8))) }

private fun KnownRevisions.takes(change: ObjectChange) = takeUnknown(listOf(change)).isNotEmpty()

class KnownRevisionsTest :
    DescribeSpec({
        describe("an update") {
            it("is unknown if it is newer than the object, or the object is unknown") {
                listed().takes(update("a", 5)) shouldBe true
                listed().takes(update("c", 1)) shouldBe true
            }
            // Guards against going back to what an object was before a later page was read.
            it("is known if the object has its revision or a later one") {
                listed().takes(update("b", 8)) shouldBe false
                listed().takes(update("b", 7)) shouldBe false
            }
            it("is known once it has been taken") {
                val known = listed()
                known.takes(update("a", 5)) shouldBe true
                known.takes(update("a", 5)) shouldBe false
            }
        }
        describe("a removal") {
            it("is unknown if it names the last revision of the object, or its own") {
                listed().takes(removal("a", 4)) shouldBe true
                listed().takes(removal("a", 6)) shouldBe true
            }
            it("is known if the object was created again since") {
                listed().takes(removal("b", 7)) shouldBe false
            }
            it("is followed by a new object with any revision") {
                val known = listed()
                known.takes(removal("b", 9)) shouldBe true
                known.takes(update("b", 10)) shouldBe true
            }
        }
        it("takes each change of which the store names no revision") {
            listed().takes(update("b", 0)) shouldBe true
            listed().takes(removal("b", 0)) shouldBe true
        }
    })
