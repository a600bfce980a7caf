package org.toucanspur.core.duties

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlin.math.abs
import kotlin.random.Random
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.core.gateway.divideNotice
import org.toucanspur.schema.EntryNotice
import org.toucanspur.schema.Incarnation
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.VmId

private const val WINDOW_MILLIS = 5000L
private const val START_MILLIS = 1_700_000_000_000L
private val organisations = (1..24).map { OrganisationId("organisation-number-$it") }

/** An entry whose wall clock is off by [clockErrorMillis]. */
private class SimulatedEntry(name: String, var clockErrorMillis: Long = 0, incarnation: Long = 1) {
    val run = EntryRun(VmId(name), Incarnation(incarnation))
    val peers = EntryPeers(run)
    val usage = UsageCounts(run, WINDOW_MILLIS)
    private val bootMillis = Random(name.hashCode()).nextLong(1_000_000)
    private var sequence = 0L

    fun clock(millis: Long) =
        ClockReading(millis - START_MILLIS + bootMillis, millis + clockErrorMillis)

    fun trueMillis(millis: Long) = peers.trueMillis(clock(millis))

    fun count(organisation: OrganisationId, millis: Long) =
        usage.count(organisation, trueMillis(millis))

    fun notices(millis: Long): List<EntryNotice> {
        sequence++
        val header =
            EntryNotice(run.vm, run.incarnation, sequence, clock(millis).wallMillis, 1000)
        return divideNotice(header, usage.ownCounts(trueMillis(millis), sequence), emptyList())
    }

    fun receive(notice: EntryNotice, millis: Long) {
        val now = clock(millis)
        if (!peers.onNotice(notice, now.monotonicMillis)) return
        val sentMillis = peers.sentMillis(notice, now) ?: return
        val run = EntryRun(notice.vm, notice.incarnation)
        notice.windows.forEach { usage.merge(run, it, sentMillis, peers.trueMillis(now)) }
    }

    fun isComplete(window: Long, millis: Long) =
        peers.live(clock(millis).monotonicMillis).all { usage.isComplete(window, it) }
}

/** Entries whose notices are lost, repeated and reordered; requests arrive all the time. */
private class SimulatedNetwork(
    val entries: MutableList<SimulatedEntry>,
    private val lossShare: Double,
    seed: Int
) {
    private val random = Random(seed)
    private val underway = ArrayList<Triple<Long, SimulatedEntry, EntryNotice>>()
    val exact = HashMap<Long, HashMap<OrganisationId, Long>>()
    var millis = START_MILLIS
        private set

    fun runUntil(endMillis: Long) {
        while (millis < endMillis) {
            millis += 20
            val organisation = organisations[random.nextInt(organisations.size)]
            entries.random(random).count(organisation, millis)
            exact.getOrPut(millis / WINDOW_MILLIS) { HashMap() }.merge(organisation, 1, Long::plus)
            if (millis % 1000 == 0L) entries.forEach(::send)
            val arrived = underway.filter { it.first <= millis }
            underway -= arrived.toSet()
            arrived.forEach { (_, receiver, notice) -> receiver.receive(notice, millis) }
        }
    }

    private fun send(sender: SimulatedEntry) = sender.notices(millis).forEach { notice ->
        entries.filter { it !== sender }.forEach { receiver ->
            repeat(2) {
                val delay = random.nextLong(5, 60) + if (random.nextInt(20) == 0) 900 else 0
                if (random.nextDouble() >= lossShare) {
                    underway += Triple(millis + delay, receiver, notice)
                }
            }
        }
    }
}

private fun fiveEntries() = (1..5).mapTo(ArrayList()) { SimulatedEntry("entry-$it") }

class UsageExchangeTest :
    DescribeSpec({
        describe("five entries whose notices are lost, repeated and reordered") {
            val network = SimulatedNetwork(fiveEntries(), lossShare = 0.3, seed = 3)
            val window = START_MILLIS / WINDOW_MILLIS + 2
            network.runUntil((window + 1) * WINDOW_MILLIS + 4500)
            it("all have the same counts of a window that has ended") {
                val first = network.entries.first().usage.totals(window)
                network.entries.forEach { entry ->
                    (entry.usage.totals(window) == first) shouldBe true
                    entry.isComplete(window, network.millis) shouldBe true
                }
            }
            it("count at most the requests at its bounds in another window") {
                // The median clock is late by the time that a notice takes.
                val totals = network.entries.first().usage.totals(window)
                val differences = network.exact.getValue(window).map { (organisation, count) ->
                    abs(count - (totals[organisation] ?: 0))
                }
                differences.sum() shouldBeInRange 0L..7L
            }
        }
        describe("a window that has not ended") {
            it("is not complete, whatever was received") {
                val network = SimulatedNetwork(fiveEntries(), lossShare = 0.0, seed = 4)
                network.runUntil(START_MILLIS + 4000)
                network.entries.first().isComplete(
                    START_MILLIS / WINDOW_MILLIS,
                    network.millis
                ) shouldBe
                    false
            }
        }
        describe("an entry that is killed within a window") {
            val network = SimulatedNetwork(fiveEntries(), lossShare = 0.0, seed = 5)
            val window = START_MILLIS / WINDOW_MILLIS + 1
            network.runUntil(window * WINDOW_MILLIS + 3100)
            val killed = network.entries.removeLast()
            network.runUntil((window + 1) * WINDOW_MILLIS + 2500)
            it("has its counts at the others") {
                val survivor = network.entries.first()
                survivor.usage.totals(window).values.sum() shouldBeInRange
                    245L..network.exact.getValue(window).values.sum()
            }
            it("does not hold up the window") {
                network.entries.first().isComplete(window, network.millis) shouldBe true
            }
            it("adds to the counts of its earlier run when it starts again") {
                val restarted = SimulatedEntry(killed.run.vm.value, incarnation = 2)
                network.entries += restarted
                network.runUntil(network.millis + 12_000)
                val last = network.millis / WINDOW_MILLIS - 1
                network.entries.first().usage.totals(last).values.sum() shouldBeInRange 240L..255L
            }
        }
        describe("a notice that arrives after a newer one of its entry") {
            it("does not lower a count") {
                val sender = SimulatedEntry("sender")
                val receiver = SimulatedEntry("receiver")
                sender.count(organisations[0], START_MILLIS)
                val old = sender.notices(START_MILLIS + 10)
                repeat(3) { sender.count(organisations[0], START_MILLIS + 20) }
                val new = sender.notices(START_MILLIS + 1000)
                (new + old + new).forEach { receiver.receive(it, START_MILLIS + 1010) }
                receiver.usage.totals(START_MILLIS / WINDOW_MILLIS) shouldBe
                    mapOf(organisations[0] to 4L)
            }
        }
        describe("true time") {
            it("does not follow steps of a minority of the clocks, the own one included") {
                val entries = fiveEntries()
                val network = SimulatedNetwork(entries, lossShare = 0.2, seed = 6)
                network.runUntil(START_MILLIS + 3000)
                entries[0].clockErrorMillis = 4000
                entries[1].clockErrorMillis = -3000
                network.runUntil(START_MILLIS + 6000)
                entries.forEach {
                    it.trueMillis(network.millis) - network.millis shouldBeInRange -60L..0L
                }
                entries[0].clockErrorMillis = 0
                entries[0].trueMillis(network.millis) - network.millis shouldBeInRange -60L..0L
            }
            it("is right again at the first notice after the VM was suspended") {
                val entries = fiveEntries()
                val network = SimulatedNetwork(entries, lossShare = 0.0, seed = 7)
                network.runUntil(START_MILLIS + 3000)
                val now = entries[0].clock(network.millis)
                // The monotonic clock has stood still for 8 s.
                val resumed = ClockReading(now.monotonicMillis, now.wallMillis + 8000)
                entries.drop(1).forEach { other ->
                    other.notices(network.millis + 8000).forEach {
                        entries[0].peers.onNotice(it, resumed.monotonicMillis)
                    }
                }
                entries[0].peers.trueMillis(resumed) shouldBe network.millis + 8000
            }
            it("is not moved back by notices that waited while the process was frozen") {
                val entry = SimulatedEntry("frozen")
                val others = (1..3).map { SimulatedEntry("entry-$it") }
                others.forEach { other ->
                    other.notices(START_MILLIS).forEach { entry.receive(it, START_MILLIS) }
                    other.notices(START_MILLIS + 1000).forEach {
                        entry.receive(it, START_MILLIS + 6000)
                    }
                }
                entry.trueMillis(START_MILLIS + 6000) shouldBe START_MILLIS + 6000
            }
        }
        describe("an entry that starts") {
            it("learns earlier windows of the entries that run") {
                val entries = fiveEntries()
                val network = SimulatedNetwork(entries, lossShare = 0.0, seed = 8)
                network.runUntil(START_MILLIS + 20_000)
                entries += SimulatedEntry("started")
                network.runUntil(START_MILLIS + 30_000)
                val window = START_MILLIS / WINDOW_MILLIS + 1
                val known = entries.first().usage.totals(window)
                (entries.last().usage.totals(window) == known) shouldBe true
            }
        }
        describe("a notice with the counts of many organisations") {
            it("is divided, and merged whatever the order of its datagrams") {
                val sender = SimulatedEntry("sender")
                val receiver = SimulatedEntry("receiver")
                val many = (1..200).map { OrganisationId("organisation-number-$it") }
                many.forEach { sender.count(it, START_MILLIS) }
                val notices = sender.notices(START_MILLIS + WINDOW_MILLIS)
                notices.size shouldBeGreaterThan 2
                val window = START_MILLIS / WINDOW_MILLIS
                notices.drop(1).asReversed().forEach {
                    receiver.receive(it, START_MILLIS + WINDOW_MILLIS)
                }
                receiver.isComplete(window, START_MILLIS + WINDOW_MILLIS) shouldBe false
                receiver.receive(notices.first(), START_MILLIS + WINDOW_MILLIS)
                receiver.isComplete(window, START_MILLIS + WINDOW_MILLIS) shouldBe true
                receiver.usage.totals(window).keys shouldBe many.toSet()
            }
        }
    })
