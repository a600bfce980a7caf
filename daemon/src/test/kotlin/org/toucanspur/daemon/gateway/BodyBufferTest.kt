package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.netty.buffer.Unpooled
import kotlin.random.Random

class BodyBufferTest :
    DescribeSpec({
        describe("a body that arrives in parts") {
            listOf(1, 700, 8192, 100_000).forEach { partBytes ->
                it("is returned unchanged from parts of $partBytes bytes") {
                    val body = Random(1).nextBytes(200_001)
                    val buffer = BodyBuffer()
                    body.asList().chunked(partBytes).forEach {
                        buffer.add(Unpooled.wrappedBuffer(it.toByteArray()))
                    }
                    buffer.size shouldBe body.size
                    buffer.take().contentEquals(body) shouldBe true
                    buffer.size shouldBe 0
                    buffer.capacityBytes shouldBe 0L
                }
            }
            // Guards against parts that cost much more than their bytes.
            it("occupies little more than its bytes") {
                val buffer = BodyBuffer()
                repeat(10_000) { buffer.add(Unpooled.wrappedBuffer(ByteArray(1))) }
                buffer.capacityBytes shouldBeLessThanOrEqual 20_000
            }
        }
    })
