package org.toucanspur.daemon.agent

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val WINDOW = 8192

class AnswerBufferTest :
    DescribeSpec({
        describe("an answer buffer") {
            it(
                "has room again when all but half a window of a part larger than the window is acknowledged"
            ) {
                val buffer = AnswerBuffer(WINDOW, 0)
                buffer.append(ByteArray(11_075))
                buffer.hasRoom() shouldBe false
                buffer.acknowledge(11_075L - WINDOW / 2)
                buffer.hasRoom() shouldBe true
            }
            it("yields bytes from any offset that is not acknowledged") {
                val buffer = AnswerBuffer(WINDOW, 0)
                buffer.append(ByteArray(5000) { it.toByte() })
                buffer.acknowledge(2048)
                buffer.read(2047, 1) shouldBe null
                buffer.read(4999, 10) shouldBe byteArrayOf(4999.toByte())
                buffer.read(5000, 10) shouldBe ByteArray(0)
            }
            it("tells length and checksum of what it was given in all") {
                val buffer = AnswerBuffer(WINDOW, 100)
                buffer.append("123456789".encodeToByteArray())
                buffer.finish(isWhole = true)
                buffer.end shouldBe AnswerEnd.Whole(109, 0xcbf43926)
            }
        }
    })
