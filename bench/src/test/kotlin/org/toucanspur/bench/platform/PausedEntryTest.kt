package org.toucanspur.bench.platform

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import java.net.InetSocketAddress
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import org.toucanspur.bench.soak.CallKind
import org.toucanspur.bench.soak.CallOutcome
import org.toucanspur.bench.soak.EndpointRun
import org.toucanspur.bench.soak.GuaranteeLimits
import org.toucanspur.bench.soak.SOAK_HOST
import org.toucanspur.bench.soak.SOAK_MODEL
import org.toucanspur.bench.soak.SoakCaller
import org.toucanspur.bench.soak.SoakObservations
import org.toucanspur.bench.soak.SoakProcess
import org.toucanspur.standin.platform.ConfigurationDocument
import org.toucanspur.standin.platform.ENGINE_SERVICE
import org.toucanspur.standin.platform.ModelEngineService
import org.toucanspur.standin.platform.ObjectStoreService
import org.toucanspur.standin.platform.RouteDocument
import org.toucanspur.standin.platform.endpointDocument

private const val VERSION_BOUND_MILLIS = 8000L
private const val PAUSE_MILLIS = 4000L

// Time after a pause from which an entry must keep its bounds.
private const val SETTLE_MILLIS = 3000L
private const val CALLS_END_MILLIS = VERSION_BOUND_MILLIS + PAUSE_MILLIS
private const val CALL_INTERVAL_MILLIS = 50L
private const val KEY = "k"
private val testTimeout = 30.seconds

/** An entry process with an object store and engines of fixed versions. */
private class PausedEntryFixture : AutoCloseable {
    private val host = "127.19.0.${Math.floorMod(ProcessHandle.current().pid(), HOSTS) + 1}"
    private val startNanos = System.nanoTime()
    private val engineCount = AtomicInteger()
    private val engines = mutableListOf<ModelEngineService>()
    private val store = ObjectStoreService()
    private val process =
        SoakProcess("entry", Path.of("target", "paused-entry"), settings())
    private val address = InetSocketAddress(host, CALLERS_PORT)
    val observations =
        SoakObservations(GuaranteeLimits(2, REVOCATION_MILLIS, VERSION_BOUND_MILLIS, DRAIN_MILLIS))
    private val caller =
        SoakCaller(0, address, observations, ::nowMillis, { listOf(KEY) }, Random(1))

    private fun settings() = "[node]\nrole = entry\nvm = entry\nhost = $host\nzone = z\n" +
        "region = r\nzone-regions = z:r\n" +
        "[addresses]\ncallers = $host:$CALLERS_PORT\nreadiness = $host:${CALLERS_PORT + 1}\n" +
        "peer-port = ${CALLERS_PORT + 2}\n" +
        "[store]\naddress = ${store.address}\n" +
        "[bounds]\ndrain-millis = $DRAIN_MILLIS\ngrace-seconds = 8\n" +
        "revocation-millis = $REVOCATION_MILLIS\nevacuation-millis = 5000\n" +
        "version-millis = $VERSION_BOUND_MILLIS\nretry-budget-ratio = 0.2\n" +
        "retry-budget-window-seconds = 10\nretry-budget-allowance = 40\n"

    fun nowMillis(): Long = (System.nanoTime() - startNanos) / NANOS_PER_MILLI

    fun start() {
        val kind = CallKind.STREAM
        val routes = listOf(RouteDocument(SOAK_HOST, kind.path, "streaming", ENGINE_SERVICE, 2))
        val configuration = ConfigurationDocument(
            1,
            routes,
            SOAK_MODEL,
            "127.0.0.1:1",
            SoakObservations.ORGANISATION,
            listOf(KEY)
        )
        store.put("config", "main", configuration.json())
        setTargetVersion(1)
        process.start()
    }

    fun addEngine(version: Long) {
        val index = engineCount.getAndIncrement()
        val engine = ModelEngineService(
            "e$index",
            SOAK_MODEL,
            version,
            { request, loaded ->
                val kind = CallKind.STREAM
                val organisation = request.organisation
                val now = nowMillis()
                observations.onRun(
                    EndpointRun(request.id, kind, organisation, index, index, loaded, now)
                )
            },
            { _, _ -> }
        )
        engines += engine
        store.put(
            "servers",
            "e$index",
            endpointDocument(ENGINE_SERVICE, engine.address, "ready", engine)
        )
    }

    /** Sets the target version and returns the time at which the store acknowledged it. */
    fun setTargetVersion(version: Long): Long {
        store.put("versions", SOAK_MODEL, """{"model":"$SOAK_MODEL","version":$version}""")
        return nowMillis().also { observations.onTargetVersionSet(version, it) }
    }

    fun signal(name: String) = process.signal(name)

    fun call() = caller.callOnce(CallKind.STREAM)

    fun servedCount(): Int = observations.counts()[CallOutcome.SERVED] ?: 0

    override fun close() {
        process.signal("KILL")
        caller.disconnect()
        (engines + store).forEach { it.close() }
    }

    private companion object {
        const val HOSTS = 250
        const val CALLERS_PORT = 17_711
        const val REVOCATION_MILLIS = 5000L
        const val DRAIN_MILLIS = 3000L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}

private suspend fun awaitServed(fixture: PausedEntryFixture) {
    val before = fixture.servedCount()
    eventually(testTimeout) {
        fixture.call()
        fixture.servedCount() shouldBeGreaterThan before
    }
}

class PausedEntryTest :
    DescribeSpec({
        describe("an entry that is paused while a target version is set") {
            it("sends no requests to an older version after the bound") {
                PausedEntryFixture().use { fixture ->
                    fixture.start()
                    fixture.addEngine(version = 1)
                    awaitServed(fixture)
                    fixture.signal("STOP")
                    val acknowledgedMillis = fixture.setTargetVersion(2)
                    Thread.sleep(PAUSE_MILLIS)
                    fixture.signal("CONT")
                    Thread.sleep(SETTLE_MILLIS)
                    while (fixture.nowMillis() < acknowledgedMillis + CALLS_END_MILLIS) {
                        fixture.call()
                        Thread.sleep(CALL_INTERVAL_MILLIS)
                    }
                    fixture.observations.verdict { _, _, _, _ -> true }.shouldBeEmpty()
                    fixture.addEngine(version = 2)
                    awaitServed(fixture)
                }
            }
        }
    })
