/*
 * Applies the admission under overload to the calls of one entry: follows the demand at all
 * entries and the load of each service, and decides which calls are refused and when their
 * callers come back.
 */
package org.toucanspur.daemon.gateway

import kotlin.random.Random
import org.toucanspur.core.gateway.OverloadAdmission
import org.toucanspur.core.gateway.TrafficConfiguration
import org.toucanspur.core.gateway.WaitCapacity
import org.toucanspur.core.gateway.WaitPolicy
import org.toucanspur.core.gateway.contendedBudgetMillis
import org.toucanspur.core.gateway.loadOf
import org.toucanspur.schema.ServiceId

/** Admission of calls under overload at one entry; confined to the event loop. */
class OverloadControl(private val state: GatewayState) {
    private val admissions = HashMap<ServiceId, OverloadAdmission>()
    private val priorities = HashMap<ServiceId, Set<Int>>()
    private val leastTargets = HashMap<ServiceId, Long>()
    private val paces = HashMap<ServiceId, Double>()
    private var prioritiesOf: TrafficConfiguration? = null
    private var updatedMillis = Long.MIN_VALUE
    private val random: Random get() = state.random

    /** Whether [call] is admitted; charges it to its organisation if [isRecorded]. */
    fun admits(call: Call, isRecorded: Boolean = true): Boolean = admissions[call.service.id]
        ?.admits(call.priority, call.organisation?.id, !call.isOnTime, isRecorded)
        ?: true

    /** Part of the requests of the priority of [call] that is admitted. */
    fun share(call: Call): Double = admissions[call.service.id]?.share(call.priority) ?: 1.0

    /** Updates the admission; [waitingCount] gives the waiting calls that can be on time. */
    fun update(nowMillis: Long, waitingCount: (ServiceId) -> Int) {
        if (updatedMillis != Long.MIN_VALUE && nowMillis - updatedMillis < UPDATE_MILLIS) return
        updatedMillis = nowMillis
        val configuration = state.configuration ?: return
        if (configuration !== prioritiesOf) onConfiguration(configuration)
        val entryCount = state.entryCount(nowMillis)
        for (service in configuration.services.values) {
            val demand = state.exchange.demand.total(service.id, nowMillis)
            if (demand.isEmpty() && service.id !in admissions) continue
            val load = state.fleet.loadOf(service, nowMillis, entryCount)
            paces[service.id] = load.paceMax
            admissions.getOrPut(service.id) { OverloadAdmission() }.update(
                load,
                demand,
                waitingCount(service.id) * entryCount,
                priorities[service.id].orEmpty().size > 1,
                nowMillis
            )
        }
    }

    private fun onConfiguration(configuration: TrafficConfiguration) {
        prioritiesOf = configuration
        priorities.clear()
        leastTargets.clear()
        paces.keys.retainAll(configuration.services.keys)
        admissions.keys.retainAll(configuration.services.keys)
        configuration.services.keys.forEach {
            priorities[it] = configuration.prioritiesOf(it)
            leastTargets[it] = configuration.leastTargetMillis(it)
        }
    }

    /** Capacity that this entry can use for its waiting calls to [service]. */
    fun waitCapacity(service: ServiceId, nowMillis: Long): WaitCapacity {
        val admission = admissions[service]
        val total = admission?.costPerSecond ?: 0.0
        // While endpoints are not known to take requests, calls wait for them as long as is useful.
        if (admission == null || total <= 0) return WaitCapacity(UNKNOWN, UNKNOWN)
        val own = total / state.entryCount(nowMillis)
        val spareShare = if (admission.isOverloaded) {
            admission.spareShare
        } else {
            maxOf(SPARE_MIN, admission.spareShare)
        }
        return WaitCapacity(own, own * spareShare)
    }

    /** Time after which the caller of [call], which was refused in favour of others, returns. */
    fun retryAfterMillis(call: Call, nowMillis: Long): Long = WaitPolicy.sharedRetryAfterMillis(
        admissions[call.service.id]?.servedShare(call.priority) ?: 1.0,
        call.priority,
        call.deadlineMillis - nowMillis,
        random
    )

    /**
     * Budget for the first byte of [call], which has waited for [elapsedMillis] and whose own
     * one is [budgetMillis].
     */
    fun budgetMillis(call: Call, budgetMillis: Double, elapsedMillis: Long): Double {
        val service = call.service
        val isContended = isOverloaded(service.id) && priorities[service.id].orEmpty().size > 1
        if (!isContended) return budgetMillis
        val leastTarget = leastTargets[service.id] ?: call.route.targetMillis
        return contendedBudgetMillis(
            budgetMillis,
            WaitPolicy.firstByteBudgetMillis(leastTarget, elapsedMillis, call.isOnTime),
            elapsedMillis < WaitPolicy.reviewMillis(call.route.targetMillis),
            service.engine,
            paces[service.id] ?: 1.0
        )
    }

    /** Whether more is asked of [service] than it can serve. */
    fun isOverloaded(service: ServiceId): Boolean = admissions[service]?.isOverloaded ?: false

    /** Part of the retry budget that [call] may use: under overload, urgent calls go first. */
    fun retryPart(call: Call): Double {
        val mostUrgent = priorities[call.service.id].orEmpty().minOrNull() ?: call.priority
        return if (isOverloaded(call.service.id) && call.priority > mostUrgent) {
            CONTENDED_RETRY_PART
        } else {
            1.0
        }
    }

    private companion object {
        const val UPDATE_MILLIS = 100L
        const val UNKNOWN = Double.MAX_VALUE

        // Late calls get at least this part of a service that is not overloaded.
        const val SPARE_MIN = 0.2
        const val CONTENDED_RETRY_PART = 0.5
    }
}
