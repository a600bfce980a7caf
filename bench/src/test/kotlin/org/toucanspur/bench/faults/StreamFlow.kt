/*
 * Streams one response from an agent's buffer to an entry's assembler over a connection that may
 * drop, duplicate, delay or truncate frames or insert frames of another response.
 */
package org.toucanspur.bench.faults

import org.toucanspur.core.requests.CreditWindow
import org.toucanspur.core.requests.StreamAssembler
import org.toucanspur.core.requests.StreamStep
import org.toucanspur.daemon.agent.ResponseBuffer
import org.toucanspur.daemon.agent.ResponseEnd
import org.toucanspur.schema.End
import org.toucanspur.schema.Frame
import org.toucanspur.schema.Part
import org.toucanspur.schema.RequestId

private const val PARTS = 12
private const val PART_BYTES = 10
private const val WINDOW_BYTES = 40
private const val MAX_CONNECTIONS = 20

internal class StreamFlow : FaultFlow {
    override val name = "answers"
    override val steps = listOf("first part", "middle part", "last part", "end", "credit")
    override val faults =
        listOf(
            "frame lost",
            "frame duplicated",
            "frame delayed",
            "frame truncated",
            "frame of another response",
            "connection lost"
        )
    override val invariants = listOf(
        "the caller gets exactly the bytes of its own response, in order",
        "a truncated response is never reported as whole",
        "the agent buffers no more bytes than the window",
        "the response is eventually whole"
    )

    override fun run(injections: List<Injection>): List<String> =
        Simulation(Injector(injections)).violations()

    private inner class Simulation(private val injector: Injector) {
        private val violated = LinkedHashSet<String>()
        private val expected = ByteArray(PARTS * PART_BYTES) { it.toByte() }
        private val received = mutableListOf<Byte>()
        private val buffer = ResponseBuffer(WINDOW_BYTES, 0)
        private val assembler = StreamAssembler()
        private val delayedFrames = mutableListOf<Frame>()
        private var window = CreditWindow(WINDOW_BYTES.toLong())
        private var isCreditLost = false
        private var producedParts = 0
        private var isComplete = false

        fun violations(): List<String> {
            var connections = 0
            while (!isComplete && connections <= MAX_CONNECTIONS) {
                runConnection()
                connections++
            }
            if (!isComplete) violated += invariants[3]
            if (isComplete && received != expected.toList()) violated += invariants[1]
            if (received != expected.take(received.size)) violated += invariants[0]
            return violated.toList()
        }

        /** Sends frames over one connection, starting at the offset that the entry requests. */
        private fun runConnection() {
            var offset = assembler.offset
            window = CreditWindow(WINDOW_BYTES.toLong())
            buffer.acknowledge(offset)
            delayedFrames.toList().forEach { deliver(it) }
            delayedFrames.clear()
            while (true) {
                fillBuffer()
                if (buffer.heldBytes > WINDOW_BYTES) violated += invariants[2]
                val bytes = buffer.read(offset, PART_BYTES) ?: return
                val grantedBytes = window.take(bytes.size)
                if (bytes.isNotEmpty() && grantedBytes == 0) return
                if (bytes.isEmpty()) break
                val part = Part(RequestId("own"), offset, bytes.copyOf(grantedBytes))
                offset += grantedBytes
                if (!send(stepOf(part), part)) return
                grantCredit()
            }
            val end = buffer.end as? ResponseEnd.Whole ?: return
            send("end", End(RequestId("own"), end.length, end.checksum))
        }

        private fun fillBuffer() {
            while (producedParts < PARTS && buffer.heldBytes + PART_BYTES <= WINDOW_BYTES) {
                val from = producedParts * PART_BYTES
                buffer.append(expected.copyOfRange(from, from + PART_BYTES))
                producedParts++
            }
            if (producedParts == PARTS && buffer.end == null) buffer.finish(isWhole = true)
        }

        private fun stepOf(part: Part): String = when (part.offset) {
            0L -> "first part"
            (PARTS - 1L) * PART_BYTES -> "last part"
            else -> "middle part"
        }

        /** Sends a frame; returns false when the connection is lost. */
        private fun send(step: String, frame: Frame): Boolean {
            val injected = injector.faultsAt(step)
            if ("frame delayed" in injected) delayedFrames += frame
            if ("frame of another response" in injected) deliver(frameOfOtherResponse(frame))
            val isDropped = injected.any {
                it in setOf("frame lost", "frame delayed", "connection lost")
            }
            if (!isDropped) deliver(if ("frame truncated" in injected) truncate(frame) else frame)
            if ("frame duplicated" in injected) deliver(frame)
            return "connection lost" !in injected
        }

        private fun frameOfOtherResponse(frame: Frame): Frame = when (frame) {
            is Part -> Part(RequestId("other"), frame.offset, ByteArray(PART_BYTES) { -1 })
            else -> End(RequestId("other"), 1, 1)
        }

        private fun truncate(frame: Frame): Frame = if (frame is Part) {
            Part(
                frame.requestId,
                frame.offset,
                frame.bytes.copyOf(
                    frame.bytes.size / 2
                )
            )
        } else {
            frame
        }

        // Frames are routed by request id before they reach the assembler.
        private fun deliver(frame: Frame) {
            val id = if (frame is Part) frame.requestId else (frame as End).requestId
            if (id.value != "own") return
            val step = if (frame is Part) assembler.onPart(frame) else assembler.onEnd(frame as End)
            if (step is StreamStep.Deliver) received += step.bytes.toList()
            if (step is StreamStep.Whole) isComplete = true
            if (step is StreamStep.Corrupt) violated += invariants[3]
        }

        private fun grantCredit() {
            val injected = injector.faultsAt("credit")
            if (injected.any { it in setOf("frame lost", "frame delayed", "connection lost") }) {
                isCreditLost = true
            }
            val grantedOffset = if (isCreditLost) 0 else assembler.offset + WINDOW_BYTES
            isCreditLost = false
            window.grant(grantedOffset)
            buffer.acknowledge(assembler.offset)
        }
    }
}
