/*
 * What the entries tell each other in their notices: clocks, usage counts and demand.
 */
package org.toucanspur.daemon.gateway

import org.toucanspur.core.duties.EntryPeers
import org.toucanspur.core.duties.EntryRun
import org.toucanspur.core.duties.UsageCounts
import org.toucanspur.core.duties.UsageSource
import org.toucanspur.core.gateway.ClockPair
import org.toucanspur.core.gateway.DemandExchange
import org.toucanspur.core.gateway.DemandMeter
import org.toucanspur.core.gateway.ServiceDemand
import org.toucanspur.core.gateway.SlotCost
import org.toucanspur.core.gateway.divideNotice
import org.toucanspur.core.gateway.noticePeriodMillis
import org.toucanspur.core.gateway.requestCostMillis
import org.toucanspur.schema.EntryDemand
import org.toucanspur.schema.EntryNotice
import org.toucanspur.schema.Incarnation
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.VmId

/**
 * Exchange of the entry [vm]; confined to the event loop. Usage is counted in windows of
 * [usageWindowMillis], or not if that is null. [entryCount] is the number that agents report.
 */
class EntryExchange(
    vm: VmId,
    private val clocks: ClockPair,
    usageWindowMillis: Long?,
    private val entryCount: (nowMillis: Long) -> Int
) : UsageSource {
    private val self = EntryRun(vm, Incarnation(clocks.now().wallMillis))
    private val peers = EntryPeers(self)
    private val usage = usageWindowMillis?.let { UsageCounts(self, it) }
    private val meter = DemandMeter()
    private val slotCosts = HashMap<ServiceId, SlotCost>()
    private var sequence = 0L
    private var nextNoticeMillis = Long.MIN_VALUE

    /** Demand at all entries together. */
    val demand =
        DemandExchange(meter, { now -> peers.live(now).mapTo(HashSet()) { it.vm } }, entryCount)

    /** Number of other entries that are heard from. */
    val heardCount: Int get() = peers.live(clocks.now().monotonicMillis).size

    /** Time of day in milliseconds, as most entries have it. */
    fun trueMillis(): Long = peers.trueMillis(clocks.now())

    /** Whether most entries are heard from, so that [trueMillis] and counts can be relied on. */
    fun isKnown(): Boolean = demand.isKnown(clocks.now().monotonicMillis)

    /** Records the arrival of [call]. */
    fun onRequest(call: Call) = meter.onRequest(
        call.service.id,
        call.priority,
        call.costMillis,
        isRepeated = !call.isOnTime,
        clocks.now().monotonicMillis
    )

    /** Records that [call] was refused. */
    fun onRefused(call: Call) = meter.onRefused(
        call.service.id,
        call.priority,
        call.costMillis,
        clocks.now().monotonicMillis
    )

    /** Records that [call] has begun to run at an endpoint, for the first time. */
    fun onBegun(call: Call) {
        val organisation = call.organisation?.id ?: return
        onBegun(organisation)
    }

    /** Records that a request of [organisation] has begun to run. */
    fun onBegun(organisation: OrganisationId) {
        usage?.count(organisation, trueMillis())
    }

    /** Records that an endpoint has run [call] to its end. */
    fun onComplete(call: Call) {
        if (call.service.engine != null) return
        slotCosts.getOrPut(call.service.id) { SlotCost() }
            .onComplete(clocks.now().monotonicMillis - call.sentMillis)
    }

    /** Time for which [call] is expected to occupy an engine, or a slot of another endpoint. */
    fun costMillis(call: Call): Double {
        val engine = call.service.engine
            ?: return slotCosts.getOrPut(call.service.id) { SlotCost() }.meanMillis
        val tokens = call.metadata.promptTokens ?: engine.typicalPromptTokens
        return requestCostMillis(engine, tokens.coerceIn(0, PROMPT_TOKENS_MAX))
    }

    /** Applies the [notice] of another entry. */
    fun onNotice(notice: EntryNotice) {
        val now = clocks.now()
        if (!peers.onNotice(notice, now.monotonicMillis)) return
        demand.onNotice(notice, now.monotonicMillis)
        val counts = usage ?: return
        val sentMillis = peers.sentMillis(notice, now) ?: return
        val trueMillis = peers.trueMillis(now)
        val run = EntryRun(notice.vm, notice.incarnation)
        notice.windows.take(WINDOWS_MAX).forEach { counts.merge(run, it, sentMillis, trueMillis) }
    }

    /** Notices to send now, each as one datagram; empty until the next ones are due. */
    fun dueNotices(): List<EntryNotice> {
        val now = clocks.now()
        if (now.monotonicMillis < nextNoticeMillis) return emptyList()
        val periodMillis = noticePeriodMillis(entryCount(now.monotonicMillis))
        nextNoticeMillis = now.monotonicMillis + periodMillis
        sequence++
        val header =
            EntryNotice(self.vm, self.incarnation, sequence, now.wallMillis, periodMillis)
        val counts = usage?.ownCounts(peers.trueMillis(now), sequence).orEmpty()
        return divideNotice(header, counts, meter.demand(now.monotonicMillis).map(::toEntryDemand))
    }

    override fun totals(window: Long): Map<OrganisationId, Long> = usage?.totals(window).orEmpty()

    override fun completeShare(window: Long): Double {
        val runs = peers.live(clocks.now().monotonicMillis)
        val complete = runs.count { usage?.isComplete(window, it) == true }
        return (complete + 1.0) / (runs.size + 1)
    }

    private companion object {
        const val PROMPT_TOKENS_MAX = 1_000_000
        const val WINDOWS_MAX = 16
    }
}

private fun toEntryDemand(demand: ServiceDemand) = EntryDemand(
    demand.service,
    demand.priority,
    demand.milliRequestsPerSecond,
    demand.costMillisPerSecond,
    demand.refusedCostMillisPerSecond,
    demand.repeatedCostMillisPerSecond
)
