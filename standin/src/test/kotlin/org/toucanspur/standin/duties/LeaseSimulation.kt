/*
 * Virtual-time simulation of VMs that compete for the lease for duties, with their store. The calls
 * that reach the platform are checked with the rules of the stand-in of the operations API.
 */
package org.toucanspur.standin.duties

import java.util.PriorityQueue
import kotlin.random.Random
import org.toucanspur.core.duties.AcquireReason
import org.toucanspur.core.duties.DutyPermit
import org.toucanspur.core.duties.DutyRecord
import org.toucanspur.core.duties.LeaseAction
import org.toucanspur.core.duties.LeaseContent
import org.toucanspur.core.duties.LeaseObject
import org.toucanspur.core.duties.LeaseObserver
import org.toucanspur.core.duties.LeaseStateMachine
import org.toucanspur.core.duties.LeaseTerms
import org.toucanspur.core.duties.LossReason
import org.toucanspur.core.duties.RecordedWindow
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.VmId
import org.toucanspur.standin.platform.DutyCall
import org.toucanspur.standin.platform.DutyRules

const val LEASE_MILLIS = 3000L
private const val END_MILLIS = 60_000L
private const val START_WALL_MILLIS = 1_767_225_600_000L
private const val WINDOW_MILLIS = 2000L
private const val LATENESS_MILLIS = 10_000L
private const val WINDOWS_KEPT = 20
private const val CALL_MILLIS = 600L
private const val STORE_TIMEOUT_MILLIS = 1000L
private const val LATE_WRITE_MAX_MILLIS = 6000L
private const val STALE_MAX_MILLIS = 3000L

/** Changes that a simulation makes to the terms of a VM, to show that it finds faults. */
fun interface TermsOf {
    fun terms(vm: Int): LeaseTerms
}

/** One interleaving, determined by [seed]; calls that leave after a freeze count if [isStrict]. */
class LeaseSimulation(
    seed: Long,
    private val isStrict: Boolean = false,
    private val termsOf: TermsOf
) : LeaseObserver {
    private val random = Random(seed)
    private val events = PriorityQueue(compareBy<Event>({ it.atMillis }, { it.number }))
    private var eventCount = 0L
    private var now = 0L
    private val store = Store()
    private val vms = List(VMS) { Vm(it) }

    val rules = DutyRules(LEASE_MILLIS)
    val acquired = HashMap<AcquireReason, Int>()
    val lost = HashMap<LossReason, Int>()

    private class Event(val atMillis: Long, val number: Long, val run: () -> Unit)

    private fun at(millis: Long, run: () -> Unit) {
        events += Event(millis, eventCount++, run)
    }

    private fun chance(percent: Int) = random.nextInt(100) < percent

    fun run() {
        vms.forEach { it.startProcess() }
        scheduleFault()
        while (true) {
            val event = events.poll() ?: break
            if (event.atMillis > END_MILLIS) break
            now = event.atMillis
            event.run()
        }
    }

    private fun scheduleFault(): Unit = at(now + random.nextLong(200, 4000)) {
        val vm = vms[random.nextInt(VMS)]
        when (random.nextInt(8)) {
            0 -> vm.freeze(random.nextLong(100, 9000), isSuspended = false)
            1 -> vm.freeze(random.nextLong(100, 9000), isSuspended = true)
            2 -> {
                vm.storeCutUntil = now + random.nextLong(100, 9000)
                if (chance(50)) vm.cutUntil = vm.storeCutUntil
            }
            3 -> vm.startProcess()
            4 -> vm.wallOffset += random.nextLong(-1000, 1000)
            5 -> store.downUntil = now + random.nextLong(100, 6000)
            6 -> if (chance(50)) store.restore()
            7 -> if (chance(10)) store.damage()
        }
        scheduleFault()
    }

    override fun onAcquired(content: LeaseContent, previous: VmId?, reason: AcquireReason) {
        acquired.merge(reason, 1, Int::plus)
    }

    override fun onLost(content: LeaseContent, reason: LossReason) {
        lost.merge(reason, 1, Int::plus)
    }

    override fun onUnreadable(revision: Long) = Unit

    /** The store: the object of the lease, with its earlier states for copies and stale reads. */
    private inner class Store {
        private inner class State(val found: LeaseObject, val era: Long, val revision: Long) {
            val sinceMillis = now
        }

        private val states = ArrayList<State>()
        var downUntil = 0L

        init {
            states += State(LeaseObject.Absent, 1, random.nextLong(1, 5))
        }

        private fun change(found: LeaseObject, era: Long, revision: Long) {
            states += State(found, era, revision)
        }

        fun restore() {
            val copy = states[random.nextInt(maxOf(0, states.size - 20), states.size)]
            change(copy.found, states.last().era + 1, copy.revision)
        }

        fun damage() {
            val last = states.last()
            val revision = last.revision + 1
            change(LeaseObject.Unreadable(revision), last.era, revision)
        }

        fun read(isStaleAllowed: Boolean): Pair<LeaseObject, Long> {
            val maxAge = if (isStaleAllowed) random.nextLong(STALE_MAX_MILLIS) else 0
            val state = states.lastOrNull { it.sinceMillis <= now - maxAge } ?: states.first()
            return (if (isStaleAllowed) state else states.last()).let { it.found to it.era }
        }

        /** Returns whether [write] was executed. */
        fun write(write: LeaseAction.Write): Boolean {
            val last = states.last()
            if (write.expectedRevision != last.found.revision) return false
            val revision = last.revision + 1
            change(LeaseObject.Readable(revision, write.content), last.era, revision)
            return true
        }

        fun current(): Pair<LeaseObject, Long> = states.last().let { it.found to it.era }
    }

    private inner class Vm(private val number: Int) {
        val id = VmId("vm-$number")
        var wallOffset = random.nextLong(-1000, 1000)

        // Ends of partitions from the platform's operations API and from the store.
        var cutUntil = 0L
        var storeCutUntil = 0L
        private var suspendedMillis = 0L
        var frozenUntil = 0L
        private var process: Process? = null
        private var incarnations = 0L
        private val terms = termsOf.terms(number)

        fun clocks() = ClockReading(now - suspendedMillis, START_WALL_MILLIS + now + wallOffset)

        fun freeze(millis: Long, isSuspended: Boolean) {
            if (now < frozenUntil) return
            frozenUntil = now + millis
            // The clocks are not read before the end of the freeze.
            if (isSuspended) suspendedMillis += millis
        }

        fun startProcess() {
            process?.isAlive = false
            process = Process(this, ++incarnations, terms).also { it.start() }
        }

        /** Runs [action] of a process at [millis], or once the VM is no longer frozen. */
        fun schedule(owner: Process, millis: Long, action: () -> Unit): Unit = at(millis) {
            when {
                !owner.isAlive -> Unit
                now < frozenUntil -> schedule(owner, frozenUntil, action)
                else -> action()
            }
        }
    }

    private inner class Process(private val vm: Vm, incarnation: Long, terms: LeaseTerms) {
        var isAlive = true
        private val machine =
            LeaseStateMachine(vm.id, incarnation, terms, random, this@LeaseSimulation)
        private var isBusy = false
        private var newRecord: DutyRecord? = null

        fun start() {
            vm.schedule(this, now + random.nextLong(1000), ::step)
            vm.schedule(this, now + random.nextLong(300), ::work)
        }

        private fun isCut() = now < vm.storeCutUntil || now < store.downUntil

        private fun step() {
            if (isBusy) return
            val clocks = vm.clocks()
            // As in DutyLeaseHolder, a record is not stored in a later tenure than it was made in.
            if (!machine.isHeld(clocks)) newRecord = null
            val record = newRecord
            when (val action = machine.next(clocks, clocks.wallMillis, record)) {
                is LeaseAction.Wait -> vm.schedule(this, now + minOf(action.millis, 200), ::step)
                is LeaseAction.Read -> call { finish ->
                    val (found, era) = store.read(action.isStaleAllowed)
                    finish { machine.onRead(found, era, vm.clocks()) }
                }
                is LeaseAction.Write -> call { finish -> write(action, record, finish) }
            }
        }

        private fun write(
            action: LeaseAction.Write,
            record: DutyRecord?,
            finish: (() -> Unit) -> Unit
        ) {
            val isExecuted = store.write(action)
            val (found, era) = store.current()
            finish {
                if (!isExecuted) {
                    machine.onConflict(found, era, vm.clocks())
                } else {
                    // The record that the machine then has is that of the confirmed write.
                    machine.onWritten(action, found.revision, era, vm.clocks())
                }
                if (record != null) newRecord = null
            }
        }

        // One call to the store. A write may be executed late after its response was lost.
        private fun call(execute: ((() -> Unit) -> Unit) -> Unit) {
            isBusy = true
            if (chance(3)) vm.freeze(random.nextLong(50, 9000), chance(50))
            vm.schedule(this, now + random.nextLong(2)) {
                val timeOutMillis = now + STORE_TIMEOUT_MILLIS
                val isLost = chance(5)
                when {
                    isCut() -> Unit
                    isLost && chance(50) ->
                        at(now + random.nextLong(LATE_WRITE_MAX_MILLIS)) { execute { } }
                    else -> at(now + random.nextLong(20)) {
                        execute { onResponse ->
                            if (isLost) return@execute
                            vm.schedule(this, now + random.nextLong(20)) { finish(onResponse) }
                        }
                    }
                }
                vm.schedule(this, timeOutMillis) { finish(null) }
            }
            callNumber++
        }

        private var callNumber = 0
        private var finishedNumber = 0

        private fun finish(onResponse: (() -> Unit)?) {
            if (onResponse == null && finishedNumber >= callNumber) return
            if (!isBusy) return
            finishedNumber = callNumber
            isBusy = false
            if (onResponse == null) {
                machine.onFailure(vm.clocks())
                newRecord = null
            } else {
                onResponse()
            }
            step()
        }

        private fun work() {
            val clocks = vm.clocks()
            val permit = machine.permit(CALL_MILLIS, clocks)
            if (permit != null) {
                act(permit)
                if (newRecord == null) newRecord = finalise(clocks.wallMillis)
            }
            vm.schedule(this, now + random.nextLong(50, 500), ::work)
        }

        // The windows that ended since the record was known to be complete get counts, which differ
        // between VMs. The counts are sent once the record is stored.
        private fun finalise(wallMillis: Long): DutyRecord? {
            val record = machine.record ?: return null
            val last = wallMillis / WINDOW_MILLIS - 1
            val first = (wallMillis - LATENESS_MILLIS) / WINDOW_MILLIS
            val missing = (first..last).filter { window ->
                record.windows.none { it.window == window } &&
                    (window + 1) * WINDOW_MILLIS > machine.gapUntilMillis
            }
            if (missing.isEmpty()) return null
            val new = missing.map { RecordedWindow(it, counts(), isAccepted = false) }
            return DutyRecord((record.windows + new).takeLast(WINDOWS_KEPT))
        }

        private fun counts() = mapOf(OrganisationId("o") to random.nextLong(1_000_000))

        private fun act(permit: DutyPermit) {
            val record = machine.record ?: return
            val window = record.windows.randomOrNull(random) ?: return
            // A call that is sent after a freeze arrives within the slack and does not count.
            if (chance(5)) vm.freeze(random.nextLong(50, 9000), chance(50))
            val isCounted = now >= vm.frozenUntil && now >= vm.cutUntil
            if (!isCounted && !isStrict) return
            val delayMillis = if (chance(10)) random.nextLong(CALL_MILLIS) else random.nextLong(20)
            at(maxOf(now, vm.frozenUntil) + delayMillis) {
                val counts = window.counts.mapKeys { it.key.value }
                val call = DutyCall(
                    "usage_report",
                    "",
                    permit.holder.value,
                    permit.fencing.value,
                    window.window,
                    counts
                )
                rules.onCall(call, now)
            }
        }
    }

    private companion object {
        const val VMS = 3
    }
}
