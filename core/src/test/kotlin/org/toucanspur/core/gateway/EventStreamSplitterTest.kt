package org.toucanspur.core.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.io.ByteArrayOutputStream

class EventStreamSplitterTest :
    DescribeSpec({
        val stream = "id: 1\ndata: a\n\nx-version: 2\nid: 2\ndata: b\ndata: id: 9\n\nid: 3\nda"
        val completeEvents = "id: 1\ndata: a\n\nx-version: 2\nid: 2\ndata: b\ndata: id: 9\n\n"

        fun split(parts: List<ByteArray>): Pair<String, String?> {
            val splitter = EventStreamSplitter()
            val out = ByteArrayOutputStream()
            var lastEventId: String? = null
            parts.mapNotNull(splitter::add).forEach { batch ->
                out.write(batch.bytes)
                batch.lastEventId?.let { lastEventId = it }
            }
            return out.toString(Charsets.UTF_8) to lastEventId
        }
        describe("a stream that ends in the middle of an event") {
            it("yields the complete events and the last event id, however the bytes are split") {
                val bytes = stream.encodeToByteArray()
                for (splitAt in 0..bytes.size) {
                    val parts =
                        listOf(bytes.copyOf(splitAt), bytes.copyOfRange(splitAt, bytes.size))
                    split(parts) shouldBe (completeEvents to "2")
                }
                split(bytes.map { byteArrayOf(it) }) shouldBe (completeEvents to "2")
            }
            it("reports the number of pending bytes of the last event") {
                val splitter = EventStreamSplitter()
                splitter.add(stream.encodeToByteArray())
                splitter.pendingBytes shouldBe "id: 3\nda".length
            }
        }
        describe("lines that end with CR LF") {
            it("terminate an event") {
                split(listOf("id:7\r\ndata: x\r\n\r\nid: 8".encodeToByteArray())) shouldBe
                    ("id:7\r\ndata: x\r\n\r\n" to "7")
            }
        }
        describe("blank lines between events") {
            it("begin no event, however the bytes are split") {
                val bytes = "\n\r\nid: 1\ndata: a\n\n\n\r\n\n".encodeToByteArray()
                val splitter = EventStreamSplitter()
                val out = ByteArrayOutputStream()
                bytes.forEach { byte ->
                    splitter.add(byteArrayOf(byte))?.let { out.write(it.bytes) }
                }
                out.toString() shouldBe "\n\r\nid: 1\ndata: a\n\n"
                splitter.isInsideEvent shouldBe false
                splitter.remainder().decodeToString() shouldBe "\n\r\n\n"
            }
            it("are no events without end either") {
                val splitter = EventStreamSplitter(eventMaxBytes = 10)
                repeat(11) { splitter.add("\n".encodeToByteArray()) shouldBe null }
                splitter.isOverflowing shouldBe true
            }
        }
        describe("an event larger than the limit") {
            it("is reported as overflow") {
                val splitter = EventStreamSplitter(eventMaxBytes = 10)
                splitter.add(ByteArray(11) { 'x'.code.toByte() })
                splitter.isOverflowing shouldBe true
            }
        }
    })
