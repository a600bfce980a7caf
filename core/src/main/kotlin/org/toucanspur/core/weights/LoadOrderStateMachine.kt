/*
 * State machine for the lease on an endpoint, its load orders and its routing state. The endpoint
 * is routable only for the release digest that the engine itself reported while the lease was held.
 * A new holder waits on its own clock until the previous lease has expired, then sends a load order
 * with a higher fencing number and reads back the loaded release. It repeats this until the
 * read-back matches.
 */
package org.toucanspur.core.weights

import org.toucanspur.schema.FencingNumber
import org.toucanspur.schema.Incarnation
import org.toucanspur.schema.LeaseRecord
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.VmId

/** Durations and intervals of the lease, the read-back and the calls. */
data class LoadOrderTiming(
    val leaseMillis: Long = 9000,
    val renewMillis: Long = 3000,
    val readBackMillis: Long = 1000,
    val callTimeoutMillis: Long = 2500
)

/** Input of the state machine. */
sealed interface OrderInput {
    /** The release to serve, all chunks of which are held; null for none. */
    data class Target(val release: ReleaseDigest?) : OrderInput

    /** The lease object was read; [record] is null when it does not exist. */
    data class LeaseRead(val record: LeaseRecord?, val version: Long) : OrderInput

    /** The conditional update of the lease took effect. */
    data class LeaseWritten(val record: LeaseRecord, val version: Long) : OrderInput

    /** The lease could not be read or written, or the outcome is unknown. */
    data object LeaseUnknown : OrderInput

    /** The engine reported its loaded release. */
    data class ReadBack(val loaded: ReleaseDigest?) : OrderInput

    /** The engine did not respond to the read-back. */
    data object EngineUnreachable : OrderInput

    /** The engine responded to a load order, or the response was lost. */
    data object OrderAnswered : OrderInput

    /** Time passed. */
    data object Tick : OrderInput
}

/** Action that the state machine requests from its host. */
sealed interface OrderEffect {
    /** Read the lease object. */
    data object ReadLease : OrderEffect

    /** Write the lease if its version is [expectedVersion]; 0 means that it does not exist. */
    data class WriteLease(val record: LeaseRecord, val expectedVersion: Long) : OrderEffect

    /** Order the engine to load [release]. */
    data class Load(val release: ReleaseDigest, val fencing: FencingNumber) : OrderEffect

    /** Query the engine for its loaded release. */
    data object AskLoaded : OrderEffect

    /** The routable release changed; null removes the endpoint from routing. */
    data class Routable(val release: ReleaseDigest?) : OrderEffect
}

/** The lease and load order state of one endpoint. Not thread-safe. */
class LoadOrderStateMachine(
    private val self: VmId,
    private val incarnation: Incarnation,
    private val timing: LoadOrderTiming
) {
    private var target: ReleaseDigest? = null
    private var routable: ReleaseDigest? = null
    private var lease: HeldLease? = null
    private var observedLease: ObservedLease? = null
    private var leaseCallSince: Long? = null
    private var orderSince: Long? = null
    private var readBackSince: Long? = null
    private var nextReadBackMillis = 0L
    private var orderedFencing: FencingNumber? = null
    private var isOrderAllowed = true

    /** The release for which the endpoint is routable at [nowMillis]; null when there is none. */
    fun routableAt(nowMillis: Long): ReleaseDigest? = routable?.takeIf { holdsLease(nowMillis) }

    /** Fencing number of the held lease, or null. */
    val fencing: FencingNumber? get() = lease?.record?.fencing

    /** Whether the lease is held at [nowMillis]. */
    fun holdsLease(nowMillis: Long): Boolean = lease?.let { nowMillis < it.untilMillis } ?: false

    /** Processes one input and returns the resulting actions. */
    fun on(input: OrderInput, nowMillis: Long): List<OrderEffect> {
        val effects = mutableListOf<OrderEffect>()
        if (!holdsLease(nowMillis)) clearRoutable(effects)
        when (input) {
            is OrderInput.Target -> target = input.release
            is OrderInput.LeaseRead -> onLeaseRead(input, nowMillis, effects)
            is OrderInput.LeaseWritten -> onLeaseWritten(input)
            is OrderInput.LeaseUnknown -> leaseCallSince = null
            is OrderInput.ReadBack -> onReadBack(input.loaded, nowMillis, effects)
            is OrderInput.EngineUnreachable -> onEngineUnreachable(nowMillis, effects)
            is OrderInput.OrderAnswered -> onLoadOrderAnswered(nowMillis)
            is OrderInput.Tick -> Unit
        }
        advance(nowMillis, effects)
        return effects
    }

    private fun onLeaseRead(
        input: OrderInput.LeaseRead,
        nowMillis: Long,
        effects: MutableList<OrderEffect>
    ) {
        leaseCallSince = null
        val record = input.record
        if (record != null && isOwn(record)) {
            renewOwnLease(record, input.version, effects, nowMillis)
            return
        }
        lease = null
        clearRoutable(effects)
        if (record == null) {
            writeLease(FencingNumber(1), input.version, nowMillis, effects)
            return
        }
        val known = observedLease?.takeIf { it.version == input.version }
        val current = known ?: ObservedLease(input.version, nowMillis)
        observedLease = current
        if (nowMillis - current.sinceMillis >= record.durationMillis) {
            writeLease(FencingNumber(record.fencing.value + 1), input.version, nowMillis, effects)
        }
    }

    // A lease record of this process is valid for its duration from the time it was written. That
    // time is unknown when the response to the write was lost, so the lease is renewed at once.
    private fun renewOwnLease(
        record: LeaseRecord,
        version: Long,
        effects: MutableList<OrderEffect>,
        nowMillis: Long
    ) {
        writeLease(record.fencing, version, nowMillis, effects)
    }

    private fun isOwn(record: LeaseRecord): Boolean =
        record.holder == self && record.incarnation == incarnation

    private fun writeLease(
        fencing: FencingNumber,
        expectedVersion: Long,
        nowMillis: Long,
        effects: MutableList<OrderEffect>
    ) {
        leaseCallSince = nowMillis
        val record = LeaseRecord(self, incarnation, fencing, timing.leaseMillis)
        effects += OrderEffect.WriteLease(record, expectedVersion)
    }

    // The lease duration starts when the write is sent, so the lease expires here no later than a
    // successor may take it over.
    private fun onLeaseWritten(input: OrderInput.LeaseWritten) {
        val sentMillis = leaseCallSince ?: return
        leaseCallSince = null
        observedLease = null
        lease = HeldLease(input.record, input.version, sentMillis, sentMillis + timing.leaseMillis)
    }

    private fun onReadBack(
        loaded: ReleaseDigest?,
        nowMillis: Long,
        effects: MutableList<OrderEffect>
    ) {
        readBackSince = null
        nextReadBackMillis = nowMillis + timing.readBackMillis
        if (!holdsLease(nowMillis)) return
        isOrderAllowed = true
        if (loaded == routable) return
        clearRoutable(effects)
        if (loaded != null && loaded == target && orderedFencing == fencing) {
            routable = loaded
            orderSince = null
            effects += OrderEffect.Routable(loaded)
        }
    }

    private fun onEngineUnreachable(nowMillis: Long, effects: MutableList<OrderEffect>) {
        readBackSince = null
        nextReadBackMillis = nowMillis + timing.readBackMillis
        clearRoutable(effects)
    }

    private fun onLoadOrderAnswered(nowMillis: Long) {
        orderSince = null
        nextReadBackMillis = nowMillis
    }

    private fun clearRoutable(effects: MutableList<OrderEffect>) {
        if (routable == null) return
        routable = null
        effects += OrderEffect.Routable(null)
    }

    private fun advance(nowMillis: Long, effects: MutableList<OrderEffect>) {
        leaseCallSince = leaseCallSince?.takeIf { nowMillis - it < timing.callTimeoutMillis }
        orderSince = orderSince?.takeIf { nowMillis - it < timing.callTimeoutMillis }
        readBackSince = readBackSince?.takeIf { nowMillis - it < timing.callTimeoutMillis }
        maintainLease(nowMillis, effects)
        if (!holdsLease(nowMillis)) return
        val desired = target
        if (desired != routable && desired != null) orderLoad(desired, nowMillis, effects)
        queryLoadedRelease(nowMillis, effects)
    }

    private fun maintainLease(nowMillis: Long, effects: MutableList<OrderEffect>) {
        if (leaseCallSince != null) return
        val current = lease
        if (current == null || nowMillis >= current.untilMillis) {
            lease = null
            leaseCallSince = nowMillis
            effects += OrderEffect.ReadLease
        } else if (nowMillis - current.sinceMillis >= timing.renewMillis) {
            writeLease(current.record.fencing, current.version, nowMillis, effects)
        }
    }

    // The endpoint is removed from routing before the order is sent, so that no request is routed
    // to it during the change. The next order waits for a read-back, which prevents a second order
    // for a release that is already being loaded.
    private fun orderLoad(
        release: ReleaseDigest,
        nowMillis: Long,
        effects: MutableList<OrderEffect>
    ) {
        if (orderSince != null || !isOrderAllowed) return
        val number = fencing ?: return
        clearRoutable(effects)
        orderSince = nowMillis
        orderedFencing = number
        isOrderAllowed = false
        effects += OrderEffect.Load(release, number)
    }

    private fun queryLoadedRelease(nowMillis: Long, effects: MutableList<OrderEffect>) {
        if (orderSince != null || readBackSince != null || nowMillis < nextReadBackMillis) return
        readBackSince = nowMillis
        effects += OrderEffect.AskLoaded
    }

    private class HeldLease(
        val record: LeaseRecord,
        val version: Long,
        val sinceMillis: Long,
        val untilMillis: Long
    )

    private class ObservedLease(val version: Long, val sinceMillis: Long)
}
