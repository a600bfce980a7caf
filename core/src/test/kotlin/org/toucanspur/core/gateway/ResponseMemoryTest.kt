package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class ResponseMemoryTest :
    DescribeSpec({
        describe("the memory for responses") {
            it("has room up to its limit") {
                val memory = ResponseMemory<String>(100)
                memory.update("a", 60) shouldBe null
                memory.update("b", 40) shouldBe null
                memory.totalBytes shouldBe 100
            }
            it("names the largest holder when there is no room, whoever asks") {
                val memory = ResponseMemory<String>(100)
                memory.update("a", 60)
                memory.update("b", 50) shouldBe "a"
                memory.update("a", 0) shouldBe null
                memory.totalBytes shouldBe 50
            }
            it("counts a holder once") {
                val memory = ResponseMemory<String>(100)
                repeat(5) { memory.update("a", 60) shouldBe null }
                memory.update("a", 0)
                memory.totalBytes shouldBe 0
            }
        }
    })
