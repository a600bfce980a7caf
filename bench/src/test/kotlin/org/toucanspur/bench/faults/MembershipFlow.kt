/*
 * Heartbeats of one endpoint as an entry sees them, over its start, a leave and a return.
 */
package org.toucanspur.bench.faults

import kotlin.random.Random
import org.toucanspur.core.membership.EndpointTable
import org.toucanspur.core.routing.OutlierDetector
import org.toucanspur.core.routing.RouteQuery
import org.toucanspur.core.routing.selectEndpoint
import org.toucanspur.schema.EndpointStatus
import org.toucanspur.schema.Incarnation
import org.toucanspur.schema.PoolId
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.Revision
import org.toucanspur.schema.VmId
import org.toucanspur.schema.ZoneId

private const val STALE_MILLIS = 2000L
private const val PACE_MILLIS = 500L
private const val BEATS = 40
private const val LEAVES_AT = 15
private const val RETURNS_AT = 25
private const val LATE_MILLIS = 1500L
private const val LIMIT_MILLIS = 2000L

internal class MembershipFlow : FaultFlow {
    override val name = "membership"
    override val steps = listOf("heartbeat", "leave", "return")
    override val faults =
        listOf(
            "message lost",
            "message late",
            "message doubled",
            "old life speaks",
            "agent paused",
            "connection lost"
        )
    override val invariants = listOf(
        "no new work for a leaving endpoint 2 s after it left",
        "a report of an earlier life has no effect",
        "an endpoint that returns is found again"
    )

    override fun run(injections: List<Injection>): List<String> =
        Run(Injector(injections)).violations()

    private inner class Run(private val injector: Injector) {
        private val time = VirtualTime()
        private val found = LinkedHashSet<String>()
        private val table = EndpointTable(STALE_MILLIS, OutlierDetector())
        private var life = 1L
        private var reportedLife = 0L
        private var sequence = 0L
        private var isLeaving = false
        private var leftMillis = Long.MAX_VALUE
        private var pausedUntil = 0L

        fun violations(): List<String> {
            beat(0)
            time.run(BEATS * PACE_MILLIS + LATE_MILLIS, ::check)
            if (choose() == null) found += invariants[2]
            return found.toList()
        }

        private fun check() {
            val chosen = choose() ?: return
            if (isLeaving && time.nowMillis - leftMillis > LIMIT_MILLIS) found += invariants[0]
            if (chosen.incarnation.value < reportedLife) found += invariants[1]
        }

        private fun choose(): EndpointStatus? {
            val query = RouteQuery(ZoneId("a"), RegionId("north"), emptySet())
            return selectEndpoint(
                table.endpointsOf(PoolId("pool"), time.nowMillis),
                query,
                Random(1)
            )?.status
        }

        private fun beat(number: Int) {
            if (number == BEATS) return
            val step = when (number) {
                LEAVES_AT -> "leave"
                RETURNS_AT -> "return"
                else -> "heartbeat"
            }
            if (number == LEAVES_AT) {
                isLeaving = true
                leftMillis = time.nowMillis
            }
            if (number == RETURNS_AT) {
                isLeaving = false
                life++
                sequence = 0
            }
            send(step)
            time.after(PACE_MILLIS) { beat(number + 1) }
        }

        private fun send(step: String) {
            val strikes = injector.at(step)
            if ("agent paused" in strikes) pausedUntil = time.nowMillis + 2 * STALE_MILLIS
            if ("connection lost" in strikes) table.onLost(VmId("vm"))
            if ("old life speaks" in strikes) {
                time.after(LATE_MILLIS) { receive(status(life - 1, Long.MAX_VALUE)) }
            }
            if ("message lost" in strikes || time.nowMillis < pausedUntil) return
            val status = status(life, ++sequence)
            val delay = if ("message late" in strikes) LATE_MILLIS else 1L
            time.after(delay) { receive(status) }
            if ("message doubled" in
                strikes
            ) {
                time.after(LATE_MILLIS) { receive(status) }
            }
        }

        private fun receive(status: EndpointStatus) {
            reportedLife = maxOf(reportedLife, status.incarnation.value)
            table.onReport(status, time.nowMillis)
        }

        private fun status(incarnation: Long, number: Long) = EndpointStatus(
            VmId("vm"),
            Incarnation(incarnation),
            PoolId("pool"),
            ZoneId("a"),
            RegionId("north"),
            number,
            Revision(1),
            ReleaseDigest("release"),
            limit = 1,
            running = 0,
            held = 0,
            accepting = !isLeaving
        )
    }
}
