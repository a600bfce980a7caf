/*
 * One place of an endpoint in a soak run: the stand-in that lives there now, the link to it, and
 * its entry in the platform's list.
 */
package org.toucanspur.bench.soak

import java.net.InetSocketAddress
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import org.toucanspur.standin.platform.ENGINE_SERVICE
import org.toucanspur.standin.platform.EndpointArrival
import org.toucanspur.standin.platform.EndpointService
import org.toucanspur.standin.platform.LoadObserver
import org.toucanspur.standin.platform.LoopbackService
import org.toucanspur.standin.platform.ModelEngineService
import org.toucanspur.standin.platform.ObjectStoreService
import org.toucanspur.standin.platform.PLAIN_SERVICE
import org.toucanspur.standin.platform.RunObserver
import org.toucanspur.standin.platform.endpointDocument

/** The model that engines serve. */
const val SOAK_MODEL = "m"

private const val ENDPOINT_PORT = 8000
private const val ENGINE_PORT = 8001
private const val PLAIN_WORK_MILLIS = 20L

/** The place with [index] at [host], for a plain endpoint or a model engine. */
class SoakEndpoint(
    private val index: Int,
    private val host: String,
    private val isEngine: Boolean,
    private val store: ObjectStoreService,
    private val ledger: SoakLedger,
    private val clock: () -> Long
) : AutoCloseable {
    private val isChanging = AtomicBoolean()
    private var listed = "" to ""

    @Volatile
    private var life: Life? = begin(loaded = 1)

    /** The link over which entries reach the endpoint. */
    val link = FaultProxy(host, ENDPOINT_PORT, ::target)

    // The agent of the VM reaches its engine without a network in between.
    private val localLink = if (isEngine) FaultProxy(host, ENGINE_PORT, ::target) else null

    /** Where the agent reaches the engine. */
    val engineAddress: String get() = "$host:$ENGINE_PORT"

    private class Life(val number: Int, val name: String, val service: LoopbackService) {
        var state = "ready"
    }

    private fun target(): InetSocketAddress =
        life?.service?.socketAddress ?: InetSocketAddress("127.0.0.1", 1)

    private fun begin(loaded: Long): Life {
        val number = lives.incrementAndGet()
        val name = "i-$index-$number"
        val observer = RunObserver { arrival, version -> record(number, arrival, version) }
        val loads = LoadObserver { version, wrong ->
            if (wrong.isNotEmpty()) {
                ledger.onBroken("incomplete weights", "$name loads version $version: $wrong")
            }
        }
        val service = if (isEngine) {
            ModelEngineService(name, SOAK_MODEL, loaded, observer, loads)
        } else {
            EndpointService(name, PLAIN_WORK_MILLIS, observer)
        }
        return Life(number, name, service)
    }

    private fun record(number: Int, arrival: EndpointArrival, version: Long) {
        val shape = CallShape.entries.firstOrNull { arrival.path.startsWith(it.path) }
        if (shape == null) {
            ledger.onBroken("changed request", "path ${arrival.path}")
            return
        }
        ledger.onRun(
            EndpointRun(arrival.id, shape, arrival.organisation, number, index, version, clock())
        )
    }

    /** Writes the list entry when it has changed. */
    @Synchronized
    fun list() {
        val current = life ?: return
        val service = if (isEngine) ENGINE_SERVICE else PLAIN_SERVICE
        val engine = current.service as? ModelEngineService
        val entry = endpointDocument(service, "$host:$ENDPOINT_PORT", current.state, engine)
        if (current.name to entry != listed) store.put("servers", current.name, entry)
        listed = current.name to entry
    }

    /** Dies, stays away for [awayMillis], and begins a new life; the list learns it late. */
    fun crash(awayMillis: Long) = change {
        val dead = checkNotNull(life)
        life = null
        dead.service.close()
        link.resetAll()
        Thread.sleep(awayMillis)
        store.remove("servers", dead.name)
        life = begin(loaded = 0)
    }

    /** Reports that it leaves, serves for [lastsMillis], and is replaced. */
    fun drain(lastsMillis: Long) = change {
        val leaving = checkNotNull(life)
        leaving.state = "draining"
        list()
        ledger.onDrained(leaving.number, index, clock())
        Thread.sleep(lastsMillis)
        life = begin(loaded = 0)
        store.remove("servers", leaving.name)
        leaving.service.close()
    }

    /** Turns a staged piece bad. */
    fun spoilStaged() {
        (life?.service as? ModelEngineService)?.spoilStaged()
    }

    private fun change(action: () -> Unit) {
        if (!isChanging.compareAndSet(false, true)) return
        try {
            action()
        } finally {
            isChanging.set(false)
        }
    }

    override fun close() {
        link.close()
        localLink?.close()
        life?.service?.close()
    }

    private companion object {
        val lives = AtomicInteger()
    }
}
