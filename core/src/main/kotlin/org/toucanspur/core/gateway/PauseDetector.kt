/*
 * Detects that a process did not run for a while or that its clocks disagree. A stopped process
 * shows as a gap on both clocks; a suspended VM or a stepped wall clock shows as a difference
 * between them.
 */
package org.toucanspur.core.gateway

import kotlin.math.abs

/** A gap between two observations, with its length on each clock. */
data class Pause(
    val startedAt: ClockReading,
    val monotonicMillis: Long,
    /** Negative if the wall clock was set back. */
    val wallMillis: Long
) {
    /** The longer of the two lengths. */
    val lengthMillis: Long get() = maxOf(monotonicMillis, wallMillis)

    /** Time by which the wall clock advanced further than the monotonic clock. */
    val clockShiftMillis: Long get() = wallMillis - monotonicMillis

    /** Both clocks at the end of the pause. */
    val endedAt: ClockReading
        get() = ClockReading(
            startedAt.monotonicMillis + monotonicMillis,
            startedAt.wallMillis + wallMillis
        )
}

/**
 * Compares consecutive readings of the clocks. A gap of at least [thresholdMillis], or a difference
 * of that size between the clocks, is a pause; observations have to be much more frequent.
 */
class PauseDetector(private val thresholdMillis: Long = THRESHOLD_MILLIS) : PauseHistory {
    private var previous: ClockReading? = null
    private val pauses = ArrayDeque<Pause>()

    /** The most recent pause; null before the first one. */
    val latest: Pause? get() = pauses.lastOrNull()

    override fun firstPauseSince(reading: ClockReading): ClockReading? =
        pauses.firstOrNull { it.endedAt.monotonicMillis > reading.monotonicMillis }?.startedAt

    /** Returns the pause that ended at [now], or null if the process ran since the last call. */
    fun observe(now: ClockReading): Pause? {
        val start = previous
        previous = now
        if (start == null) return null
        val pause = Pause(
            start,
            now.monotonicMillis - start.monotonicMillis,
            now.wallMillis - start.wallMillis
        )
        val isPause = pause.monotonicMillis >= thresholdMillis ||
            abs(pause.clockShiftMillis) >= thresholdMillis
        if (!isPause) return null
        pauses.addLast(pause)
        if (pauses.size > PAUSES_MAX) pauses.removeFirst()
        return pause
    }

    private companion object {
        const val THRESHOLD_MILLIS = 400L
        const val PAUSES_MAX = 32
    }
}
