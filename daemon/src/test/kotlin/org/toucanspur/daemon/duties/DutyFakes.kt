package org.toucanspur.daemon.duties

import kotlinx.coroutines.delay
import org.toucanspur.core.duties.DutyApi
import org.toucanspur.core.duties.DutyLease
import org.toucanspur.core.duties.DutyPermit
import org.toucanspur.core.duties.DutyRecord
import org.toucanspur.core.duties.DutyReply
import org.toucanspur.core.gateway.ClockPair
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.schema.FencingNumber
import org.toucanspur.schema.OrganisationId
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.VmId
import org.toucanspur.schema.ZoneId

/** Both clocks, set by a test. */
class FakeClocks(var millis: Long) : ClockPair {
    override fun now() = ClockReading(millis, millis)
}

/** The lease object, with the VM that holds the lease. */
class FakeLeaseObject(var record: DutyRecord = DutyRecord(), var holder: String? = null) {
    var fencing = 1L
    val stored = ArrayList<DutyRecord>()

    /** Whether writes are executed while their responses are lost. */
    var losesResponses = false

    fun takeOver(vm: String) {
        holder = vm
        fencing++
    }
}

/** The lease as [vm] sees it. */
class FakeLease(private val vm: String, private val stored: FakeLeaseObject) : DutyLease {
    private val isHeld get() = stored.holder == vm

    override fun permit(neededMillis: Long): DutyPermit? =
        if (isHeld) DutyPermit(VmId(vm), FencingNumber(stored.fencing), neededMillis) else null

    private var knownFencing = 0L
    private var confirmed: DutyRecord? = null

    /** As read at the take-over, or of the last confirmed write. */
    override val record: DutyRecord?
        get() {
            if (isHeld && knownFencing != stored.fencing) {
                knownFencing = stored.fencing
                confirmed = stored.record
            }
            return confirmed
        }

    override suspend fun store(record: DutyRecord): Boolean {
        if (!isHeld) return false
        stored.record = record
        stored.stored += record
        if (stored.losesResponses) return false
        confirmed = record
        return true
    }
}

/** The operations API, which gives the next one of [replies], and ACCEPTED after the last. */
class FakeDutyApi(
    private val replies: ArrayDeque<DutyReply> = ArrayDeque(),
    private val delayMillis: Long = 0
) : DutyApi {
    val reports = ArrayList<Triple<Long, Long, Map<OrganisationId, Long>>>()
    val orders = ArrayList<Triple<ServiceId, ZoneId, Int>>()

    override suspend fun reportUsage(
        permit: DutyPermit,
        window: Long,
        counts: Map<OrganisationId, Long>
    ): DutyReply {
        reports += Triple(permit.fencing.value, window, counts)
        delay(delayMillis)
        return replies.removeFirstOrNull() ?: DutyReply.ACCEPTED
    }

    override suspend fun orderEndpoints(
        permit: DutyPermit,
        service: ServiceId,
        zone: ZoneId,
        count: Int
    ): DutyReply {
        orders += Triple(service, zone, count)
        return replies.removeFirstOrNull() ?: DutyReply.ACCEPTED
    }
}
