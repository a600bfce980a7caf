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
data class GateRequest(
    val id: RequestId,
    val organisation: OrganisationId,
    val priority: Priority,
    val sizeBytes: Long,
    val deadlineMillis: Long,
    val runsAlone: Boolean = false
)

/** Why the gate turned a request away; it did not run. */
enum class GateRefusal { OVERLOADED, DEADLINE, DRAINING, DISPLACED }

/** What the gate decided. */
sealed interface GateEffect {
    /** The request may run now. */
    data class Run(val id: RequestId) : GateEffect

    /** The request is turned away; the caller may come back after [retryAfterMillis]. */
    data class Refuse(val id: RequestId, val reason: GateRefusal, val retryAfterMillis: Long) :
        GateEffect
}

/** Limits of the gate. */
data class GateSettings(val limit: LimitSettings, val heldMax: Int, val heldBytesMax: Long)

/** Load of the gate, for status reports. */
data class GateLoad(val limit: Int, val running: Int, val held: Int, val isAccepting: Boolean)

/** Admission to one endpoint. Not safe for use by several threads; see [SharedGate]. */
class AdmissionGate(settings: GateSettings, shareOf: (OrganisationId) -> Int) {
    private val limit = ConcurrencyLimit(settings.limit)
    private val queue = FairQueue<GateRequest>(settings.heldMax, settings.heldBytesMax, shareOf)
    private val running = LinkedHashMap<RequestId, GateRequest>()
    private var isOpen = true
    private var isDraining = false

    /** Takes over changed limits. */
    fun configure(changed: GateSettings) {
        limit.configure(changed.limit)
        queue.configure(changed.heldMax, changed.heldBytesMax)
    }

    /** Load at this moment. */
    fun load(): GateLoad = GateLoad(limit.current, running.size, queue.count, isOpen && !isDraining)

    /** Requests that run now. */
    fun runningIds(): Set<RequestId> = running.keys.toSet()

    /** Offers a new request. */
    fun offer(request: GateRequest, nowMillis: Long): List<GateEffect> {
        if (isDraining) return listOf(refuse(request, GateRefusal.DRAINING))
        if (request.deadlineMillis <=
            nowMillis
        ) {
            return listOf(refuse(request, GateRefusal.DEADLINE))
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
        val displaced = result.evicted.map { refuse(it.item, GateRefusal.DISPLACED) }
        val own = if (result.isHeld) {
            emptyList()
        } else {
            listOf(
                refuse(request, GateRefusal.OVERLOADED)
            )
        }
        return displaced + own + startWaiting(nowMillis)
    }

    /**
     * Ends a request. [firstByteMillis] is the time to its first byte, or null when it failed or
     * was cancelled. Returns the effects and whether the endpoint has turned cold.
     */
    fun complete(id: RequestId, firstByteMillis: Long?, nowMillis: Long): GateOutcome {
        if (running.remove(id) == null) return GateOutcome(emptyList(), false)
        val turnedCold = firstByteMillis?.let(limit::onCompleted) ?: false
        return GateOutcome(startWaiting(nowMillis), turnedCold)
    }

    /** Drops a request that waits; returns false when it does not wait. */
    fun cancelWaiting(id: RequestId): Boolean = queue.removeIf { it.item.id == id }.isNotEmpty()

    /** Lowers the limit after a cold sign. */
    fun onColdSign() = limit.reset()

    /** Opens or closes the gate as the endpoint becomes routable or not; waiting requests stay. */
    fun setOpen(open: Boolean, nowMillis: Long): List<GateEffect> {
        isOpen = open
        return startWaiting(nowMillis)
    }

    /** Takes no new work from now on; what waits is refused, what runs is finished. */
    fun drain(): List<GateEffect> {
        isDraining = true
        return queue.removeIf { true }.map { refuse(it.item, GateRefusal.DRAINING) }
    }

    /** Takes new work again, from the cold limit. */
    fun undrain() {
        if (!isDraining) return
        isDraining = false
        limit.reset()
    }

    /** Refuses waiting requests whose deadline has passed. */
    fun tick(nowMillis: Long): List<GateEffect> =
        queue.expire(nowMillis).map { refuse(it.item, GateRefusal.DEADLINE) } +
            startWaiting(nowMillis)

    private fun startWaiting(nowMillis: Long): List<GateEffect> {
        val effects = mutableListOf<GateEffect>()
        while (isOpen && running.size < limit.current && !isHeldByLoneRequest()) {
            val next = queue.poll() ?: break
            when {
                next.deadlineMillis <= nowMillis ->
                    effects +=
                        refuse(next.item, GateRefusal.DEADLINE)
                mayRun(next.item) -> effects += start(next.item)
                else -> {
                    queue.offer(next)
                    break
                }
            }
        }
        return effects
    }

    private fun mayRun(request: GateRequest): Boolean = isOpen &&
        running.size < limit.current &&
        !isHeldByLoneRequest() &&
        (!request.runsAlone || running.isEmpty())

    private fun isHeldByLoneRequest(): Boolean = running.values.any { it.runsAlone }

    private fun start(request: GateRequest): GateEffect {
        running[request.id] = request
        return GateEffect.Run(request.id)
    }

    private fun refuse(request: GateRequest, reason: GateRefusal): GateEffect {
        val waitFactor = 1 + queue.count / limit.current
        return GateEffect.Refuse(request.id, reason, RETRY_AFTER_MILLIS * waitFactor)
    }

    private companion object {
        const val RETRY_AFTER_MILLIS = 500L
    }
}

/** Effects of a completion, and whether it showed the endpoint to be cold. */
data class GateOutcome(val effects: List<GateEffect>, val turnedCold: Boolean)
