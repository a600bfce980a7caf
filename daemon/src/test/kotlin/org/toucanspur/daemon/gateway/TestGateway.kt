package org.toucanspur.daemon.gateway

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import org.toucanspur.core.gateway.CallExplanation
import org.toucanspur.core.gateway.CallKind
import org.toucanspur.core.gateway.CallerLimits
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.core.gateway.EndpointRecord
import org.toucanspur.core.gateway.EngineTiming
import org.toucanspur.core.gateway.Organisation
import org.toucanspur.core.gateway.RequestCodec
import org.toucanspur.core.gateway.RouteTarget
import org.toucanspur.core.gateway.ServiceDemand
import org.toucanspur.core.gateway.TrafficConfiguration
import org.toucanspur.core.gateway.TrafficRoute
import org.toucanspur.core.gateway.TrafficService
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.net.NettyEventLoop
import org.toucanspur.schema.AddressesSection
import org.toucanspur.schema.BoundsSection
import org.toucanspur.schema.DutiesSection
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.EngineSection
import org.toucanspur.schema.LimitsSection
import org.toucanspur.schema.LoadReport
import org.toucanspur.schema.ModelId
import org.toucanspur.schema.NodeConfiguration
import org.toucanspur.schema.NodeRole
import org.toucanspur.schema.NodeSection
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.RoutingLearning
import org.toucanspur.schema.RoutingSection
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.StoreSection
import org.toucanspur.schema.VmId
import org.toucanspur.schema.ZoneId

/** Settings of a deployment without an operations API. */
val noDuties = DutiesSection("none", "none", 10.0, 3000, 300, 5, 0.05, 10)

/** Settings of a deployment that reports usage. */
val usageDuties = noDuties.copy(address = "127.0.0.1:1", duties = "usage_report")

/** Time limit of the calls of a [TestGateway]. */
const val CALL_SECONDS = 20

/** Bound of a target version at a [TestGateway]. */
const val VERSION_BOUND_MILLIS = 8000

/** Time in which a change of the configuration has to be in force at a [TestGateway]. */
const val CONFIGURATION_BOUND_MILLIS = 30_000
private const val RESPONSE_MEMORY_BYTES = 20L * 1024 * 1024
private const val CALLER_MEMORY_BYTES = 40L * 1024 * 1024
private val service = ServiceId("s")
private val engineService = ServiceId("engine")
private val model = ModelId("m")

/** Timing of the engines of tests. */
val testEngine = EngineTiming(8, 1.0, 0.1, 0.0, 30_000.0, 6, 100, 50, 100_000)

/** Settings of an entry on [host] that exchanges datagrams on [peerPort]. */
fun entrySettings(host: String = "127.0.0.1", peerPort: Int = 1, duties: DutiesSection = noDuties) =
    NodeConfiguration(
        NodeSection(NodeRole.ENTRY, VmId("vm-$host"), host, ZoneId("z"), RegionId("r"), "z:r"),
        AddressesSection("$host:0", "$host:0", peerPort),
        StoreSection("127.0.0.1:1", 1200),
        EngineSection("none", ServiceId("none")),
        LimitsSection(430, 4200, 1000.0, 0, 500, 30_000, 4096, 64, 256),
        BoundsSection(
            drainMillis = 2000,
            graceSeconds = 8,
            revocationMillis = 60_000,
            evacuationMillis = 5000,
            configurationMillis = CONFIGURATION_BOUND_MILLIS,
            stabilityMillis = 3000,
            versionMillis = VERSION_BOUND_MILLIS,
            retryBudgetRatio = 0.2,
            retryBudgetWindowSeconds = 10,
            retryBudgetAllowance = 100,
            coldAllowance = 5,
            eventRelayMillis = 120
        ),
        duties,
        RoutingSection(RoutingLearning.ON)
    )

private fun route(
    path: String,
    kind: CallKind,
    targetMillis: Long,
    isResumable: Boolean = false,
    target: ServiceId = service,
    isAnonymousAllowed: Boolean = false
) = TrafficRoute(
    name = path,
    host = "h",
    pathPrefix = path,
    kind = kind,
    targets = listOf(RouteTarget(target, 1)),
    timeoutMillis = CALL_SECONDS * 1000L,
    targetMillis = targetMillis,
    eventGapTargetMillis = targetMillis,
    priority = 0,
    endpointsMax = 2,
    isAnonymousAllowed = isAnonymousAllowed,
    isResumable = isResumable,
    homeRegions = emptySet()
)

/** Record of an endpoint that is ready and warm. */
fun endpointRecord(id: String, recordService: ServiceId, host: String, port: Int) = EndpointRecord(
    EndpointId(id),
    recordService,
    host,
    port,
    ZoneId("z"),
    RegionId("r"),
    slots = 8,
    isReady = true,
    coldRemainingMillis = 0,
    loadedVersions = emptyMap(),
    startedAtMillis = 0
)

/** What a [TestGateway] reads from a version of the configuration. */
data class TestConfiguration(
    val version: Long,
    val routes: List<TrafficRoute>,
    val services: List<TrafficService>,
    val limits: CallerLimits,
    val organisations: List<Organisation>
) {
    /** The configuration with each route changed by [change]. */
    fun mapRoutes(change: (TrafficRoute) -> TrafficRoute) = copy(routes = routes.map(change))

    /** The configuration as the gateway uses it. */
    fun toTraffic() = TrafficConfiguration(
        version,
        routes,
        services.associateBy { it.id },
        limits,
        organisations
    )
}

/** A gateway in front of scripted endpoints on the ports [endpoints]. */
class TestGateway(
    private val endpoints: List<Int>,
    isFresh: Boolean = true,
    isListed: Boolean = true,
    targetMillis: Long = CALL_SECONDS * 1000L,
    bodyMaxBytes: Int = 1000,
    waitingMaxBytes: Long = 1_000_000,
    codec: RequestCodec = TestRequestCodec,
    endpointsMax: Int = 2,
    limits: CallerLimits = CallerLimits(16_384, bodyMaxBytes, 3000, 15_000),
    responseMemoryBytes: Long = RESPONSE_MEMORY_BYTES,
    configurationAgeMillis: Long = 0,
    callerMemoryBytes: Long = CALLER_MEMORY_BYTES
) {
    /** Names of the tasks that failed. */
    val failedTasks = CopyOnWriteArrayList<String>()
    private val loop = NettyEventLoop { name, _ -> failedTasks += name }
    private val registry = SimpleMeterRegistry()

    /** Events that the gateway logs. */
    val events = LogCapture()
    private val state = GatewayState(entrySettings(duties = usageDuties), Random(1))
    private var starts = 0L
    private val server: GatewayServer
    private val dispatcher: CallDispatcher
    private var configuration = TestConfiguration(
        1,
        listOf(
            route("/idempotent/", CallKind.IDEMPOTENT, targetMillis),
            route("/once/", CallKind.AT_MOST_ONCE, targetMillis),
            route("/open/", CallKind.AT_MOST_ONCE, targetMillis, isAnonymousAllowed = true),
            route("/stream/", CallKind.STREAM, targetMillis, isResumable = true),
            route("/engine/", CallKind.STREAM, targetMillis, isResumable = true, engineService)
        ).map { it.copy(endpointsMax = endpointsMax) },
        listOf(
            TrafficService(service, "/health", 100, 0.0, null, emptyList(), null),
            TrafficService(engineService, "/health", 100, 0.0, testEngine, emptyList(), null)
        ),
        limits,
        listOf(Organisation(OrganisationId("acme"), setOf("k"), null, emptySet()))
    )

    /** Port for callers on the loopback address. */
    val port: Int

    init {
        onLoop {
            state.configuration = configuration.toTraffic()
            if (isListed) state.listedKinds += ObjectKind.entries
            if (isFresh) {
                val now = systemClocks.now()
                val confirmedAt = ClockReading(
                    now.monotonicMillis - configurationAgeMillis,
                    now.wallMillis - configurationAgeMillis
                )
                state.freshness.renew(confirmedAt)
            }
            endpoints.forEachIndexed { index, port -> state.fleet.put(record(index, port), 0) }
        }
        val metrics = GatewayMetrics(registry)
        dispatcher =
            CallDispatcher(
                loop,
                state,
                codec,
                events.log,
                metrics,
                waitingMaxBytes = waitingMaxBytes,
                responseMemoryBytes = responseMemoryBytes
            )
        server = GatewayServer(
            loop,
            state,
            dispatcher,
            connectionsMax = 100,
            events.log,
            metrics,
            callerMemoryBytes
        )
        port = server.start(InetSocketAddress("127.0.0.1", 0)).port
    }

    private fun onLoop(action: () -> Unit) = loop.executor.submit(action).get()

    /** Applies the next version of the configuration, which is the current one after [change]. */
    fun apply(change: (TestConfiguration) -> TestConfiguration) = onLoop {
        configuration = change(configuration).copy(version = configuration.version + 1)
        state.configuration = configuration.toTraffic()
    }

    /** Applies a configuration in which the organisation has the API [keys]. */
    fun setKeys(keys: Set<String>) = apply { current ->
        current.copy(organisations = current.organisations.map { it.copy(keys = keys) })
    }

    /** Applies a configuration with [changed] limits. */
    fun setLimits(changed: CallerLimits) = apply { it.copy(limits = changed) }

    /** Runs [action] on the event loop and right after it the check for time-outs. */
    fun checkTimeouts(action: () -> Unit) = onLoop {
        action()
        server.closeTimedOut()
    }

    /** Number of response bytes that callers have not taken yet. */
    val unsentBytes: Long get() = loop.executor.submit<Long> { server.unsentBytes }.get()

    /** Value of the counter [name]. */
    fun count(name: String): Long = registry.find(name).counters().sumOf { it.count() }.toLong()

    private fun record(
        index: Int,
        port: Int,
        recordService: ServiceId = service,
        versions: Map<ModelId, Long> = mapOf(model to 3),
        startedAtMillis: Long = 0
    ) = endpointRecord("e$index", recordService, "127.0.0.1", port)
        .copy(loadedVersions = versions, startedAtMillis = startedAtMillis)

    /** Lists the endpoint on [endpointPort] as restarted. */
    fun onRestart(endpointPort: Int) = onLoop {
        val index = endpoints.indexOf(endpointPort)
        state.fleet.put(record(index, endpointPort, startedAtMillis = ++starts), 0)
    }

    /** Lists the endpoint on [endpointPort] once more, as removed and added again. */
    fun relist(endpointPort: Int) = onLoop {
        val relisted = record(endpoints.indexOf(endpointPort), endpointPort)
        state.fleet.remove(relisted.id, monotonicMillis())
        state.fleet.put(relisted, monotonicMillis())
    }

    /** Applies a refusal of the endpoint on [endpointPort] that asks for [backoffMillis]. */
    fun requestBackoff(endpointPort: Int, backoffMillis: Long) = onLoop {
        val id = EndpointId("e${endpoints.indexOf(endpointPort)}")
        state.fleet.find(id)?.onBackoffRequested(backoffMillis, monotonicMillis())
    }

    /** Applies a load report of the agent of the endpoint on [endpointPort], its last one. */
    fun reportLoad(endpointPort: Int) = onLoop {
        val id = EndpointId("e${endpoints.indexOf(endpointPort)}")
        val report = LoadReport(VmId("vm"), 0, 1, 0, 0, 3, false, -1, 100, 100, 1, 0)
        state.fleet.find(id)?.onReport(report, monotonicMillis())
    }

    /** Lists another endpoint, on [port]. */
    fun add(port: Int) = onLoop { state.fleet.put(record(port, port), monotonicMillis()) }

    /** Lists an engine on [port] that has loaded [version]. */
    fun addEngine(port: Int, version: Long) = onLoop {
        val versions = mapOf(model to version)
        state.fleet.put(record(port, port, engineService, versions), monotonicMillis())
    }

    /** Records that [version] was set as a target version [ageMillis] ago. */
    fun setTargetVersion(version: Long, ageMillis: Long) = onLoop {
        val now = systemClocks.now()
        val since = ClockReading(now.monotonicMillis - ageMillis, now.wallMillis - ageMillis)
        state.versions.onTargetVersion(model, version, since)
    }

    /** Sends a request for [model] and returns everything received until the connection closes. */
    fun callEngine(path: String = "/engine/"): String =
        call(path, extraHeaders = "Model: ${model.value}\r\n")

    /** Requests that were counted as usage of the organisation. */
    val usageCount: Long
        get() = loop.executor.submit<Long> {
            val window = state.exchange.trueMillis() / (noDuties.usageWindowSeconds * 1000)
            (window - 3..window).sumOf {
                state.exchange.totals(it)[OrganisationId("acme")] ?: 0
            }
        }.get()

    /** Demand on the service without an engine. */
    fun demand(): ServiceDemand = loop.executor.submit<ServiceDemand> {
        state.exchange.demand.total(service, monotonicMillis()).single()
    }.get()

    /** Number of requests that have been queued. */
    val queuedCount: Long get() = registry.counter("toucanspur.requests.waited").count().toLong()

    /** Number of responses counted as outdated. */
    val outdatedCount: Long get() = registry.counter(
        "toucanspur.responses.outdated"
    ).count().toLong()

    /** Explains a request with [headers] to [path]. */
    fun explain(path: String, vararg headers: Pair<String, String>): CallExplanation =
        loop.executor.submit<CallExplanation> {
            val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path)
            head.headers().set("Host", "h")
            headers.forEach { (name, value) -> head.headers().set(name, value) }
            dispatcher.explain(head)
        }.get()

    /** Serves explanations on [port]. */
    fun serveExplanations(port: Int) = ProbeServer(
        loop,
        state.settings.limits,
        emptyMap(),
        queries = mapOf(
            EXPLAIN_PATH to explainPage({ failedTasks += "explain" }, dispatcher::explain)
        )
    ).start(InetSocketAddress("127.0.0.1", port))

    /** Draws the next random number of the gateway. */
    fun nextRandom(): Int = loop.executor.submit<Int> { state.random.nextInt() }.get()

    /** Values of all counters. */
    val counts: Map<String, Double>
        get() = registry.meters.filterIsInstance<Counter>()
            .associate { it.id.toString() to it.count() }

    /** Reads nothing from callers until [confirmConfiguration], for [maxMillis] at most. */
    fun holdInput(maxMillis: Long) = onLoop { server.holdInput(maxMillis) }

    /** Confirms that the configuration is the newest, and reads from callers again. */
    fun confirmConfiguration() = onLoop {
        state.freshness.renew(systemClocks.now())
        server.resumeInput()
    }

    /** Sends a request and returns everything received until the connection closes. */
    fun call(
        path: String,
        key: String? = "k",
        extraHeaders: String = "",
        body: String = "hello",
        id: String = "r1"
    ): String = Socket("127.0.0.1", port).use { socket ->
        socket.soTimeout = CALL_SECONDS * 1000
        socket.send(
            "POST $path HTTP/1.1\r\nHost: h\r\nId: $id\r\n" +
                key?.let { "Key: $it\r\n" }.orEmpty() + extraHeaders +
                "Connection: close\r\nContent-Length: ${body.length}\r\n\r\n$body"
        )
        socket.getInputStream().readBytes().decodeToString()
    }
}
