/*
 * Heartbeats that an entry receives from one endpoint as the endpoint starts, leaves and returns as
 * a new incarnation.
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
private const val HEARTBEAT_INTERVAL_MILLIS = 500L
private const val HEARTBEATS = 40
private const val LEAVE_HEARTBEAT = 15
private const val RETURN_HEARTBEAT = 25
private const val DELAYED_MILLIS = 1500L
private const val LEAVE_LIMIT_MILLIS = 2000L

internal class MembershipFlow : FaultFlow {
    override val name = "membership"
    override val steps = listOf("heartbeat", "leave", "return")
    override val faults =
        listOf(
            "message lost",
            "message delayed",
            "message duplicated",
            "report of earlier incarnation",
            "agent paused",
            "connection lost"
        )
    override val invariants = listOf(
        "a leaving endpoint gets no new work later than 2 s after it starts to leave",
        "a report of an earlier incarnation has no effect",
        "an endpoint that returns gets new work again"
    )

    override fun run(injections: List<Injection>): List<String> =
        Simulation(Injector(injections)).violations()

    private inner class Simulation(private val injector: Injector) {
        private val time = VirtualTimeScheduler()
        private val violated = LinkedHashSet<String>()
        private val table = EndpointTable(STALE_MILLIS, OutlierDetector())
        private var currentIncarnation = 1L
        private var highestIncarnation = 0L
        private var sequence = 0L
        private var isDraining = false
        private var leftAtMillis = Long.MAX_VALUE
        private var pausedUntil = 0L

        fun violations(): List<String> {
            sendHeartbeat(0)
            time.runUntil(HEARTBEATS * HEARTBEAT_INTERVAL_MILLIS + DELAYED_MILLIS, ::check)
            if (selectForNewWork() == null) violated += invariants[2]
            return violated.toList()
        }

        private fun check() {
            val selected = selectForNewWork() ?: return
            if (isDraining && time.nowMillis - leftAtMillis > LEAVE_LIMIT_MILLIS) {
                violated += invariants[0]
            }
            if (selected.incarnation.value < highestIncarnation) violated += invariants[1]
        }

        private fun selectForNewWork(): EndpointStatus? {
            val query = RouteQuery(ZoneId("a"), RegionId("north"), emptySet())
            return selectEndpoint(
                table.endpointsOf(PoolId("pool"), time.nowMillis),
                query,
                Random(1)
            )?.status
        }

        private fun sendHeartbeat(number: Int) {
            if (number == HEARTBEATS) return
            val step = when (number) {
                LEAVE_HEARTBEAT -> "leave"
                RETURN_HEARTBEAT -> "return"
                else -> "heartbeat"
            }
            if (number == LEAVE_HEARTBEAT) {
                isDraining = true
                leftAtMillis = time.nowMillis
            }
            if (number == RETURN_HEARTBEAT) {
                isDraining = false
                currentIncarnation++
                sequence = 0
            }
            send(step)
            time.schedule(HEARTBEAT_INTERVAL_MILLIS) { sendHeartbeat(number + 1) }
        }

        private fun send(step: String) {
            val injected = injector.faultsAt(step)
            if ("agent paused" in injected) pausedUntil = time.nowMillis + 2 * STALE_MILLIS
            if ("connection lost" in injected) table.onLost(VmId("vm"))
            if ("report of earlier incarnation" in injected) {
                time.schedule(DELAYED_MILLIS) {
                    receive(status(currentIncarnation - 1, Long.MAX_VALUE))
                }
            }
            if ("message lost" in injected || time.nowMillis < pausedUntil) return
            val status = status(currentIncarnation, ++sequence)
            val delay = if ("message delayed" in injected) DELAYED_MILLIS else 1L
            time.schedule(delay) { receive(status) }
            if ("message duplicated" in injected) {
                time.schedule(DELAYED_MILLIS) { receive(status) }
            }
        }

        private fun receive(status: EndpointStatus) {
            highestIncarnation = maxOf(highestIncarnation, status.incarnation.value)
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
            accepting = !isDraining
        )
    }
}
