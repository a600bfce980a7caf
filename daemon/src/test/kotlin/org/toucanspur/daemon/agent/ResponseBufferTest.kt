package org.toucanspur.daemon.agent

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val WINDOW_BYTES = 8192

class ResponseBufferTest :
    DescribeSpec({
        describe("a response buffer") {
            it("has room after all but half a window of an oversized part is acknowledged") {
                val buffer = ResponseBuffer(WINDOW_BYTES, 0)
                buffer.append(ByteArray(11_075))
                buffer.hasRoom() shouldBe false
                buffer.acknowledge(11_075L - WINDOW_BYTES / 2)
                buffer.hasRoom() shouldBe true
            }
            it("returns bytes from any offset that is not acknowledged") {
                val buffer = ResponseBuffer(WINDOW_BYTES, 0)
                buffer.append(ByteArray(5000) { it.toByte() })
                buffer.acknowledge(2048)
                buffer.read(2047, 1) shouldBe null
                buffer.read(4999, 10) shouldBe byteArrayOf(4999.toByte())
                buffer.read(5000, 10) shouldBe ByteArray(0)
            }
            it("reports the end offset and the checksum of all appended bytes") {
                val buffer = ResponseBuffer(WINDOW_BYTES, 100)
                buffer.append("123456789".encodeToByteArray())
                buffer.finish(isWhole = true)
                buffer.end shouldBe ResponseEnd.Whole(109, 0xcbf43926)
            }
        }
    })
