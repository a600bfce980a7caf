package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.io.ByteArrayOutputStream

class EventStreamCutterTest :
    DescribeSpec({
        val stream = "id: 1\ndata: a\n\nx-version: 2\nid: 2\ndata: b\ndata: id: 9\n\nid: 3\nda"
        val whole = "id: 1\ndata: a\n\nx-version: 2\nid: 2\ndata: b\ndata: id: 9\n\n"

        fun cut(parts: List<ByteArray>): Pair<String, String?> {
            val cutter = EventStreamCutter()
            val out = ByteArrayOutputStream()
            var last: String? = null
            parts.mapNotNull(cutter::add).forEach { batch ->
                out.write(batch.bytes)
                batch.lastEventId?.let { last = it }
            }
            return out.toString(Charsets.UTF_8) to last
        }
        describe("a stream that breaks off within an event") {
            it("yields its whole events and the id of the last one, however it is split") {
                val bytes = stream.encodeToByteArray()
                for (first in 0..bytes.size) {
                    val parts = listOf(bytes.copyOf(first), bytes.copyOfRange(first, bytes.size))
                    cut(parts) shouldBe (whole to "2")
                }
                cut(bytes.map { byteArrayOf(it) }) shouldBe (whole to "2")
            }
            it("tells how much of the last event is pending") {
                val cutter = EventStreamCutter()
                cutter.add(stream.encodeToByteArray())
                cutter.pendingBytes shouldBe "id: 3\nda".length
            }
        }
        describe("lines that end with CR and LF") {
            it("end an event too") {
                cut(listOf("id:7\r\ndata: x\r\n\r\nid: 8".encodeToByteArray())) shouldBe
                    ("id:7\r\ndata: x\r\n\r\n" to "7")
            }
        }
        describe("an event beyond the limit") {
            it("is reported") {
                val cutter = EventStreamCutter(eventMaxBytes = 10)
                cutter.add(ByteArray(11) { 'x'.code.toByte() })
                cutter.isOverflowing shouldBe true
            }
        }
    })
