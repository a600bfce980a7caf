/*
 * The duties of an entry: its lease and its calls to the operations API.
 */
package org.toucanspur.daemon.duties

import io.micrometer.core.instrument.MeterRegistry
import kotlin.random.Random
import kotlinx.serialization.json.put
import org.toucanspur.core.duties.AcquireReason
import org.toucanspur.core.duties.DutyApi
import org.toucanspur.core.duties.DutyCallRate
import org.toucanspur.core.duties.LeaseContent
import org.toucanspur.core.duties.LeaseObserver
import org.toucanspur.core.duties.LeaseStateMachine
import org.toucanspur.core.duties.LeaseTerms
import org.toucanspur.core.duties.LossReason
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.ClockPair
import org.toucanspur.core.platform.ConditionalStore
import org.toucanspur.core.platform.HttpCaller
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.net.NettyEventLoop
import org.toucanspur.platform.OperationsClient
import org.toucanspur.schema.NodeConfiguration
import org.toucanspur.schema.VmId

// Value of a setting that is not set.
private const val NONE = "none"

/** Whether the deployment has an operations API. */
val NodeConfiguration.hasDuties: Boolean get() = duties.address != NONE

/** Duties with [settings]; for deployments that have an operations API. */
class EntryDuties(
    settings: NodeConfiguration,
    private val loop: NettyEventLoop,
    http: HttpCaller,
    store: ConditionalStore,
    clocks: ClockPair,
    log: DecisionLog,
    registry: MeterRegistry
) {
    /** The lease. */
    val lease: DutyLeaseHolder

    /** The operations API, within its rate. */
    val api: DutyApi

    init {
        val terms = LeaseTerms(
            settings.duties.leaseMillis.toLong(),
            settings.duties.thawSlackMillis.toLong()
        )
        // Differs between the processes of a VM, so that a write of an earlier one is recognised.
        val incarnation = Random.nextLong(Long.MAX_VALUE)
        val machine = LeaseStateMachine(
            settings.node.vm,
            incarnation,
            terms,
            Random(incarnation),
            LeaseLog(log, registry)
        )
        lease = DutyLeaseHolder(store, clocks, machine)
        val client = OperationsClient(http, settings.duties.address, lease::validMillis)
        api = PacedDutyApi(client, DutyCallRate(settings.duties.callsPerSecond), log, registry)
        registry.gauge("toucanspur.duties.lease.held", lease) {
            if (it.permit(1) == null) 0.0 else 1.0
        }
    }

    /** Becomes a candidate for the lease; as its holder, this entry does the duties of [work]. */
    fun start(work: DutyWork) {
        lease.timeOfDayMillis = work::timeOfDayMillis
        loop.supervise("duty lease") { lease.run() }
        work.reporter?.let { loop.supervise("usage reports") { it.run() } }
        work.orders?.let { loop.supervise("endpoint orders") { it.run() } }
    }

    /** The process is about to end; another entry takes over once the lease has expired. */
    fun beginStopping() = lease.stop()
}

private class LeaseLog(private val log: DecisionLog, private val registry: MeterRegistry) :
    LeaseObserver {
    override fun onAcquired(content: LeaseContent, previous: VmId?, reason: AcquireReason) {
        registry.counter("toucanspur.duties.lease.acquired", "reason", reason.name).increment()
        log.event(EventCode.DUTY_LEASE_ACQUIRED) {
            put("reason", reason.name)
            put("fencing", content.fencing.value)
            put("previous", previous?.value)
            put("era", content.era)
            put("windows", content.record.windows.size)
        }
    }

    override fun onLost(content: LeaseContent, reason: LossReason) {
        registry.counter("toucanspur.duties.lease.lost", "reason", reason.name).increment()
        log.event(EventCode.DUTY_LEASE_LOST) {
            put("reason", reason.name)
            put("fencing", content.fencing.value)
        }
    }

    override fun onUnreadable(revision: Long) =
        log.event(EventCode.DUTY_LEASE_UNREADABLE) { put("revision", revision) }
}
