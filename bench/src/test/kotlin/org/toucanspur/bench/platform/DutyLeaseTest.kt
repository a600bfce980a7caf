package org.toucanspur.bench.platform

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.withContext
import org.toucanspur.core.duties.DutyPermit
import org.toucanspur.core.duties.DutyRecord
import org.toucanspur.core.duties.DutyReply
import org.toucanspur.core.duties.RecordedWindow
import org.toucanspur.daemon.duties.EntryDuties
import org.toucanspur.daemon.gateway.systemClocks
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.net.NettyEventLoop
import org.toucanspur.daemon.net.NettyHttpClient
import org.toucanspur.platform.PlatformStore
import org.toucanspur.schema.DutiesSection
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.VmId
import org.toucanspur.standin.platform.ObjectStoreService
import org.toucanspur.standin.platform.OperationsService

private const val LEASE_MILLIS = 1500
private const val CALL_MILLIS = 600L
private val window = RecordedWindow(7, mapOf(OrganisationId("o") to 3), isAccepted = false)

/** The duties of the VM [name], on an event loop of its own. */
private class DutiesOfVm(name: String, store: ObjectStoreService, api: OperationsService) {
    private val loop = NettyEventLoop()
    private val output = ByteArrayOutputStream()
    private val log = DecisionLog(VmId(name), PrintStream(output))
    private val http = NettyHttpClient(loop)
    private val duties = EntryDuties(
        VmId(name),
        DutiesSection(api.address, "usage_report", 50.0, LEASE_MILLIS, 300, 5, 0.05, 10),
        loop,
        http,
        PlatformStore(http, store.address),
        systemClocks,
        log,
        SimpleMeterRegistry()
    )

    fun start() = duties.start()

    suspend fun <T> run(action: suspend EntryDuties.() -> T): T =
        withContext(loop.scope.coroutineContext) { duties.action() }

    suspend fun awaitPermit(): DutyPermit = eventually(20.seconds) {
        val permit = run { lease.permit(CALL_MILLIS) }
        permit shouldNotBe null
        checkNotNull(permit)
    }

    fun events(): String {
        log.flush(1000)
        return output.toString()
    }

    fun close() = loop.executor.parent().shutdownGracefully()
}

class DutyLeaseTest :
    DescribeSpec({
        // Guards against errors between the decisions, the calls to the store and their formats.
        describe("two entries and the platform's store") {
            it("hand the record over when the holder stops, and break no rule") {
                val store = ObjectStoreService()
                val api = OperationsService(LEASE_MILLIS.toLong())
                val first = DutiesOfVm("vm-1", store, api)
                val second = DutiesOfVm("vm-2", store, api)
                first.start()
                val permit = first.awaitPermit()
                second.start()
                first.run { lease.store(DutyRecord(listOf(window))) } shouldBe true
                first.run { this.api.reportUsage(permit, window.window, window.counts) } shouldBe
                    DutyReply.ACCEPTED
                second.run { lease.store(DutyRecord()) } shouldBe false
                first.run { beginStopping() }
                val later = second.awaitPermit()
                later.fencing.value shouldBeGreaterThan permit.fencing.value
                second.run { lease.record } shouldBe DutyRecord(listOf(window))
                first.run { this.api.reportUsage(permit, 8, window.counts) } shouldBe
                    DutyReply.UNKNOWN
                second.run { this.api.reportUsage(later, window.window, window.counts) } shouldBe
                    DutyReply.ACCEPTED
                api.callCount shouldBe 2
                api.violations.shouldBeEmpty()
                listOf(first, second).map { "\"event\":600" in it.events() } shouldBe
                    listOf(true, true)
                listOf(first, second).forEach { it.close() }
                listOf(store, api).forEach { it.close() }
            }
            it("let the lease go when the store returns from a copy, and take it again") {
                val store = ObjectStoreService()
                val api = OperationsService(LEASE_MILLIS.toLong())
                val vm = DutiesOfVm("vm-1", store, api)
                store.takeCopy()
                vm.start()
                val permit = vm.awaitPermit()
                store.restore()
                eventually(20.seconds) { vm.run { lease.permit(1) } shouldBe null }
                val later = vm.awaitPermit()
                later.fencing.value shouldBeGreaterThan permit.fencing.value
                vm.events().contains("RESTORED") shouldBe true
                vm.close()
                listOf(store, api).forEach { it.close() }
            }
        }
    })
