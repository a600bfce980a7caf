/*
 * The only gate to an endpoint. It bounds the requests that run, the requests and bytes that are
 * held, and refuses the rest before any of it has run. No mix of callers and entries can pass the
 * limit, because every request to the endpoint takes this gate.
 */
package org.toucanspur.core.admission

import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.Priority
import org.toucanspur.schema.RequestId

/** A request at the gate. */
data class AdmissionRequest(
    val id: RequestId,
    val organisation: OrganisationId,
    val priority: Priority,
    val sizeBytes: Long,
    val deadlineMillis: Long,
    val runsAlone: Boolean = false
)

/** Why the gate turned a request away; it did not run. */
enum class AdmissionRefusal { OVERLOADED, DEADLINE, DRAINING, DISPLACED }

/** What the gate decided. */
sealed interface AdmissionEffect {
    /** The request may run now. */
    data class Run(val id: RequestId) : AdmissionEffect

    /** The request is turned away; the caller may come back after [retryAfterMillis]. */
    data class Refuse(val id: RequestId, val reason: AdmissionRefusal, val retryAfterMillis: Long) :
        AdmissionEffect
}

/** Limits of the gate. */
data class AdmissionSettings(val limit: ConcurrencyLimitSettings, val heldMax: Int, val heldBytesMax: Long)

/** Load of the gate, for status reports. */
data class AdmissionLoad(val limit: Int, val running: Int, val held: Int, val isAccepting: Boolean)

/** Admission to one endpoint. Not safe for use by several threads; see [SharedAdmissionController]. */
class AdmissionController(settings: AdmissionSettings, shareOf: (OrganisationId) -> Int) {
    private val limit = ConcurrencyLimit(settings.limit)
    private val queue = FairQueue<AdmissionRequest>(settings.heldMax, settings.heldBytesMax, shareOf)
    private val running = LinkedHashMap<RequestId, AdmissionRequest>()
    private var isOpen = true
    private var isDraining = false

    /** Takes over changed limits. */
    fun configure(changed: AdmissionSettings) {
        limit.configure(changed.limit)
        queue.configure(changed.heldMax, changed.heldBytesMax)
    }

    /** Load at this moment. */
    fun load(): AdmissionLoad = AdmissionLoad(limit.current, running.size, queue.count, isOpen && !isDraining)

    /** Requests that run now. */
    fun runningIds(): Set<RequestId> = running.keys.toSet()

    /** Offers a new request. */
    fun offer(request: AdmissionRequest, nowMillis: Long): List<AdmissionEffect> {
        if (isDraining) return listOf(refuse(request, AdmissionRefusal.DRAINING))
        if (request.deadlineMillis <=
            nowMillis
        ) {
            return listOf(refuse(request, AdmissionRefusal.DEADLINE))
        }
        if (queue.count == 0 && mayRun(request)) return listOf(start(request))
        val waiting = Waiting(
            request,
            request.organisation,
            request.priority,
            request.sizeBytes,
            request.deadlineMillis
        )
        val result = queue.offer(waiting)
        val displaced = result.evicted.map { refuse(it.item, AdmissionRefusal.DISPLACED) }
        val own = if (result.isHeld) {
            emptyList()
        } else {
            listOf(
                refuse(request, AdmissionRefusal.OVERLOADED)
            )
        }
        return displaced + own + startWaiting(nowMillis)
    }

    /**
     * Ends a request. [firstByteMillis] is the time to its first byte, or null when it failed or
     * was cancelled. Returns the effects and whether the endpoint has turned cold.
     */
    fun complete(id: RequestId, firstByteMillis: Long?, nowMillis: Long): CompletionOutcome {
        if (running.remove(id) == null) return CompletionOutcome(emptyList(), false)
        val turnedCold = firstByteMillis?.let(limit::onCompleted) ?: false
        return CompletionOutcome(startWaiting(nowMillis), turnedCold)
    }

    /** Drops a request that waits; returns false when it does not wait. */
    fun cancelWaiting(id: RequestId): Boolean = queue.removeIf { it.item.id == id }.isNotEmpty()

    /** Lowers the limit after a cold sign. */
    fun onColdSignal() = limit.reset()

    /** Opens or closes the gate as the endpoint becomes routable or not; waiting requests stay. */
    fun setOpen(open: Boolean, nowMillis: Long): List<AdmissionEffect> {
        isOpen = open
        return startWaiting(nowMillis)
    }

    /** Takes no new work from now on; what waits is refused, what runs is finished. */
    fun drain(): List<AdmissionEffect> {
        isDraining = true
        return queue.removeIf { true }.map { refuse(it.item, AdmissionRefusal.DRAINING) }
    }

    /** Takes new work again, from the cold limit. */
    fun undrain() {
        if (!isDraining) return
        isDraining = false
        limit.reset()
    }

    /** Refuses waiting requests whose deadline has passed. */
    fun tick(nowMillis: Long): List<AdmissionEffect> =
        queue.expire(nowMillis).map { refuse(it.item, AdmissionRefusal.DEADLINE) } +
            startWaiting(nowMillis)

    private fun startWaiting(nowMillis: Long): List<AdmissionEffect> {
        val effects = mutableListOf<AdmissionEffect>()
        while (isOpen && running.size < limit.current && !isHeldByLoneRequest()) {
            val next = queue.poll() ?: break
            when {
                next.deadlineMillis <= nowMillis ->
                    effects +=
                        refuse(next.item, AdmissionRefusal.DEADLINE)
                mayRun(next.item) -> effects += start(next.item)
                else -> {
                    queue.offer(next)
                    break
                }
            }
        }
        return effects
    }

    private fun mayRun(request: AdmissionRequest): Boolean = isOpen &&
        running.size < limit.current &&
        !isHeldByLoneRequest() &&
        (!request.runsAlone || running.isEmpty())

    private fun isHeldByLoneRequest(): Boolean = running.values.any { it.runsAlone }

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

/** Effects of a completion, and whether it showed the endpoint to be cold. */
data class CompletionOutcome(val effects: List<AdmissionEffect>, val turnedCold: Boolean)
