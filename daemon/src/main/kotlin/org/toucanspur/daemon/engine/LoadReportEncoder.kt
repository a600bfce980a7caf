/*
 * Encodes one load report for several entries. Only the index of the receiver differs, and CBOR
 * encodes an index up to 23 in one byte, so the report is encoded twice and then copied.
 */
package org.toucanspur.daemon.engine

import java.util.Arrays
import org.toucanspur.daemon.transport.encodeFrame
import org.toucanspur.schema.LoadReport

/** Encodings of [report] for receivers with different indexes. */
class LoadReportEncoder(private val report: LoadReport) {
    private val first = encodeFrame(report.copy(entryIndex = 0))
    private val indexPosition by lazy {
        Arrays.mismatch(first, encodeFrame(report.copy(entryIndex = 1)))
    }

    /** Returns the encoded report for the receiver with [index]. */
    fun encode(index: Int): ByteArray = when (index) {
        0 -> first
        in 1..ONE_BYTE_MAX -> first.copyOf().also {
            it[indexPosition] = (it[indexPosition] + index).toByte()
        }
        else -> encodeFrame(report.copy(entryIndex = index))
    }

    private companion object {
        // Larger integers have further bytes (RFC 8949, section 3).
        const val ONE_BYTE_MAX = 23
    }
}
