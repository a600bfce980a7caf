/*
 * The other entries as their notices show them: which ones run, and their clocks. True time is the
 * median of the wall clocks of all entries, so that a step of a minority of the clocks, the own one
 * included, does not change it.
 */
package org.toucanspur.core.duties

import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.schema.EntryNotice
import org.toucanspur.schema.Incarnation
import org.toucanspur.schema.VmId

/** One run of the process of an entry. */
data class EntryRun(val vm: VmId, val incarnation: Incarnation)

/** Entries other than [self] that were heard from. Not thread-safe. */
class EntryPeers(private val self: EntryRun) {
    private val peers = HashMap<VmId, Peer>()

    /**
     * Records a notice that arrived at [nowMillis] of the monotonic clock. Returns whether it is
     * the newest one of its entry or a further datagram of it; others are outdated.
     */
    fun onNotice(notice: EntryNotice, nowMillis: Long): Boolean {
        if (notice.vm == self.vm) return false
        val known = peers[notice.vm]
        val isOtherRun = known != null && known.run.incarnation != notice.incarnation
        if (isOtherRun && !known.isReplacedBy(notice, nowMillis)) return false
        if (known == null && peers.size >= PEERS_MAX) return false
        val peer = if (known == null || isOtherRun) {
            Peer(EntryRun(notice.vm, notice.incarnation)).also { peers[notice.vm] = it }
        } else {
            known
        }
        return peer.onNotice(notice, nowMillis)
    }

    /** Runs of the other entries whose notices have not expired. */
    fun live(nowMillis: Long): List<EntryRun> {
        peers.values.removeIf { nowMillis - it.heardMillis > FORGOTTEN_MILLIS }
        return peers.values.filter { it.isLive(nowMillis) }.map { it.run }
    }

    /** Whether [vm] is heard from. */
    fun isLive(vm: VmId, nowMillis: Long): Boolean = peers[vm]?.isLive(nowMillis) == true

    /** Time of day in milliseconds at [now], as most entries have it. */
    fun trueMillis(now: ClockReading): Long {
        val offsets = peers.values.filter { it.isLive(now.monotonicMillis) }
            .mapTo(ArrayList()) { it.offsetMillis }
        offsets += now.wallMillis - now.monotonicMillis
        offsets.sort()
        // Of two clocks the earlier one holds: acting late is harmless.
        return now.monotonicMillis + offsets[(offsets.size - 1) / 2]
    }

    /** True time at which [notice] was sent, when it is now [now]; null if its entry is unknown. */
    fun sentMillis(notice: EntryNotice, now: ClockReading): Long? {
        val peer = peers[notice.vm] ?: return null
        val ageMillis = now.monotonicMillis + peer.offsetMillis - notice.wallMillis
        return trueMillis(now) - maxOf(0, ageMillis)
    }

    private class Peer(val run: EntryRun) {
        var heardMillis = Long.MIN_VALUE
            private set
        private var sequence = Long.MIN_VALUE
        private var expiryMillis = EXPIRY_MIN_MILLIS
        private val samples = ArrayDeque<ClockReading>()

        /**
         * Difference of the entry's wall clock to the own monotonic clock. A sample that arrived
         * late, or before the own VM was suspended, shows too small a difference, so the largest
         * recent one holds.
         */
        val offsetMillis: Long get() = samples.maxOf { it.wallMillis - it.monotonicMillis }

        fun isLive(nowMillis: Long): Boolean = nowMillis - heardMillis < expiryMillis

        // A restart with a clock that was set back has a lower incarnation than the run before.
        fun isReplacedBy(notice: EntryNotice, nowMillis: Long): Boolean =
            notice.incarnation.value > run.incarnation.value ||
                nowMillis - heardMillis > expiryMillis / 2

        fun onNotice(notice: EntryNotice, nowMillis: Long): Boolean {
            if (notice.sequence < sequence) return false
            if (notice.sequence > sequence) {
                samples.addLast(ClockReading(nowMillis, notice.wallMillis))
                if (samples.size > SAMPLES_MAX) samples.removeFirst()
            }
            sequence = notice.sequence
            heardMillis = nowMillis
            expiryMillis = EXPIRY_PERIODS * notice.periodMillis.coerceIn(PERIODS_MILLIS)
            return true
        }
    }

    private companion object {
        const val PEERS_MAX = 4096
        const val SAMPLES_MAX = 3

        // Notices are sent once a second; two of them may get lost.
        const val EXPIRY_PERIODS = 3
        const val EXPIRY_MIN_MILLIS = 3000L
        val PERIODS_MILLIS = 1000L..10_000L
        const val FORGOTTEN_MILLIS = 60_000L
    }
}
