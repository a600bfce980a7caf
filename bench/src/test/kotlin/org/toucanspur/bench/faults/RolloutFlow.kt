/*
 * A rollout to a pool of six VMs in three zones. Every VM claims a slot, loads the release and
 * confirms it by conditional updates of one shared record.
 */
package org.toucanspur.bench.faults

import org.toucanspur.core.weights.RolloutCandidate
import org.toucanspur.core.weights.RolloutDecision
import org.toucanspur.core.weights.RolloutLimits
import org.toucanspur.core.weights.decideRollout
import org.toucanspur.core.weights.withConfirmation
import org.toucanspur.core.weights.withFailure
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.RolloutRecord
import org.toucanspur.schema.VmId
import org.toucanspur.schema.ZoneId

private const val VMS = 6
private const val ZONES = 3
private const val POLL_INTERVAL_MILLIS = 300L
private const val LATENCY_MILLIS = 5L
private const val LOAD_MILLIS = 500L
private const val DELAYED_MILLIS = 5000L
private const val OUTAGE_MILLIS = 5000L
private const val HORIZON_MILLIS = 400_000L

internal class RolloutFlow : FaultFlow {
    override val name = "rollout"
    override val steps = listOf("read record", "claim slot", "load", "confirm")
    override val faults = listOf(
        "object API down",
        "response lost",
        "VM fails",
        "agent paused",
        "message delayed",
        "release fails to load",
        "concurrent decision"
    )
    override val invariants = listOf(
        "at most one VM per zone changes at a time, and one in total until the canary is confirmed",
        "the rollout of a release that fails to load stops and the previous release keeps serving",
        "any other release reaches every running VM, unless two VMs fail during its rollout"
    )

    override fun run(injections: List<Injection>): List<String> =
        Simulation(Injector(injections)).violations()

    private class Vm(number: Int) {
        val id = VmId("vm-$number")
        val zone = ZoneId("zone-${number % ZONES}")
        var servedRelease: ReleaseDigest? = OLD
        var isFailed = false
        var isBusy = false
        var pausedUntil = 0L
    }

    private inner class Simulation(private val injector: Injector) {
        private val time = VirtualTimeScheduler()
        private val violated = LinkedHashSet<String>()
        private val vms = List(VMS) { Vm(it) }
        private val limits = RolloutLimits(unavailablePerZoneMax = 1)
        private var record: RolloutRecord? =
            RolloutRecord(OLD, null, emptyList(), vms.map { it.id }, 0, false)
        private var recordVersion = 1L
        private var storeDownUntil = 0L
        private var isReleaseBad = false
        private var failedVms = 0

        fun violations(): List<String> {
            vms.forEachIndexed { index, vm -> time.schedule(index * 7L) { poll(vm) } }
            time.runUntil(HORIZON_MILLIS, ::check)
            val running = vms.filterNot { it.isFailed }
            if (isReleaseBad) {
                if (running.any { it.servedRelease != OLD } &&
                    record?.confirmed.orEmpty().isEmpty()
                ) {
                    violated += invariants[1]
                }
            } else if (record?.stopped != true && running.any { it.servedRelease != NEW }) {
                violated += invariants[2]
            }
            val isWronglyStopped = record?.stopped == true && !isReleaseBad && failedVms < 2
            if (isWronglyStopped) violated += invariants[2]
            return violated.toList()
        }

        private fun check() {
            val unavailable = vms.filter { it.servedRelease == null && !it.isFailed }
            val isCanaryPhase = record?.let { it.release == NEW && it.confirmed.isEmpty() } ?: false
            if (unavailable.groupBy { it.zone }.any { it.value.size > 1 }) violated += invariants[0]
            if (isCanaryPhase && unavailable.size > 1) violated += invariants[0]
        }

        private fun poll(vm: Vm) {
            if (vm.isFailed) return
            time.schedule(POLL_INTERVAL_MILLIS) { poll(vm) }
            if (vm.isBusy || time.nowMillis < vm.pausedUntil) return
            if (vm.servedRelease == NEW) recordConfirmation(vm) else decide(vm)
        }

        private fun injectFaults(step: String, vm: Vm): Set<String> {
            val injected = injector.faultsAt(step)
            if ("object API down" in injected) storeDownUntil = time.nowMillis + OUTAGE_MILLIS
            if ("agent paused" in injected) vm.pausedUntil = time.nowMillis + DELAYED_MILLIS
            if ("release fails to load" in injected) isReleaseBad = true
            if ("concurrent decision" in injected) {
                vms.first { it != vm && !it.isFailed }.let {
                    if (!it.isBusy && it.servedRelease != NEW) {
                        decide(it)
                    }
                }
            }
            if ("VM fails" in injected) {
                vm.isFailed = true
                vm.servedRelease = null
                failedVms++
            }
            return injected
        }

        private fun decide(vm: Vm) {
            val injected = injectFaults("read record", vm)
            if (isStoreDown() || vm.isFailed || "response lost" in injected) return
            val readRecord = record
            val readVersion = recordVersion
            val candidate = RolloutCandidate(vm.id, vm.zone, vm.servedRelease)
            val decision =
                decideRollout(readRecord, NEW, candidate, limits, time.nowMillis, ::zoneOf)
            val delay = if ("message delayed" in injected) DELAYED_MILLIS else LATENCY_MILLIS
            vm.isBusy = true
            time.schedule(delay) {
                vm.isBusy = false
                if (!vm.isFailed) applyDecision(vm, decision, readVersion)
            }
        }

        private fun applyDecision(vm: Vm, decision: RolloutDecision, readVersion: Long) {
            when (decision) {
                is RolloutDecision.Proceed -> load(vm)
                is RolloutDecision.Wait -> Unit
                is RolloutDecision.Stopped -> vm.servedRelease = decision.previous
                is RolloutDecision.Claim -> {
                    val injected = injectFaults("claim slot", vm)
                    val isWritten = writeRecord(decision.record, readVersion)
                    val isGranted = decision.record.slots.any { it.vm == vm.id }
                    if (isWritten &&
                        isGranted &&
                        "response lost" !in injected &&
                        !vm.isFailed
                    ) {
                        load(vm)
                    }
                }
            }
        }

        private fun load(vm: Vm) {
            val injected = injectFaults("load", vm)
            if (vm.isFailed) return
            vm.isBusy = true
            vm.servedRelease = null
            val delay = if ("message delayed" in injected) DELAYED_MILLIS else LOAD_MILLIS
            time.schedule(delay) {
                vm.isBusy = false
                if (vm.isFailed) return@schedule
                if (isReleaseBad) recordFailure(vm) else vm.servedRelease = NEW
            }
        }

        private fun recordFailure(vm: Vm) {
            val current = record ?: return
            if (isStoreDown()) {
                time.schedule(POLL_INTERVAL_MILLIS) { recordFailure(vm) }
                return
            }
            writeRecord(withFailure(current, vm.id, limits), recordVersion)
            vm.servedRelease = OLD
        }

        private fun recordConfirmation(vm: Vm) {
            val current = record ?: return
            if (vm.id in current.confirmed) return
            val injected = injectFaults("confirm", vm)
            val readVersion = recordVersion
            if (isStoreDown() || vm.isFailed) return
            val delay = if ("message delayed" in injected) DELAYED_MILLIS else LATENCY_MILLIS
            time.schedule(delay) { writeRecord(withConfirmation(current, vm.id), readVersion) }
        }

        private fun writeRecord(next: RolloutRecord, expectedVersion: Long): Boolean {
            if (isStoreDown() || expectedVersion != recordVersion) return false
            record = next
            recordVersion++
            return true
        }

        private fun isStoreDown(): Boolean = time.nowMillis < storeDownUntil

        private fun zoneOf(vm: VmId): ZoneId? = vms.first {
            it.id == vm
        }.takeUnless { it.isFailed }?.zone
    }

    private companion object {
        val OLD = ReleaseDigest("old")
        val NEW = ReleaseDigest("new")
    }
}
