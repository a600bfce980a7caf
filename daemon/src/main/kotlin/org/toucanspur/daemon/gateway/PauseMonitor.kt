/*
 * Logs pauses of the process and steps of its clocks.
 */
package org.toucanspur.daemon.gateway

import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.ClockPair
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.core.gateway.Pause
import org.toucanspur.core.gateway.PauseDetector
import org.toucanspur.core.gateway.PauseHistory
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.net.NettyEventLoop

/** Observes [clocks] at a fixed rate; confined to the event loop. */
class PauseMonitor(private val clocks: ClockPair, private val log: DecisionLog) : PauseHistory {
    private val detector = PauseDetector()

    /** Starts observing on [loop]. */
    fun start(loop: NettyEventLoop) {
        loop.executor.execute(::observe)
        loop.scheduleRepeating("pauses", PERIOD_MILLIS, ::observe)
    }

    /**
     * Returns the latest pause if it ended recently. After a pause, messages that arrived
     * meanwhile may be handled before the next periodic observation, so the clocks are read here
     * too.
     */
    fun recent(): Pause? {
        observe()
        val latest = detector.latest ?: return null
        return latest.takeIf { clocks.now().ageMillis(it.endedAt) < RECENT_MILLIS }
    }

    override fun firstPauseSince(reading: ClockReading): ClockReading? {
        observe()
        return detector.firstPauseSince(reading)
    }

    private fun observe() {
        val pause = detector.observe(clocks.now()) ?: return
        log.event(EventCode.PROCESS_PAUSED) {
            put("monotonicMillis", pause.monotonicMillis)
            put("wallMillis", pause.wallMillis)
            put("clockShiftMillis", pause.clockShiftMillis)
        }
    }

    private companion object {
        const val PERIOD_MILLIS = 100L
        const val RECENT_MILLIS = 30_000L
    }
}
