/*
 * Event timeline of one process: a ring buffer of events with timestamps of a hybrid logical clock.
 * Merged events of several processes follow the order of their messages. Messages carry only the
 * milliseconds of the clock, so events within one millisecond may be in any order.
 */
package org.toucanspur.core.events

import org.toucanspur.schema.Event
import org.toucanspur.schema.ReleaseDigest
import org.toucanspur.schema.RequestId
import org.toucanspur.schema.Revision
import org.toucanspur.schema.VmId

/** Timestamp of a hybrid logical clock. */
data class HybridTime(val wallMillis: Long, val counter: Int) : Comparable<HybridTime> {
    override fun compareTo(other: HybridTime): Int =
        compareValuesBy(this, other, HybridTime::wallMillis, HybridTime::counter)
}

/** Hybrid logical clock based on [wallMillis]; its timestamps never decrease. */
class HybridClock(private val wallMillis: () -> Long) {
    private var last = HybridTime(0, 0)

    /** Returns the timestamp of a new local event. */
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

    /** Advances the clock to the timestamp of a message from a peer, if that is later. */
    @Synchronized
    fun observe(peerWallMillis: Long) {
        if (peerWallMillis > last.wallMillis) last = HybridTime(peerWallMillis, 0)
    }
}

/** Objects that an event refers to; all are optional. */
data class EventSubject(
    val revision: Revision? = null,
    val release: ReleaseDigest? = null,
    val requestId: RequestId? = null
)

/** Ring buffer of the latest [capacity] events of one process. Thread-safe. */
class EventRing(private val vm: VmId, private val capacity: Int, val clock: HybridClock) {
    private val events = ArrayDeque<Event>()

    /** Appends an event; a full buffer drops the oldest one. */
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

    /** Returns all buffered events, oldest first. */
    fun snapshot(): List<Event> = synchronized(events) { events.toList() }
}

/** Merges the timelines of several processes in the order of their timestamps. */
fun mergeTimelines(timelines: List<List<Event>>): List<Event> =
    timelines.flatten().sortedWith(compareBy({ it.wallMillis }, { it.counter }, { it.vm.value }))
