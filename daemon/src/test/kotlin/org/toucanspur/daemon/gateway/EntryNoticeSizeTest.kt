package org.toucanspur.daemon.gateway

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.toucanspur.core.gateway.divideNotice
import org.toucanspur.daemon.transport.encodeFrame
import org.toucanspur.schema.EntryDemand
import org.toucanspur.schema.EntryNotice
import org.toucanspur.schema.Incarnation
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.VmId
import org.toucanspur.schema.WindowCounts

private val header = EntryNotice(
    VmId("entry-".padEnd(40, 'x')),
    Incarnation(Long.MAX_VALUE),
    Long.MAX_VALUE,
    Long.MAX_VALUE,
    5000
)

private fun windows(organisations: Int, name: String = "organisation-", count: Long = 1L shl 40) =
    (1L..3).map { window ->
        val ids = (1..organisations).map { OrganisationId("$name$it") }
        WindowCounts(353_445_120 + window, ids, ids.map { count }, Long.MAX_VALUE)
    }

private fun demands(kinds: Int) = (1..kinds).map {
    val value = 1_000_000_000_000L
    EntryDemand(ServiceId("service-$it"), it, value, value, value, value)
}

class EntryNoticeSizeTest :
    DescribeSpec({
        describe("the datagrams of a notice") {
            it("fit into one packet each and lose nothing, with any number of counts") {
                listOf(0, 1, 24, 100, 400).forEach { organisations ->
                    val notices = divideNotice(header, windows(organisations), demands(12))
                    notices.forEach { encodeFrame(it).size shouldBeLessThanOrEqual 1200 }
                    notices.flatMap { it.demand } shouldBe demands(12)
                    notices.flatMap { it.windows }.sumOf { it.counts.size } shouldBe
                        3 * organisations
                }
            }
            it("are two for 24 organisations and four kinds of requests") {
                val usual = windows(24, "bozi3", 412)
                divideNotice(header, usual, demands(4)) shouldHaveSize 2
            }
        }
    })
