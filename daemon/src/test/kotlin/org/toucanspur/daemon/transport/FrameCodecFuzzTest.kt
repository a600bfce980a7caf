package org.toucanspur.daemon.transport

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import org.toucanspur.schema.CrashEvidence
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.EndpointLimit
import org.toucanspur.schema.Frame
import org.toucanspur.schema.LimitNotice
import org.toucanspur.schema.LoadQuery
import org.toucanspur.schema.LoadReport
import org.toucanspur.schema.ModelId
import org.toucanspur.schema.PieceQuery
import org.toucanspur.schema.PieceReply
import org.toucanspur.schema.PieceStatus
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.ServiceResponses
import org.toucanspur.schema.VmId

private const val FRAMES = 12_000
private const val SEED = 20_261_205L
private const val CHANGED_BYTES_MAX = 4

private val vm = VmId("vm-1")
private val frames: List<Frame> = listOf(
    LoadQuery(vm),
    LoadReport(vm, 5, 7, 3, 1, 2, false, -1, 100, 250, 4, 1),
    CrashEvidence(vm, emptyList(), listOf(ServiceResponses(ServiceId("s"), listOf(1, 2)))),
    LimitNotice(vm, listOf(EndpointLimit(EndpointId("e"), 5, 2000, 10))),
    PieceStatus(vm, ModelId("m"), 2, ByteArray(12) { it.toByte() }, false),
    PieceQuery(ModelId("m"), 2, 5),
    PieceReply(ModelId("m"), 2, 5, ByteArray(64), false)
)

/** Bytes that announce [levels] arrays, each inside the other. */
private fun nested(levels: Int) = ByteArray(levels) { 0x81.toByte() }

class FrameCodecFuzzTest :
    DescribeSpec({
        fun isRejected(bytes: ByteArray): Boolean = try {
            decodeFrame(bytes)
            false
        } catch (_: ProtocolException) {
            true
        }

        describe("a frame of which bytes are changed, missing or added") {
            it("is decoded or rejected as malformed, and nothing else") {
                val random = Random(SEED)
                var rejected = 0
                repeat(FRAMES) {
                    val encoded = encodeFrame(frames.random(random))
                    val changed = when (random.nextInt(3)) {
                        0 -> encoded.copyOf(random.nextInt(encoded.size))
                        1 -> encoded + random.nextBytes(CHANGED_BYTES_MAX)
                        else -> encoded.copyOf().also { bytes ->
                            repeat(1 + random.nextInt(CHANGED_BYTES_MAX)) {
                                bytes[random.nextInt(bytes.size)] = random.nextInt().toByte()
                            }
                        }
                    }
                    if (isRejected(changed)) rejected++
                }
                rejected shouldBeGreaterThan 0
            }
            it("is rejected if it is nested deeply") {
                isRejected(nested(100_000)) shouldBe true
                val known = encodeFrame(frames.first())
                isRejected(known.dropLast(1).toByteArray() + nested(100_000)) shouldBe true
            }
        }
    })
