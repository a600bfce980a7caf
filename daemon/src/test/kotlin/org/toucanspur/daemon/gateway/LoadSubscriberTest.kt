package org.toucanspur.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.InetSocketAddress
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import org.toucanspur.core.gateway.CallerLimits
import org.toucanspur.core.gateway.EndpointRun
import org.toucanspur.core.gateway.LostAttempt
import org.toucanspur.core.gateway.NamedLimit
import org.toucanspur.core.gateway.TrafficConfiguration
import org.toucanspur.core.gateway.TrafficService
import org.toucanspur.core.gateway.partFingerprint
import org.toucanspur.daemon.engine.LoadReporter
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.net.Datagrams
import org.toucanspur.daemon.net.NettyEventLoop
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.Frame
import org.toucanspur.schema.LoadQuery
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.VmId

private const val AGENT_HOST = "127.0.0.3"
private val service = ServiceId("engine")
private val endpointId = EndpointId("e")
private val patience = 20.seconds

private fun freePort(): Int =
    DatagramSocket(0, InetAddress.getByName(AGENT_HOST)).use { it.localPort }

/** An agent that does nothing but relay between the entries that query it. */
private class RelayingAgent(port: Int) {
    /** Number of queries so far. */
    @Volatile
    var queryCount = 0
        private set

    private val datagrams: Datagrams =
        Datagrams(NettyEventLoop(), InetSocketAddress(AGENT_HOST, port), ::onFrame)
    private val reporter = LoadReporter(VmId(AGENT_HOST), datagrams)

    private fun onFrame(frame: Frame, sender: InetSocketAddress) = if (frame is LoadQuery) {
        queryCount++
        reporter.onQuery(sender)
    } else {
        reporter.relay(frame, sender)
    }
}

/** State and subscriber of an entry on [host]. */
private class SubscribedEntry(host: String, port: Int) {
    private val loop = NettyEventLoop()
    private val state = GatewayState(entrySettings(host, port, usageDuties), Random(1))

    init {
        onLoop {
            state.configuration = configuration()
            state.fleet.put(endpointRecord(endpointId.value, service, AGENT_HOST, port), 0)
        }
    }

    private val subscriber = LoadSubscriber(loop, state) {}

    /** Applies a record of the endpoint, started at [startedAtMillis]. */
    fun onRecord(startedAtMillis: Long) = onLoop {
        val port = settings.addresses.peerPort
        val record = endpointRecord(endpointId.value, service, AGENT_HOST, port)
        fleet.put(record.copy(startedAtMillis = startedAtMillis), 0)
        subscriber.queryNewAgents()
    }

    fun <T> onLoop(action: GatewayState.() -> T): T =
        loop.executor.submit<T> { state.action() }.get()

    /** Reads the limit of the endpoint. */
    fun limitPerSecond(): Double? = onLoop { fleet.find(endpointId)?.limitPerSecond }

    private fun configuration() = TrafficConfiguration(
        1,
        emptyList(),
        mapOf(
            service to TrafficService(
                service,
                "/health",
                100,
                0.0,
                testEngine,
                emptyList(),
                null
            )
        ),
        CallerLimits(16_384, 1000, 3000, 15_000),
        emptyList()
    )
}

class LoadSubscriberTest :
    DescribeSpec({
        // Guards against queries that grow with the number of changes of endpoint records.
        it("queries the agent of an endpoint that has started, and not at each of its records") {
            val port = freePort()
            val agent = RelayingAgent(port)
            val entry = SubscribedEntry("127.0.0.4", port)
            entry.onRecord(startedAtMillis = 5)
            eventually(patience) { agent.queryCount shouldBe 1 }
            repeat(100) { entry.onRecord(startedAtMillis = 5) }
            entry.onRecord(startedAtMillis = 6)
            eventually(patience) { agent.queryCount shouldBeGreaterThan 1 }
            agent.queryCount shouldBeLessThan 20
        }
        describe("two entries that query the same agent") {
            val port = freePort()
            RelayingAgent(port)
            val first = SubscribedEntry("127.0.0.1", port)
            val second = SubscribedEntry("127.0.0.2", port)

            fun SubscribedEntry.name(limit: NamedLimit) = onLoop {
                val now = monotonicMillis()
                fleet.find(endpointId)?.onNamedLimit(limit, now, now)
            }
            it("learn from each other that an endpoint names a limit, and that it is lifted") {
                first.name(NamedLimit.Rate(2.5))
                eventually(patience) { second.limitPerSecond() shouldBe 2.5 }
                second.name(NamedLimit.None)
                eventually(patience) { first.limitPerSecond() shouldBe null }
            }
            it("learn each other's usage counts from notices that the agent relays") {
                val organisation = OrganisationId("o")
                val window = first.onLoop {
                    exchange.onBegun(organisation)
                    exchange.trueMillis() / 5000
                }
                second.onLoop { exchange.onBegun(organisation) }
                listOf(first, second).forEach { entry ->
                    eventually(patience) {
                        entry.onLoop {
                            listOf(window, window + 1).sumOf {
                                exchange.totals(it)[organisation]
                                    ?: 0
                            }
                        } shouldBe 2
                    }
                    entry.onLoop { exchange.heardCount } shouldBe 1
                }
            }
            it("count the responses that each of them has seen after crashes") {
                val part = listOf(partFingerprint(service, "deadly"))
                first.onLoop {
                    val start = monotonicMillis()
                    repeat(3) { crash ->
                        val run = EndpointRun(EndpointId("crashed$crash"), 1)
                        val sentMillis = start - 50 + 10 * crash
                        crashSuspects.onLost(LostAttempt(run, part, sentMillis, sentMillis + 10))
                    }
                    crashSuspects.confirm(start) { true }.size shouldBe 3
                    crashSuspects.isRefused(service, part, start) shouldBe false
                }
                second.onLoop { repeat(4) { crashSuspects.onResponse(service, monotonicMillis()) } }
                listOf(first, second).forEach { entry ->
                    eventually(patience) {
                        entry.onLoop {
                            crashSuspects.isRefused(service, part, monotonicMillis())
                        } shouldBe true
                    }
                }
            }
        }
    })
