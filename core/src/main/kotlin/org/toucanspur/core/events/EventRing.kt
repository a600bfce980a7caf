/*
 * The time line of one process: a bounded ring of events stamped by a hybrid logical clock, so
 * that events of several processes merge in an order that respects their messages.
 */
package org.toucanspur.core.events

import org.toucanspur.schema.Event
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.RequestId
import org.toucanspur.schema.Revision
import org.toucanspur.schema.VmId

/** Reading of a hybrid logical clock. */
data class HybridTime(val wallMillis: Long, val counter: Int) : Comparable<HybridTime> {
    override fun compareTo(other: HybridTime): Int =
        compareValuesBy(this, other, HybridTime::wallMillis, HybridTime::counter)
}

/** Hybrid logical clock over [wallMillis]; never runs backwards. */
class HybridClock(private val wallMillis: () -> Long) {
    private var last = HybridTime(0, 0)

    /** Time of a local event. */
    @Synchronized
    fun tick(): HybridTime {
        val wall = wallMillis()
        last =
            if (wall >
                last.wallMillis
            ) {
                HybridTime(wall, 0)
            } else {
                last.copy(counter = last.counter + 1)
            }
        return last
    }

    /** Advances past the time that a peer's message carried. */
    @Synchronized
    fun observe(peerWallMillis: Long) {
        if (peerWallMillis > last.wallMillis) last = HybridTime(peerWallMillis, 0)
    }
}

/** What an event concerns; all parts are optional. */
data class EventSubject(
    val revision: Revision? = null,
    val release: ReleaseDigest? = null,
    val requestId: RequestId? = null
)

/** Keeps the latest [capacity] events of one process. Safe for use by several threads. */
class EventRing(private val vm: VmId, private val capacity: Int, val clock: HybridClock) {
    private val events = ArrayDeque<Event>()

    /** Appends an event; the oldest one is dropped when the ring is full. */
    fun add(code: EventCode, message: String, subject: EventSubject = EventSubject()) {
        synchronized(events) {
            val time = clock.tick()
            if (events.size == capacity) events.removeFirst()
            events.addLast(
                Event(
                    time.wallMillis,
                    time.counter,
                    vm,
                    code.number,
                    message,
                    subject.revision,
                    subject.release,
                    subject.requestId
                )
            )
        }
    }

    /** All events held, oldest first. */
    fun snapshot(): List<Event> = synchronized(events) { events.toList() }
}

/** Merges the time lines of several processes in the order of their clocks. */
fun mergeTimelines(timelines: List<List<Event>>): List<Event> =
    timelines.flatten().sortedWith(compareBy({ it.wallMillis }, { it.counter }, { it.vm.value }))
