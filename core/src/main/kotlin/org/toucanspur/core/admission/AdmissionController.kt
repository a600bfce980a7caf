/*
 * Admission control of one endpoint. Limits the running requests and the number and size of the
 * queued ones, and refuses all others before execution. Every request to the endpoint passes this
 * controller, so no combination of callers and entries can exceed the limits.
 */
package org.toucanspur.core.admission

import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.Priority
import org.toucanspur.schema.RequestId

/** Request to be admitted. */
data class AdmissionRequest(
    val id: RequestId,
    val organisation: OrganisationId,
    val priority: Priority,
    val sizeBytes: Long,
    val deadlineMillis: Long,
    val runsExclusively: Boolean = false
)

/** Why a request was refused without being executed. */
enum class AdmissionRefusal { OVERLOADED, DEADLINE, DRAINING, DISPLACED }

/** Decision of the admission controller. */
sealed interface AdmissionEffect {
    /** The request may run now. */
    data class Run(val id: RequestId) : AdmissionEffect

    /** The request is refused; the caller may retry after [retryAfterMillis]. */
    data class Refuse(val id: RequestId, val reason: AdmissionRefusal, val retryAfterMillis: Long) :
        AdmissionEffect
}

/** Limits of the admission controller. */
data class AdmissionSettings(
    val limit: ConcurrencyLimitSettings,
    val heldMax: Int,
    val heldBytesMax: Long
)

/** Load of the admission controller, for status reports. */
data class AdmissionLoad(val limit: Int, val running: Int, val held: Int, val isAccepting: Boolean)

/** Admits requests to one endpoint. Not thread-safe; see [SharedAdmissionController]. */
class AdmissionController(settings: AdmissionSettings, shareOf: (OrganisationId) -> Int) {
    private val limit = ConcurrencyLimit(settings.limit)
    private val queue =
        FairQueue<AdmissionRequest>(settings.heldMax, settings.heldBytesMax, shareOf)
    private val running = LinkedHashMap<RequestId, AdmissionRequest>()
    private var isOpen = true
    private var isDraining = false

    /** Applies changed limits. */
    fun configure(changed: AdmissionSettings) {
        limit.configure(changed.limit)
        queue.configure(changed.heldMax, changed.heldBytesMax)
    }

    /** Returns the current load. */
    fun load(): AdmissionLoad =
        AdmissionLoad(limit.current, running.size, queue.count, isOpen && !isDraining)

    /** Ids of the running requests. */
    fun runningIds(): Set<RequestId> = running.keys.toSet()

    /** Starts, queues or refuses a new request. */
    fun offer(request: AdmissionRequest, nowMillis: Long): List<AdmissionEffect> {
        if (isDraining) return listOf(refuse(request, AdmissionRefusal.DRAINING))
        if (request.deadlineMillis <=
            nowMillis
        ) {
            return listOf(refuse(request, AdmissionRefusal.DEADLINE))
        }
        if (queue.count == 0 && canStart(request)) return listOf(start(request))
        val queued = QueueEntry(
            request,
            request.organisation,
            request.priority,
            request.sizeBytes,
            request.deadlineMillis
        )
        val result = queue.offer(queued)
        val displaced = result.evicted.map { refuse(it.item, AdmissionRefusal.DISPLACED) }
        val refused = if (result.isHeld) {
            emptyList()
        } else {
            listOf(
                refuse(request, AdmissionRefusal.OVERLOADED)
            )
        }
        return displaced + refused + startQueued(nowMillis)
    }

    /**
     * Completes a request. [firstByteMillis] is its time to the first byte, or null when it failed
     * or was cancelled. Returns the effects and whether the endpoint is now considered cold.
     */
    fun complete(id: RequestId, firstByteMillis: Long?, nowMillis: Long): CompletionOutcome {
        if (running.remove(id) == null) return CompletionOutcome(emptyList(), false)
        val turnedCold = firstByteMillis?.let(limit::onCompleted) ?: false
        return CompletionOutcome(startQueued(nowMillis), turnedCold)
    }

    /** Removes a queued request; returns false when it is not queued. */
    fun cancelWaiting(id: RequestId): Boolean = queue.removeIf { it.item.id == id }.isNotEmpty()

    /** Resets the limit to the cold limit after a sign that the endpoint is cold. */
    fun onColdSignal() = limit.reset()

    /** Enables or disables the start of requests as the endpoint is routable; keeps the queue. */
    fun setOpen(open: Boolean, nowMillis: Long): List<AdmissionEffect> {
        isOpen = open
        return startQueued(nowMillis)
    }

    /** Stops accepting requests and refuses the queued ones; running requests complete. */
    fun drain(): List<AdmissionEffect> {
        isDraining = true
        return queue.removeIf { true }.map { refuse(it.item, AdmissionRefusal.DRAINING) }
    }

    /** Accepts requests again, starting from the cold limit. */
    fun undrain() {
        if (!isDraining) return
        isDraining = false
        limit.reset()
    }

    /** Refuses the queued requests whose deadline has passed. */
    fun tick(nowMillis: Long): List<AdmissionEffect> =
        queue.expire(nowMillis).map { refuse(it.item, AdmissionRefusal.DEADLINE) } +
            startQueued(nowMillis)

    private fun startQueued(nowMillis: Long): List<AdmissionEffect> {
        val effects = mutableListOf<AdmissionEffect>()
        while (isOpen && running.size < limit.current && !isBlockedByExclusiveRequest()) {
            val next = queue.poll() ?: break
            when {
                next.deadlineMillis <= nowMillis ->
                    effects +=
                        refuse(next.item, AdmissionRefusal.DEADLINE)
                canStart(next.item) -> effects += start(next.item)
                else -> {
                    queue.offer(next)
                    break
                }
            }
        }
        return effects
    }

    private fun canStart(request: AdmissionRequest): Boolean = isOpen &&
        running.size < limit.current &&
        !isBlockedByExclusiveRequest() &&
        (!request.runsExclusively || running.isEmpty())

    private fun isBlockedByExclusiveRequest(): Boolean = running.values.any { it.runsExclusively }

    private fun start(request: AdmissionRequest): AdmissionEffect {
        running[request.id] = request
        return AdmissionEffect.Run(request.id)
    }

    private fun refuse(request: AdmissionRequest, reason: AdmissionRefusal): AdmissionEffect {
        val waitFactor = 1 + queue.count / limit.current
        return AdmissionEffect.Refuse(request.id, reason, RETRY_AFTER_MILLIS * waitFactor)
    }

    private companion object {
        const val RETRY_AFTER_MILLIS = 500L
    }
}

/** Effects of a completion, and whether it showed that the endpoint is cold. */
data class CompletionOutcome(val effects: List<AdmissionEffect>, val turnedCold: Boolean)
