/*
 * Lease, load order and read-back of one endpoint, with a simulated object API and engine. The
 * "agent replaced" fault pauses the agent and starts another incarnation of it.
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
private const val DELAYED_MILLIS = 15_000L
private const val HORIZON_MILLIS = 120_000L
private const val TARGET_CHANGE_MILLIS = 20_000L
private const val OUTAGE_MILLIS = 6000L

internal class OrderFlow(private val honoursFencing: Boolean) : FaultFlow {
    override val name = "orders, fencing " + if (honoursFencing) "honoured" else "ignored"
    override val steps =
        listOf("read lease", "write lease", "load order", "read back", "set routable")
    override val faults = listOf(
        "object API down",
        "response lost",
        "response delayed",
        "agent paused",
        "agent replaced",
        "engine crash",
        "message delayed"
    )
    override val invariants = listOf(
        "at most one incarnation of the agent holds the lease",
        "an endpoint is routable only with a release that its engine has confirmed",
        "an endpoint whose engine has another release stops being routable within one read-back",
        "the endpoint is routable again after the faults"
    )

    override fun run(injections: List<Injection>): List<String> =
        Simulation(Injector(injections)).violations()

    private inner class Simulation(private val injector: Injector) {
        private val time = VirtualTimeScheduler()
        private val timing = LoadOrderTiming()
        private val violated = LinkedHashSet<String>()
        private val instances = mutableListOf<AgentInstance>()
        private var lease: LeaseRecord? = null
        private var leaseVersion = 0L
        private var storeDownUntil = 0L
        private var loadedRelease: ReleaseDigest? = null
        private var engineDownUntil = 0L
        private var highestFencing = FencingNumber(0)
        private var receivedOrders = 0
        private val confirmedReleases = HashSet<ReleaseDigest>()
        private var mismatchSinceMillis: Long? = null
        private val firstRelease = ReleaseDigest("first")
        private val secondRelease = ReleaseDigest("second")
        private var targetRelease = firstRelease

        fun violations(): List<String> {
            startInstance()
            time.schedule(TARGET_CHANGE_MILLIS) {
                targetRelease = secondRelease
                instances.toList().forEach { it.feed(OrderInput.Target(targetRelease)) }
            }
            time.runUntil(HORIZON_MILLIS, ::check)
            val now = time.nowMillis
            if (instances.none { it.machine.routableAt(now) == targetRelease }) {
                violated += invariants[3]
            }
            return violated.toList()
        }

        private fun startInstance() {
            val instance = AgentInstance(Incarnation(instances.size + 1L))
            instances += instance
            instance.feed(OrderInput.Target(targetRelease))
            instance.tick()
        }

        private fun check() {
            val now = time.nowMillis
            val holders = instances.filter { it.machine.holdsLease(now) }
            if (holders.size > 1) violated += invariants[0]
            val routable = holders.mapNotNull { it.machine.routableAt(now) }
            if (routable.any { it !in confirmedReleases }) violated += invariants[1]
            val isMismatched = holders.any {
                !it.isPaused &&
                    it.machine.routableAt(now)?.let { r -> r != loadedRelease } == true
            }
            if (!isMismatched) {
                mismatchSinceMillis = null
            } else {
                val sinceMillis = mismatchSinceMillis ?: now.also { mismatchSinceMillis = it }
                val limitMillis = timing.readBackMillis + timing.callTimeoutMillis + 2 * TICK_MILLIS
                if (now - sinceMillis > limitMillis) violated += invariants[2]
            }
        }

        private inner class AgentInstance(incarnation: Incarnation) {
            val machine = LoadOrderStateMachine(VmId("vm"), incarnation, timing)
            private var pausedUntil = 0L
            val isPaused: Boolean get() = time.nowMillis < pausedUntil

            fun tick() {
                feed(OrderInput.Tick)
                time.schedule(TICK_MILLIS) { tick() }
            }

            fun feed(input: OrderInput) {
                if (isPaused) {
                    time.schedule(pausedUntil - time.nowMillis) { feed(input) }
                    return
                }
                machine.on(input, time.nowMillis).forEach(::perform)
            }

            private fun perform(effect: OrderEffect) {
                val injected = injector.faultsAt(stepOf(effect))
                if ("object API down" in injected) storeDownUntil = time.nowMillis + OUTAGE_MILLIS
                if ("engine crash" in injected) crashEngine()
                if ("agent paused" in injected) {
                    pausedUntil = time.nowMillis + 2 * timing.leaseMillis
                }
                if ("agent replaced" in injected) {
                    pausedUntil = time.nowMillis + 2 * timing.leaseMillis
                    startInstance()
                }
                val requestDelay =
                    if ("message delayed" in injected) DELAYED_MILLIS else LATENCY_MILLIS
                val responseDelay =
                    if ("response delayed" in injected) DELAYED_MILLIS / 5 else LATENCY_MILLIS
                time.schedule(requestDelay) {
                    deliver(effect, responseDelay, isLost = "response lost" in injected)
                }
            }

            private fun deliver(effect: OrderEffect, responseDelay: Long, isLost: Boolean) {
                when (effect) {
                    is OrderEffect.ReadLease -> respond(responseDelay, isLost, readLease())
                    is OrderEffect.WriteLease -> respond(responseDelay, isLost, writeLease(effect))
                    is OrderEffect.Load -> time.schedule(LOAD_MILLIS) {
                        load(effect)
                        respond(responseDelay, isLost, OrderInput.OrderAnswered)
                    }
                    is OrderEffect.AskLoaded -> respond(responseDelay, isLost, readBack())
                    is OrderEffect.Routable -> Unit
                }
            }

            // The caller sees a lost response as a timeout.
            private fun respond(responseDelay: Long, isLost: Boolean, input: OrderInput) {
                if (!isLost) {
                    time.schedule(responseDelay) { feed(input) }
                    return
                }
                val timeout = when (input) {
                    is OrderInput.ReadBack -> OrderInput.EngineUnreachable
                    is OrderInput.OrderAnswered -> OrderInput.OrderAnswered
                    else -> OrderInput.LeaseUnknown
                }
                time.schedule(timing.callTimeoutMillis) { feed(timeout) }
            }
        }

        private fun stepOf(effect: OrderEffect): String = when (effect) {
            is OrderEffect.ReadLease -> "read lease"
            is OrderEffect.WriteLease -> "write lease"
            is OrderEffect.Load -> "load order"
            is OrderEffect.AskLoaded -> "read back"
            is OrderEffect.Routable -> "set routable"
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
            receivedOrders++
            if (isEngineDown()) return
            if (honoursFencing && order.fencing.value < highestFencing.value) return
            highestFencing = FencingNumber(maxOf(highestFencing.value, order.fencing.value))
            loadedRelease = order.release
        }

        private fun readBack(): OrderInput {
            if (isEngineDown()) return OrderInput.EngineUnreachable
            loadedRelease?.let { confirmedReleases += it }
            return OrderInput.ReadBack(loadedRelease)
        }

        private fun crashEngine() {
            loadedRelease = null
            engineDownUntil = time.nowMillis + LOAD_MILLIS
        }
    }
}
