/*
 * Holds the lease for duties at an entry: makes the calls to the store that LeaseStateMachine
 * decides on.
 */
package org.toucanspur.daemon.duties

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.toucanspur.core.duties.DutyLease
import org.toucanspur.core.duties.DutyPermit
import org.toucanspur.core.duties.DutyRecord
import org.toucanspur.core.duties.LEASE_OBJECT
import org.toucanspur.core.duties.LeaseAction
import org.toucanspur.core.duties.LeaseObject
import org.toucanspur.core.duties.LeaseStateMachine
import org.toucanspur.core.duties.decodeLease
import org.toucanspur.core.duties.encodeLease
import org.toucanspur.core.gateway.ClockPair
import org.toucanspur.core.platform.ConditionalStore
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.core.platform.StoredObject
import org.toucanspur.core.platform.WriteReply

/**
 * The lease as [machine] decides; confined to the event loop. [timeOfDayMillis] is the best known
 * time of day.
 */
class DutyLeaseHolder(
    private val store: ConditionalStore,
    private val clocks: ClockPair,
    private val machine: LeaseStateMachine,
    var timeOfDayMillis: () -> Long = { clocks.now().wallMillis }
) : DutyLease {
    private class RecordWrite(val record: DutyRecord) {
        val isConfirmed = CompletableDeferred<Boolean>()
    }

    private val recordWrites = Mutex()
    private var recordWrite: RecordWrite? = null
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)

    override val record: DutyRecord? get() = machine.record

    override val recordGapUntilMillis: Long get() = machine.gapUntilMillis

    override fun permit(neededMillis: Long): DutyPermit? =
        machine.permit(neededMillis, clocks.now())

    /** Time for which [permit] is still valid; not positive if it is not. */
    fun validMillis(permit: DutyPermit): Long =
        permit(1)?.takeIf { it.fencing == permit.fencing }?.validMillis ?: 0

    override suspend fun store(record: DutyRecord): Boolean = recordWrites.withLock {
        val write = RecordWrite(record)
        recordWrite = write
        wakeUps.trySend(Unit)
        try {
            write.isConfirmed.await()
        } finally {
            recordWrite = null
        }
    }

    /** Lets the lease expire; this process does not acquire it again. */
    fun stop() {
        machine.stop()
        wakeUps.trySend(Unit)
    }

    /** Keeps the lease or tries to acquire it, for ever. */
    suspend fun run() {
        while (true) step()
    }

    private suspend fun step() {
        val now = clocks.now()
        val write = recordWrite
        if (write != null && !machine.isHeld(now)) write.isConfirmed.complete(false)
        val newRecord = write?.record?.takeUnless { write.isConfirmed.isCompleted }
        when (val action = machine.next(now, timeOfDayMillis(), newRecord)) {
            is LeaseAction.Wait -> withTimeoutOrNull(action.millis) { wakeUps.receive() }
            is LeaseAction.Read -> read(action)
            is LeaseAction.Write -> {
                val isConfirmed = write(action)
                if (newRecord != null && action.content.record === newRecord) {
                    write.isConfirmed.complete(isConfirmed && machine.isHeld(clocks.now()))
                }
            }
        }
    }

    private suspend fun read(action: LeaseAction.Read) {
        val reading = store.read(ObjectKind.DUTIES, LEASE_OBJECT, action.isStaleAllowed)
            .getOrElse { return machine.onFailure(clocks.now()) }
        val found = reading.stored?.let(::decode) ?: LeaseObject.Absent
        machine.onRead(found, reading.era, clocks.now())
    }

    // Returns whether the write is confirmed.
    private suspend fun write(action: LeaseAction.Write): Boolean {
        val content = encodeLease(action.content)
        val reply =
            store.write(ObjectKind.DUTIES, LEASE_OBJECT, content, action.expectedRevision)
                .getOrElse {
                    machine.onFailure(clocks.now())
                    return false
                }
        return when (reply) {
            is WriteReply.Written ->
                machine.onWritten(action, reply.revision, reply.era, clocks.now())
            is WriteReply.Conflict -> {
                machine.onConflict(reply.current?.let(::decode), reply.era, clocks.now())
                false
            }
        }
    }

    private fun decode(stored: StoredObject) = decodeLease(stored.revision, stored.text)
}
