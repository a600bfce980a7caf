/*
 * One endpoint address in a soak run: the stand-in that currently runs there, the link to it and
 * its endpoint record in the platform's server list.
 */
package org.toucanspur.bench.soak

import java.net.InetSocketAddress
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import org.toucanspur.standin.platform.ENGINE_SERVICE
import org.toucanspur.standin.platform.EndpointService
import org.toucanspur.standin.platform.LoadObserver
import org.toucanspur.standin.platform.LoopbackService
import org.toucanspur.standin.platform.ModelEngineService
import org.toucanspur.standin.platform.ObjectStoreService
import org.toucanspur.standin.platform.ReceivedRequest
import org.toucanspur.standin.platform.RunObserver
import org.toucanspur.standin.platform.endpointDocument

/** Model that the engines serve. */
const val SOAK_MODEL = "m"

private const val ENDPOINT_PORT = 8000
private const val ENGINE_PORT = 8001
private const val PLAIN_WORK_MILLIS = 20L

/** The endpoint with [index] at [host]: a plain endpoint of [service] or a model engine. */
class SoakEndpoint(
    private val index: Int,
    private val host: String,
    private val service: String,
    private val store: ObjectStoreService,
    private val observations: SoakObservations,
    private val clock: () -> Long
) : AutoCloseable {
    private val isEngine = service == ENGINE_SERVICE
    private val isInTransition = AtomicBoolean()
    private var lastListed = "" to ""

    @Volatile
    private var incarnation: Incarnation? = startIncarnation(loaded = 1)

    /** Link over which entries reach the endpoint. */
    val link = FaultProxy(host, ENDPOINT_PORT, ::target)

    // The agent connects to the engine on its own VM, so no network faults apply to this link.
    private val agentLink = if (isEngine) FaultProxy(host, ENGINE_PORT, ::target) else null

    /** HOST:PORT at which the agent reaches the engine. */
    val engineAddress: String get() = "$host:$ENGINE_PORT"

    private class Incarnation(val number: Int, val name: String, val service: LoopbackService) {
        var state = "ready"
    }

    private fun target(): InetSocketAddress =
        incarnation?.service?.socketAddress ?: InetSocketAddress("127.0.0.1", 1)

    private fun startIncarnation(loaded: Long): Incarnation {
        val number = incarnationCounter.incrementAndGet()
        val name = "i-$index-$number"
        val observer = RunObserver { request, version -> record(number, request, version) }
        val loadObserver = LoadObserver { version, faultyPieces ->
            observations.onLoad(index, clock())
            if (faultyPieces.isNotEmpty()) {
                observations.onViolation(
                    "incomplete weights",
                    "$name loads version $version: $faultyPieces"
                )
            }
        }
        val instance = if (isEngine) {
            ModelEngineService(name, SOAK_MODEL, loaded, observer, loadObserver)
        } else {
            EndpointService(name, PLAIN_WORK_MILLIS, observer)
        }
        return Incarnation(number, name, instance)
    }

    private fun record(number: Int, request: ReceivedRequest, version: Long) {
        val kind = CallKind.entries.firstOrNull { request.path.startsWith(it.path) }
        if (kind == null) {
            observations.onViolation("modified request", "path ${request.path}")
            return
        }
        observations.onRun(
            EndpointRun(request.id, kind, request.organisation, number, index, version, clock())
        )
    }

    /** Publishes the server list entry if it has changed since the last call. */
    @Synchronized
    fun publishListEntry() {
        val current = incarnation ?: return
        val engine = current.service as? ModelEngineService
        val entry = endpointDocument(service, "$host:$ENDPOINT_PORT", current.state, engine)
        if (current.name to entry != lastListed) store.put("servers", current.name, entry)
        lastListed = current.name to entry
    }

    /**
     * Crashes, stays down for [downMillis], then starts again as a new incarnation. The store drops
     * the old entry only after the downtime.
     */
    fun crash(downMillis: Long) = transition {
        val crashed = checkNotNull(incarnation)
        incarnation = null
        crashed.service.close()
        link.resetAll()
        Thread.sleep(downMillis)
        store.remove("servers", crashed.name)
        incarnation = startIncarnation(loaded = 0)
    }

    /** Reports draining, serves [durationMillis] more, then is replaced by a new incarnation. */
    fun drain(durationMillis: Long) = transition {
        val draining = checkNotNull(incarnation)
        draining.state = "draining"
        publishListEntry()
        observations.onDrained(draining.number, index, clock())
        Thread.sleep(durationMillis)
        incarnation = startIncarnation(loaded = 0)
        store.remove("servers", draining.name)
        draining.service.close()
    }

    /** Corrupts one staged weight piece, if the endpoint is an engine. */
    fun corruptStagedPiece() {
        (incarnation?.service as? ModelEngineService)?.corruptStagedPiece()
    }

    private fun transition(action: () -> Unit) {
        if (!isInTransition.compareAndSet(false, true)) return
        try {
            action()
        } finally {
            isInTransition.set(false)
        }
    }

    override fun close() {
        link.close()
        agentLink?.close()
        incarnation?.service?.close()
    }

    private companion object {
        val incarnationCounter = AtomicInteger()
    }
}
