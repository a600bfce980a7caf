package org.toucanspur.daemon.engine

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.toucanspur.daemon.transport.decodeFrame
import org.toucanspur.daemon.transport.encodeFrame
import org.toucanspur.schema.LoadReport
import org.toucanspur.schema.VmId

class LoadReportEncoderTest :
    DescribeSpec({
        // Guards against a change of the schema or the codec after which a byte of another field
        // would be changed.
        it("encodes a report for each receiver as the codec does") {
            val report = LoadReport(
                vm = VmId("vm"),
                startedAtMillis = 1,
                sequence = 1,
                running = 1,
                waiting = 0,
                loadedVersion = 1,
                isLoading = false,
                nextLoadMillis = -1,
                pacePercent = 100,
                periodMillis = 925,
                entries = 300,
                entryIndex = 0
            )
            val encoder = LoadReportEncoder(report)
            listOf(0, 1, 12, 23, 24, 299).forEach { index ->
                val expected = report.copy(entryIndex = index)
                decodeFrame(encoder.encode(index)) shouldBe expected
                encoder.encode(index) shouldBe encodeFrame(expected)
            }
        }
    })
