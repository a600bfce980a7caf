/*
 * Reports the usage of all entries while this entry holds the lease for duties.
 */
package org.toucanspur.daemon.duties

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.delay
import kotlinx.serialization.json.put
import org.toucanspur.core.duties.DutyApi
import org.toucanspur.core.duties.DutyLease
import org.toucanspur.core.duties.DutyPermit
import org.toucanspur.core.duties.DutyRecord
import org.toucanspur.core.duties.DutyReply
import org.toucanspur.core.duties.RecordedWindow
import org.toucanspur.core.duties.UsagePlan
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.ClockPair
import org.toucanspur.daemon.log.DecisionLog

/**
 * Reports windows as [plan] decides. [trueMillis] returns the time of day, or null while it cannot
 * be relied on. [callMillis] is the time for which a permit has to be valid for a call.
 */
class UsageReporter(
    private val lease: DutyLease,
    private val updates: RecordUpdates,
    private val api: DutyApi,
    private val plan: UsagePlan,
    private val clocks: ClockPair,
    private val callMillis: Long,
    private val trueMillis: () -> Long?,
    private val log: DecisionLog,
    private val registry: MeterRegistry
) {
    /** Reports for ever. */
    suspend fun run() {
        while (true) {
            step()
            delay(STEP_MILLIS)
        }
    }

    /** Makes windows final that are due, and sends one report that is due. */
    suspend fun step() {
        if (lease.permit(callMillis) == null) return
        val record = lease.record ?: return
        val timeMillis = trueMillis() ?: return
        plan.takeMissed(record, timeMillis).forEach { onMissed(it, "not accepted") }
        if (plan.nextRecord(record, lease.recordGapUntilMillis, timeMillis) != null) {
            finalise(record)
        }
        // Storing takes time, in which the lease may have been lost.
        val permit = lease.permit(callMillis) ?: return
        send(permit)
    }

    private suspend fun finalise(before: DutyRecord) {
        val stored = updates.update { current ->
            trueMillis()?.let { plan.nextRecord(current, lease.recordGapUntilMillis, it) }
        } ?: return
        if (before.finalUntil == 0L) return
        val recorded = stored.windows.associateBy { it.window }
        // Bounded, as the entries may have been without a holder for long.
        val first = maxOf(before.finalUntil + 1, stored.finalUntil - LOGGED_WINDOWS_MAX)
        for (window in first..stored.finalUntil) {
            val final = recorded[window]
            if (final == null) onMissed(window, "counts incomplete or too old") else onFinal(final)
        }
    }

    private fun onFinal(window: RecordedWindow) = log.event(EventCode.USAGE_FINAL) {
        put("window", window.window)
        put("requests", window.counts.values.sum())
        put("organisations", window.counts.size)
    }

    private fun onMissed(window: Long, reason: String) {
        registry.counter("toucanspur.usage.windows", "result", "missed").increment()
        log.event(EventCode.USAGE_MISSED) {
            put("window", window)
            put("reason", reason)
        }
    }

    private suspend fun send(permit: DutyPermit) {
        val timeMillis = trueMillis() ?: return
        val record = lease.record ?: return
        val now = clocks.now().monotonicMillis
        val window = plan.nextReport(record, permit.fencing, timeMillis, now) ?: return
        plan.onSent(window.window, permit.fencing, now)
        val reply = api.reportUsage(permit, window.window, window.counts)
        plan.onReply(window.window, reply, clocks.now().monotonicMillis)
        if (reply != DutyReply.ACCEPTED) return
        registry.counter("toucanspur.usage.windows", "result", "accepted").increment()
        log.event(EventCode.USAGE_REPORTED) { put("window", window.window) }
    }

    private companion object {
        const val STEP_MILLIS = 100L
        const val LOGGED_WINDOWS_MAX = 12
    }
}
