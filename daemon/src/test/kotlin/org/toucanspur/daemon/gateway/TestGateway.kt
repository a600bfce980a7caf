package org.toucanspur.daemon.gateway

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.random.Random
import org.toucanspur.core.gateway.CallKind
import org.toucanspur.core.gateway.CallerLimits
import org.toucanspur.core.gateway.EndpointRecord
import org.toucanspur.core.gateway.Organisation
import org.toucanspur.core.gateway.RouteTarget
import org.toucanspur.core.gateway.TrafficConfiguration
import org.toucanspur.core.gateway.TrafficRoute
import org.toucanspur.core.gateway.TrafficService
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.net.NettyEventLoop
import org.toucanspur.schema.AddressesSection
import org.toucanspur.schema.BoundsSection
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.EngineSection
import org.toucanspur.schema.LimitsSection
import org.toucanspur.schema.NodeConfiguration
import org.toucanspur.schema.NodeRole
import org.toucanspur.schema.NodeSection
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.StoreSection
import org.toucanspur.schema.VmId
import org.toucanspur.schema.ZoneId

/** Time limit of the calls of a [TestGateway]. */
const val CALL_SECONDS = 20
private val service = ServiceId("s")

private fun settings() = NodeConfiguration(
    NodeSection(NodeRole.ENTRY, VmId("vm"), "127.0.0.1", ZoneId("z"), RegionId("r"), "z:r"),
    AddressesSection("127.0.0.1:0", "127.0.0.1:0", 1),
    StoreSection("127.0.0.1:1"),
    EngineSection("none", ServiceId("none")),
    LimitsSection(430, 4200, 1000.0),
    BoundsSection(2000, 8, 60_000, 5000, 8000, 0.2, 10, 100, 5, 120)
)

private fun route(path: String, kind: CallKind, targetMillis: Long, isResumable: Boolean = false) =
    TrafficRoute(
        name = path,
        host = "h",
        pathPrefix = path,
        kind = kind,
        targets = listOf(RouteTarget(service, 1)),
        timeoutMillis = CALL_SECONDS * 1000L,
        targetMillis = targetMillis,
        eventGapTargetMillis = targetMillis,
        priority = 0,
        endpointsMax = 2,
        isAnonymousAllowed = false,
        isResumable = isResumable,
        homeRegions = emptySet()
    )

/** A gateway in front of scripted endpoints on the ports [endpoints]. */
class TestGateway(
    endpoints: List<Int>,
    isFresh: Boolean = true,
    isListed: Boolean = true,
    private val targetMillis: Long = CALL_SECONDS * 1000L,
    private val bodyMaxBytes: Int = 1000
) {
    private val loop = NettyEventLoop()
    private val log = DecisionLog(VmId("vm"), PrintStream(ByteArrayOutputStream()))
    private val state = GatewayState(settings(), Random(1))
    val port: Int

    init {
        val ready = CountDownLatch(1)
        loop.executor.execute {
            state.configuration = configuration()
            if (isListed) state.listedKinds += ObjectKind.entries
            if (isFresh) state.freshness.renew(systemClocks.now())
            endpoints.forEachIndexed { index, port -> state.fleet.put(record(index, port), 0) }
            ready.countDown()
        }
        ready.await()
        val metrics = GatewayMetrics(SimpleMeterRegistry())
        val dispatcher = CallDispatcher(loop, state, TestRequestCodec, log, metrics)
        val server = GatewayServer(loop, state, dispatcher, connectionsMax = 100)
        port = server.start(InetSocketAddress("127.0.0.1", 0)).port
    }

    private fun configuration() = TrafficConfiguration(
        1,
        listOf(
            route("/idempotent/", CallKind.IDEMPOTENT, targetMillis),
            route("/once/", CallKind.AT_MOST_ONCE, targetMillis),
            route("/stream/", CallKind.STREAM, targetMillis, isResumable = true)
        ),
        mapOf(service to TrafficService(service, "/health", 100, 0.0, null, emptyList(), null)),
        CallerLimits(16_384, bodyMaxBytes, 3000, 15_000),
        listOf(Organisation(OrganisationId("acme"), setOf("k"), null, emptySet()))
    )

    private fun record(index: Int, port: Int) = EndpointRecord(
        EndpointId("e$index"),
        service,
        "127.0.0.1",
        port,
        ZoneId("z"),
        RegionId("r"),
        slots = 8,
        isReady = true,
        coldRemainingMillis = 0,
        loadedVersions = emptyMap(),
        startedAtMillis = 0
    )

    /** Sends a request and returns everything received until the connection closes. */
    fun call(
        path: String,
        key: String = "k",
        extraHeaders: String = "",
        body: String = "hello"
    ): String = Socket("127.0.0.1", port).use { socket ->
        socket.soTimeout = CALL_SECONDS * 1000
        socket.send(
            "POST $path HTTP/1.1\r\nHost: h\r\nId: r1\r\nKey: $key\r\n$extraHeaders" +
                "Connection: close\r\nContent-Length: ${body.length}\r\n\r\n$body"
        )
        socket.getInputStream().readBytes().decodeToString()
    }
}
