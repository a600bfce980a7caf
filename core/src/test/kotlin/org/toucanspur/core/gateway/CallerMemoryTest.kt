package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val MAX_BYTES = 1_000_000L
private const val NOW = 10_000L

private fun holding(bytes: Long, progressMillis: Long = NOW, isClosable: Boolean = true) =
    CallerHolding(bytes, progressMillis, isClosable)

private fun memory() = CallerMemory<String>(MAX_BYTES)

private fun CallerMemory<String>.add(
    name: String,
    holding: CallerHolding,
    vararg groups: String = arrayOf(name)
) = update(name, holding, groups.toSet())

class CallerMemoryTest :
    DescribeSpec({
        describe("a budget for callers") {
            it("closes nobody while it is kept") {
                val memory = memory()
                memory.add("a", holding(400_000, 0))
                memory.add("b", holding(500_000, 0))
                memory.nextToClose(NOW) shouldBe null
            }
            it("closes the connection with least progress first") {
                val memory = memory()
                memory.add("steady", holding(400_000))
                memory.add("stalled", holding(400_000, NOW - 500))
                memory.add("other", holding(400_000, NOW - 100))
                memory.nextToClose(NOW) shouldBe "stalled"
            }
            it("closes the largest connection first among those that progress") {
                val memory = memory()
                memory.add("a", holding(300_000))
                memory.add("b", holding(410_000))
                memory.add("c", holding(300_000))
                memory.nextToClose(NOW) shouldBe "b"
            }
            it("does not close normal requests that progress because of large ones") {
                val memory = memory()
                repeat(8) { memory.add("normal$it", holding(64_000, NOW - 200)) }
                memory.add("large", holding(499_000, NOW))
                memory.nextToClose(NOW) shouldBe "large"
            }
            it("does not close requests that run") {
                val memory = memory()
                memory.add("running", holding(900_000, 0, isClosable = false))
                memory.add("arriving", holding(200_000))
                memory.nextToClose(NOW) shouldBe "arriving"
                memory.remove("arriving")
                memory.nextToClose(NOW) shouldBe null
            }
            it("is free again after connections have ended") {
                val memory = memory()
                memory.add("a", holding(400_000), "path")
                memory.add("a", holding(300_000, isClosable = false), "path")
                memory.totalBytes shouldBe 300_000
                memory.runningBytes shouldBe 300_000
                memory.add("a", holding(0))
                memory.remove("b")
                memory.totalBytes shouldBe 0
                memory.runningBytes shouldBe 0
            }
        }
        describe("callers of one group") {
            it("cannot take all of the budget") {
                val memory = memory()
                memory.add("a", holding(300_000), "path", "address1")
                memory.add("b", holding(250_000, NOW - 50), "path", "address2")
                memory.add("c", holding(100_000, 0), "elsewhere", "address3")
                memory.nextToClose(NOW) shouldBe "b"
                memory.remove("b")
                memory.nextToClose(NOW) shouldBe null
            }
        }
        describe("a single connection") {
            it("may use all of the budget") {
                val memory = memory()
                memory.add("a", holding(900_000), "path")
                memory.nextToClose(NOW) shouldBe null
                memory.add("b", holding(2000), "path")
                memory.nextToClose(NOW) shouldBe "a"
            }
        }
        describe("requests that begin to run") {
            it("leave half of the budget, but a single one may be larger") {
                val memory = memory()
                memory.admits(800_000) shouldBe true
                memory.add("a", holding(400_000, isClosable = false))
                memory.admits(200_000) shouldBe false
                memory.admits(CallerMemory.NORMAL_BYTES) shouldBe true
            }
            // Guards against normal requests that exhaust the heap, as none of them is closed.
            it("hold twice the budget at most, if all of them are normal ones") {
                val memory = memory()
                var count = 0
                while (count < 1800 && memory.admits(CallerMemory.NORMAL_BYTES)) {
                    memory.add("${count++}", holding(CallerMemory.NORMAL_BYTES, 0, false))
                }
                memory.runningBytes shouldBe 15 * CallerMemory.NORMAL_BYTES
                memory.nextToClose(NOW) shouldBe null
            }
        }
        describe("a transfer") {
            it("does not progress by a few bytes at a time") {
                val progress = TransferProgress()
                progress.start(0)
                repeat(1000) { progress.onBytes(1, it.toLong()) }
                progress.lastMillis shouldBe 0
                progress.onBytes(20_000, 2000)
                progress.lastMillis shouldBe 2000
                progress.totalBytes shouldBe 21_000
            }
        }
    })
