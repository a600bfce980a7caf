/*
 * Decides about the lease on an endpoint, load orders and whether the endpoint is routable. The
 * endpoint is routable only under a digest that the engine itself reported while the lease is
 * held. A new holder waits out the previous lease on its own clock, then orders with a higher
 * fencing number and reads back; it repeats while the read-back differs.
 */
package org.toucanspur.core.weights

import org.toucanspur.schema.FencingNumber
import org.toucanspur.schema.Incarnation
import org.toucanspur.schema.LeaseRecord
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.VmId

/** Times of the lease and of the read-back. */
data class OrderTiming(
    val leaseMillis: Long = 9000,
    val renewMillis: Long = 3000,
    val readBackMillis: Long = 1000,
    val callTimeoutMillis: Long = 2500
)

/** What happened outside. */
sealed interface OrderInput {
    /** The release that the endpoint should serve and whose chunks are all here; null for none. */
    data class Target(val release: ReleaseDigest?) : OrderInput

    /** The lease object was read; [record] is null when it does not exist. */
    data class LeaseRead(val record: LeaseRecord?, val version: Long) : OrderInput

    /** The conditional update of the lease took effect. */
    data class LeaseWritten(val record: LeaseRecord, val version: Long) : OrderInput

    /** The lease could not be read or written, or the outcome is unknown. */
    data object LeaseUnknown : OrderInput

    /** The engine reported its loaded release. */
    data class ReadBack(val loaded: ReleaseDigest?) : OrderInput

    /** The engine did not answer the read-back. */
    data object EngineUnreachable : OrderInput

    /** The engine answered an order, or the answer was lost. */
    data object OrderAnswered : OrderInput

    /** Time passed. */
    data object Tick : OrderInput
}

/** What the machine asks its host to do. */
sealed interface OrderEffect {
    /** Read the lease object. */
    data object ReadLease : OrderEffect

    /** Write the lease, expecting [expectedVersion] (0: absent). */
    data class WriteLease(val record: LeaseRecord, val expectedVersion: Long) : OrderEffect

    /** Order the engine to load [release]. */
    data class Load(val release: ReleaseDigest, val fencing: FencingNumber) : OrderEffect

    /** Ask the engine for its loaded release. */
    data object AskLoaded : OrderEffect

    /** The routable release changed; null takes the endpoint out of routing. */
    data class Routable(val release: ReleaseDigest?) : OrderEffect
}

/** The lease and order state of one endpoint. Not safe for use by several threads. */
class OrderMachine(
    private val self: VmId,
    private val incarnation: Incarnation,
    private val timing: OrderTiming
) {
    private var target: ReleaseDigest? = null
    private var routable: ReleaseDigest? = null
    private var lease: HeldLease? = null
    private var seen: SeenLease? = null
    private var leaseCallSince: Long? = null
    private var orderSince: Long? = null
    private var readBackSince: Long? = null
    private var nextReadBackMillis = 0L
    private var orderedFencing: FencingNumber? = null
    private var mayOrder = true

    /** Release under which the endpoint may be routed to now; null when there is none. */
    fun routableAt(nowMillis: Long): ReleaseDigest? = routable?.takeIf { holdsLease(nowMillis) }

    /** Fencing number of the lease held, or null. */
    val fencing: FencingNumber? get() = lease?.record?.fencing

    /** Whether the lease is held at [nowMillis]. */
    fun holdsLease(nowMillis: Long): Boolean = lease?.let { nowMillis < it.untilMillis } ?: false

    /** Advances the machine by one input. */
    fun on(input: OrderInput, nowMillis: Long): List<OrderEffect> {
        val effects = mutableListOf<OrderEffect>()
        if (!holdsLease(nowMillis)) dropRoutable(effects)
        when (input) {
            is OrderInput.Target -> target = input.release
            is OrderInput.LeaseRead -> onLeaseRead(input, nowMillis, effects)
            is OrderInput.LeaseWritten -> onLeaseWritten(input)
            is OrderInput.LeaseUnknown -> leaseCallSince = null
            is OrderInput.ReadBack -> onReadBack(input.loaded, nowMillis, effects)
            is OrderInput.EngineUnreachable -> onEngineUnreachable(nowMillis, effects)
            is OrderInput.OrderAnswered -> onOrderAnswered(nowMillis)
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
            adoptOwnRead(record, input.version, effects, nowMillis)
            return
        }
        lease = null
        dropRoutable(effects)
        if (record == null) {
            writeLease(FencingNumber(1), input.version, nowMillis, effects)
            return
        }
        val earlier = seen?.takeIf { it.version == input.version }
        val current = earlier ?: SeenLease(input.version, nowMillis)
        seen = current
        if (nowMillis - current.sinceMillis >= record.durationMillis) {
            writeLease(FencingNumber(record.fencing.value + 1), input.version, nowMillis, effects)
        }
    }

    // An own record found by reading proves possession only until the time it was written plus its
    // duration, and that time is unknown after a lost answer; so it is renewed at once.
    private fun adoptOwnRead(
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

    // The lease counts from the moment the write was sent, so that it ends here no later than a
    // waiting successor may take over.
    private fun onLeaseWritten(input: OrderInput.LeaseWritten) {
        val sentMillis = leaseCallSince ?: return
        leaseCallSince = null
        seen = null
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
        mayOrder = true
        if (loaded == routable) return
        dropRoutable(effects)
        if (loaded != null && loaded == target && orderedFencing == fencing) {
            routable = loaded
            orderSince = null
            effects += OrderEffect.Routable(loaded)
        }
    }

    private fun onEngineUnreachable(nowMillis: Long, effects: MutableList<OrderEffect>) {
        readBackSince = null
        nextReadBackMillis = nowMillis + timing.readBackMillis
        dropRoutable(effects)
    }

    private fun onOrderAnswered(nowMillis: Long) {
        orderSince = null
        nextReadBackMillis = nowMillis
    }

    private fun dropRoutable(effects: MutableList<OrderEffect>) {
        if (routable == null) return
        routable = null
        effects += OrderEffect.Routable(null)
    }

    private fun advance(nowMillis: Long, effects: MutableList<OrderEffect>) {
        leaseCallSince = leaseCallSince?.takeIf { nowMillis - it < timing.callTimeoutMillis }
        orderSince = orderSince?.takeIf { nowMillis - it < timing.callTimeoutMillis }
        readBackSince = readBackSince?.takeIf { nowMillis - it < timing.callTimeoutMillis }
        keepLease(nowMillis, effects)
        if (!holdsLease(nowMillis)) return
        val wanted = target
        if (wanted != routable && wanted != null) order(wanted, nowMillis, effects)
        askLoaded(nowMillis, effects)
    }

    private fun keepLease(nowMillis: Long, effects: MutableList<OrderEffect>) {
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

    // The endpoint leaves routing before the order is given, so that no request meets the change.
    // The next order waits for a read-back, so that a release that is being loaded is not ordered
    // again.
    private fun order(release: ReleaseDigest, nowMillis: Long, effects: MutableList<OrderEffect>) {
        if (orderSince != null || !mayOrder) return
        val number = fencing ?: return
        dropRoutable(effects)
        orderSince = nowMillis
        orderedFencing = number
        mayOrder = false
        effects += OrderEffect.Load(release, number)
    }

    private fun askLoaded(nowMillis: Long, effects: MutableList<OrderEffect>) {
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

    private class SeenLease(val version: Long, val sinceMillis: Long)
}
