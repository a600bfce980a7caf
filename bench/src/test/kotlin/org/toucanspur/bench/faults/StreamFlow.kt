/*
 * One answer from an agent's buffer to an entry's assembler, in frames that a faulty connection
 * may drop, double, delay or cross with those of another answer.
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
private const val FETCHES_MAX = 20

internal class StreamFlow : FaultFlow {
    override val name = "answers"
    override val steps = listOf("first part", "middle part", "last part", "end", "credit")
    override val faults =
        listOf(
            "frame lost",
            "frame doubled",
            "frame late",
            "frame cut",
            "frame of another answer",
            "connection silent"
        )
    override val invariants = listOf(
        "the caller gets exactly the bytes of its own answer, in order",
        "a cut answer never passes as whole",
        "the agent holds no more than the window",
        "the answer is whole in the end"
    )

    override fun run(injections: List<Injection>): List<String> =
        Run(Injector(injections)).violations()

    private inner class Run(private val injector: Injector) {
        private val found = LinkedHashSet<String>()
        private val expected = ByteArray(PARTS * PART_BYTES) { it.toByte() }
        private val received = mutableListOf<Byte>()
        private val buffer = ResponseBuffer(WINDOW_BYTES, 0)
        private val assembler = StreamAssembler()
        private val late = mutableListOf<Frame>()
        private var window = CreditWindow(WINDOW_BYTES.toLong())
        private var creditLost = false
        private var produced = 0
        private var isWhole = false

        fun violations(): List<String> {
            var fetches = 0
            while (!isWhole && fetches <= FETCHES_MAX) {
                transmit()
                fetches++
            }
            if (!isWhole) found += invariants[3]
            if (isWhole && received != expected.toList()) found += invariants[1]
            if (received != expected.take(received.size)) found += invariants[0]
            return found.toList()
        }

        /** One connection: from the offset that the entry asks for until it breaks or ends. */
        private fun transmit() {
            var offset = assembler.offset
            window = CreditWindow(WINDOW_BYTES.toLong())
            buffer.acknowledge(offset)
            late.toList().forEach { deliver(it) }
            late.clear()
            while (true) {
                produce()
                if (buffer.heldBytes > WINDOW_BYTES) found += invariants[2]
                val bytes = buffer.read(offset, PART_BYTES) ?: return
                val allowed = window.take(bytes.size)
                if (bytes.isNotEmpty() && allowed == 0) return
                if (bytes.isEmpty()) break
                val part = Part(RequestId("own"), offset, bytes.copyOf(allowed))
                offset += allowed
                if (!send(stepOf(part), part)) return
                credit()
            }
            val end = buffer.end as? ResponseEnd.Whole ?: return
            send("end", End(RequestId("own"), end.length, end.checksum))
        }

        private fun produce() {
            while (produced < PARTS && buffer.heldBytes + PART_BYTES <= WINDOW_BYTES) {
                val from = produced * PART_BYTES
                buffer.append(expected.copyOfRange(from, from + PART_BYTES))
                produced++
            }
            if (produced == PARTS && buffer.end == null) buffer.finish(isWhole = true)
        }

        private fun stepOf(part: Part): String = when (part.offset) {
            0L -> "first part"
            (PARTS - 1L) * PART_BYTES -> "last part"
            else -> "middle part"
        }

        /** Returns false when the connection is gone. */
        private fun send(step: String, frame: Frame): Boolean {
            val strikes = injector.at(step)
            if ("frame late" in strikes) late += frame
            if ("frame of another answer" in strikes) deliver(foreign(frame))
            val isDropped = strikes.any {
                it in
                    setOf("frame lost", "frame late", "connection silent")
            }
            if (!isDropped) deliver(if ("frame cut" in strikes) cut(frame) else frame)
            if ("frame doubled" in strikes) deliver(frame)
            return "connection silent" !in strikes
        }

        private fun foreign(frame: Frame): Frame = when (frame) {
            is Part -> Part(RequestId("other"), frame.offset, ByteArray(PART_BYTES) { -1 })
            else -> End(RequestId("other"), 1, 1)
        }

        private fun cut(frame: Frame): Frame = if (frame is Part) {
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
            if (step is StreamStep.Whole) isWhole = true
            if (step is StreamStep.Corrupt) found += invariants[3]
        }

        private fun credit() {
            val strikes = injector.at("credit")
            if (strikes.any { it in setOf("frame lost", "frame late", "connection silent") }) {
                creditLost =
                    true
            }
            val granted = if (creditLost) 0 else assembler.offset + WINDOW_BYTES
            creditLost = false
            window.grant(granted)
            buffer.acknowledge(assembler.offset)
        }
    }
}
