/*
 * Drives the [LoadOrderStateMachine] of one endpoint: executes its calls to the object API and
 * to the engine, and passes the results back to it one at a time.
 */
package org.toucanspur.daemon.agent

import com.github.michaelbull.result.fold
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.events.EventSubject
import org.toucanspur.core.platform.ABSENT_VERSION
import org.toucanspur.core.platform.ObjectStore
import org.toucanspur.core.platform.StoreError
import org.toucanspur.core.weights.LoadOrderStateMachine
import org.toucanspur.core.weights.LoadOrderTiming
import org.toucanspur.core.weights.OrderEffect
import org.toucanspur.core.weights.OrderInput
import org.toucanspur.daemon.log.EventLog
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.transport.ProcessIdentity
import org.toucanspur.schema.LeaseRecord
import org.toucanspur.schema.ReleaseDigest

private const val TICK_MILLIS = 200L
private const val INPUTS_MAX = 64

/** Holds the lease on the local endpoint and sends load orders to its engine. */
class OrderService(
    identity: ProcessIdentity,
    private val timing: LoadOrderTiming,
    private val leaseKey: String,
    private val store: ObjectStore,
    private val endpoint: EndpointClient,
    private val source: String,
    private val events: EventLog
) {
    /** Target release that was set last. */
    var target: ReleaseDigest? = null
        private set
    private val machine = LoadOrderStateMachine(identity.vm, identity.incarnation, timing)
    private val inputs = Channel<OrderInput>(INPUTS_MAX)
    private val routableState = MutableStateFlow<ReleaseDigest?>(null)
    private val engineIncarnationState = MutableStateFlow<Long?>(null)
    private val failedLoadCount = AtomicInteger(0)

    /** Release that the endpoint may receive requests for, or null while it is not routable. */
    val routable: StateFlow<ReleaseDigest?> get() = routableState

    /** Engine incarnation as of the last status read; it changes when the engine restarts. */
    val engineIncarnation: StateFlow<Long?> get() = engineIncarnationState

    /** Number of consecutive load orders that the engine refused or did not respond to. */
    val failedLoads: Int get() = failedLoadCount.get()

    /** Starts processing inputs and periodic ticks. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            while (true) {
                inputs.send(OrderInput.Tick)
                delay(TICK_MILLIS)
            }
        }
        scope.launch {
            for (input in inputs) {
                machine.on(input, monotonicMillis()).forEach { perform(it, scope) }
            }
        }
    }

    /** Sets the release that the endpoint should serve; all its chunks must be in memory. */
    suspend fun setTarget(release: ReleaseDigest?) {
        if (release != target) failedLoadCount.set(0)
        target = release
        inputs.send(OrderInput.Target(release))
    }

    private fun perform(effect: OrderEffect, scope: CoroutineScope) {
        when (effect) {
            is OrderEffect.Routable -> setRoutable(effect.release)
            is OrderEffect.ReadLease -> scope.launch { inputs.send(readLease()) }
            is OrderEffect.WriteLease -> scope.launch { inputs.send(writeLease(effect)) }
            is OrderEffect.Load -> scope.launch { load(effect) }
            is OrderEffect.AskLoaded -> scope.launch { inputs.send(readLoadedRelease()) }
        }
    }

    private fun setRoutable(release: ReleaseDigest?) {
        val previous = routableState.value
        routableState.value = release
        if (release != null) {
            events.event(EventCode.LOAD_CONFIRMED, EventSubject(release = release)) {
                "engine confirmed the release"
            }
        } else if (previous != null) {
            events.event(EventCode.LOAD_LOST, EventSubject(release = previous)) {
                "endpoint is no longer routable"
            }
        }
    }

    private suspend fun readLease(): OrderInput = store.read(leaseKey).fold(
        success = { record ->
            val lease = record?.let { decode(it.value) }
            OrderInput.LeaseRead(lease, record?.version ?: ABSENT_VERSION)
        },
        failure = { OrderInput.LeaseUnknown }
    )

    private fun decode(value: String): LeaseRecord? = try {
        Json.decodeFromString<LeaseRecord>(value)
    } catch (e: SerializationException) {
        events.event(EventCode.LEASE_LOST) {
            "lease object $leaseKey is malformed and is replaced: ${e.message}"
        }
        null
    }

    private suspend fun writeLease(effect: OrderEffect.WriteLease): OrderInput {
        val value = Json.encodeToString(LeaseRecord.serializer(), effect.record)
        return store.write(leaseKey, value, effect.expectedVersion).fold(
            success = { version ->
                if (effect.expectedVersion == ABSENT_VERSION ||
                    effect.record.fencing != machine.fencing
                ) {
                    events.event(EventCode.LEASE_ACQUIRED) {
                        "fencing number ${effect.record.fencing}"
                    }
                }
                OrderInput.LeaseWritten(effect.record, version)
            },
            failure = {
                if (it !is StoreError.Unavailable) events.event(EventCode.LEASE_LOST) { it.message }
                OrderInput.LeaseUnknown
            }
        )
    }

    private suspend fun load(effect: OrderEffect.Load) {
        events.event(EventCode.LOAD_ORDERED, EventSubject(release = effect.release)) {
            "fencing number ${effect.fencing}"
        }
        try {
            val loadRequest = EngineLoadRequest(effect.release, effect.fencing, source)
            val isAccepted = endpoint.load(loadRequest, timing.leaseMillis)
            if (isAccepted) failedLoadCount.set(0) else failedLoadCount.incrementAndGet()
        } catch (e: IOException) {
            events.event(EventCode.LOAD_LOST, EventSubject(release = effect.release)) {
                "load order to the engine failed: ${e.message}"
            }
            failedLoadCount.incrementAndGet()
        }
        inputs.send(OrderInput.OrderAnswered)
    }

    private suspend fun readLoadedRelease(): OrderInput = try {
        val status = endpoint.status()
        engineIncarnationState.value = status.life
        OrderInput.ReadBack(status.loaded)
    } catch (_: IOException) {
        OrderInput.EngineUnreachable
    }
}
