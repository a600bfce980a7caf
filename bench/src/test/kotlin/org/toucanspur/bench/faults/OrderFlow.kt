/*
 * Lease, load order and read-back of one endpoint, with the fake object API and a fake engine. A
 * second life of the agent starts when the first is replaced.
 */
package org.toucanspur.bench.faults

import org.toucanspur.core.weights.LoadOrderStateMachine
import org.toucanspur.core.weights.LoadOrderTiming
import org.toucanspur.core.weights.OrderEffect
import org.toucanspur.core.weights.OrderInput
import org.toucanspur.schema.FencingNumber
import org.toucanspur.schema.Incarnation
import org.toucanspur.schema.LeaseRecord
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.VmId

private const val LATENCY_MILLIS = 5L
private const val LOAD_MILLIS = 400L
private const val TICK_MILLIS = 100L
private const val LATE_MILLIS = 15_000L
private const val HORIZON_MILLIS = 120_000L
private const val CHANGE_MILLIS = 20_000L
private const val OUTAGE_MILLIS = 6000L

internal class OrderFlow(private val honoursFencing: Boolean) : FaultFlow {
    override val name = "orders, fencing " + if (honoursFencing) "honoured" else "ignored"
    override val steps = listOf("read lease", "write lease", "order", "read back", "routed")
    override val faults = listOf(
        "object API down",
        "answer lost",
        "slow answer",
        "agent paused",
        "agent replaced",
        "engine crash",
        "message late"
    )
    override val invariants = listOf(
        "at most one life of the agent holds the lease",
        "routable only under a release that the engine confirmed",
        "a differing engine leaves routing within one read-back",
        "routable again after the faults"
    )

    override fun run(injections: List<Injection>): List<String> =
        Run(Injector(injections)).violations()

    private inner class Run(private val injector: Injector) {
        private val time = VirtualTime()
        private val timing = LoadOrderTiming()
        private val found = LinkedHashSet<String>()
        private val lives = mutableListOf<Life>()
        private var lease: LeaseRecord? = null
        private var leaseVersion = 0L
        private var storeDownUntil = 0L
        private var loaded: ReleaseDigest? = null
        private var engineDownUntil = 0L
        private var highestFencing = FencingNumber(0)
        private var orders = 0
        private val confirmed = HashSet<ReleaseDigest>()
        private var differsSince: Long? = null
        private val first = ReleaseDigest("first")
        private val second = ReleaseDigest("second")
        private var wanted = first

        fun violations(): List<String> {
            startLife()
            time.after(CHANGE_MILLIS) {
                wanted = second
                lives.toList().forEach { it.feed(OrderInput.Target(wanted)) }
            }
            time.run(HORIZON_MILLIS, ::check)
            val now = time.nowMillis
            if (lives.none { it.machine.routableAt(now) == wanted }) found += invariants[3]
            return found.toList()
        }

        private fun startLife() {
            val life = Life(Incarnation(lives.size + 1L))
            lives += life
            life.feed(OrderInput.Target(wanted))
            life.tick()
        }

        private fun check() {
            val now = time.nowMillis
            val holders = lives.filter { it.machine.holdsLease(now) }
            if (holders.size > 1) found += invariants[0]
            val routable = holders.mapNotNull { it.machine.routableAt(now) }
            if (routable.any { it !in confirmed }) found += invariants[1]
            val differs = holders.any {
                !it.isPaused &&
                    it.machine.routableAt(now)?.let { r -> r != loaded } == true
            }
            if (!differs) {
                differsSince = null
            } else {
                val since = differsSince ?: now.also { differsSince = it }
                val limit = timing.readBackMillis + timing.callTimeoutMillis + 2 * TICK_MILLIS
                if (now - since > limit) found += invariants[2]
            }
        }

        private inner class Life(incarnation: Incarnation) {
            val machine = LoadOrderStateMachine(VmId("vm"), incarnation, timing)
            private var pausedUntil = 0L
            val isPaused: Boolean get() = time.nowMillis < pausedUntil

            fun tick() {
                feed(OrderInput.Tick)
                time.after(TICK_MILLIS) { tick() }
            }

            fun feed(input: OrderInput) {
                if (isPaused) {
                    time.after(pausedUntil - time.nowMillis) { feed(input) }
                    return
                }
                machine.on(input, time.nowMillis).forEach(::perform)
            }

            private fun perform(effect: OrderEffect) {
                val strikes = injector.at(stepOf(effect))
                if ("object API down" in strikes) storeDownUntil = time.nowMillis + OUTAGE_MILLIS
                if ("engine crash" in strikes) crashEngine()
                if ("agent paused" in strikes) pausedUntil = time.nowMillis + 2 * timing.leaseMillis
                if ("agent replaced" in strikes) {
                    pausedUntil = time.nowMillis + 2 * timing.leaseMillis
                    startLife()
                }
                val there = if ("message late" in strikes) LATE_MILLIS else LATENCY_MILLIS
                val back = if ("slow answer" in strikes) LATE_MILLIS / 5 else LATENCY_MILLIS
                time.after(there) { reach(effect, back, isLost = "answer lost" in strikes) }
            }

            private fun reach(effect: OrderEffect, back: Long, isLost: Boolean) {
                when (effect) {
                    is OrderEffect.ReadLease -> answer(back, isLost, readLease())
                    is OrderEffect.WriteLease -> answer(back, isLost, writeLease(effect))
                    is OrderEffect.Load -> time.after(LOAD_MILLIS) {
                        load(effect)
                        answer(back, isLost, OrderInput.OrderAnswered)
                    }
                    is OrderEffect.AskLoaded -> answer(back, isLost, readBack())
                    is OrderEffect.Routable -> Unit
                }
            }

            // A lost answer reaches the caller as a timeout.
            private fun answer(back: Long, isLost: Boolean, input: OrderInput) {
                if (!isLost) {
                    time.after(back) { feed(input) }
                    return
                }
                val timeout = when (input) {
                    is OrderInput.ReadBack -> OrderInput.EngineUnreachable
                    is OrderInput.OrderAnswered -> OrderInput.OrderAnswered
                    else -> OrderInput.LeaseUnknown
                }
                time.after(timing.callTimeoutMillis) { feed(timeout) }
            }
        }

        private fun stepOf(effect: OrderEffect): String = when (effect) {
            is OrderEffect.ReadLease -> "read lease"
            is OrderEffect.WriteLease -> "write lease"
            is OrderEffect.Load -> "order"
            is OrderEffect.AskLoaded -> "read back"
            is OrderEffect.Routable -> "routed"
        }

        private fun readLease(): OrderInput = if (isStoreDown()) {
            OrderInput.LeaseUnknown
        } else {
            OrderInput.LeaseRead(
                lease,
                leaseVersion
            )
        }

        private fun writeLease(effect: OrderEffect.WriteLease): OrderInput {
            if (isStoreDown() ||
                effect.expectedVersion != leaseVersion
            ) {
                return OrderInput.LeaseUnknown
            }
            lease = effect.record
            leaseVersion++
            return OrderInput.LeaseWritten(effect.record, leaseVersion)
        }

        private fun isStoreDown(): Boolean = time.nowMillis < storeDownUntil

        private fun isEngineDown(): Boolean = time.nowMillis < engineDownUntil

        private fun load(order: OrderEffect.Load) {
            orders++
            if (isEngineDown()) return
            if (honoursFencing && order.fencing.value < highestFencing.value) return
            highestFencing = FencingNumber(maxOf(highestFencing.value, order.fencing.value))
            loaded = order.release
        }

        private fun readBack(): OrderInput {
            if (isEngineDown()) return OrderInput.EngineUnreachable
            loaded?.let { confirmed += it }
            return OrderInput.ReadBack(loaded)
        }

        private fun crashEngine() {
            loaded = null
            engineDownUntil = time.nowMillis + LOAD_MILLIS
        }
    }
}
