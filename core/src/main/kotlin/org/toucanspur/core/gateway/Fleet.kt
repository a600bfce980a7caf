/*
 * The endpoints as one entry knows them: what the platform's store lists, what their agents
 * report, and what the entry itself has sent and seen fail. Not safe for use by several threads.
 */
package org.toucanspur.core.gateway

import kotlin.math.exp
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.LoadReport
import org.toucanspur.schema.ModelId
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.ZoneId

/** An endpoint as the platform's store lists it. */
data class EndpointRecord(
    val id: EndpointId,
    val service: ServiceId,
    val host: String,
    val port: Int,
    val zone: ZoneId,
    val region: RegionId?,
    val slots: Int,
    /** False once the endpoint is leaving. */
    val isReady: Boolean,
    val coldRemainingMillis: Long,
    /** Weight version of each model that is loaded. */
    val loadedVersions: Map<ModelId, Long>,
    /** Start of the endpoint's present life. */
    val startedAtMillis: Long
)

/** What a call to an endpoint showed about it. */
enum class EndpointSign {
    /** A good answer began. */
    ANSWERED,

    /** The endpoint said that it is full and did not run the request. */
    FULL,

    /** No connection, a broken answer, or an answer that is none. */
    BROKEN,

    /** The endpoint answered with an error of its own. */
    ERROR,

    /** Another endpoint has the address. */
    REPLACED
}

/** One endpoint; counts are of this entry only unless they come from a report. */
class FleetEndpoint(record: EndpointRecord, val firstSeenMillis: Long) {
    /** The latest listing. */
    var record: EndpointRecord = record
        private set

    /** Requests of this entry that have not ended. */
    var ownInFlight = 0
        private set

    private var report: LoadReport? = null
    private var reportMillis = 0L
    private var ownChangeSinceReport = 0
    private var dealtPlaces = 0
    private var coldUntilMillis = firstSeenMillis + record.coldRemainingMillis
    private val coldSends = SlidingCount(COLD_WINDOW_MILLIS)
    private var failureScore = 0.0
    private var failureMillis = firstSeenMillis
    private var brokenInARow = 0
    private var avoidUntilMillis = 0L
    private var isReplaced = false

    /** Whether a later endpoint is listed at the same address. */
    var isSuperseded = false
        internal set

    /** Adopts a newer listing. */
    fun update(changed: EndpointRecord, nowMillis: Long) {
        if (changed.coldRemainingMillis > 0) {
            coldUntilMillis = maxOf(coldUntilMillis, nowMillis + changed.coldRemainingMillis)
        }
        if (changed.startedAtMillis != record.startedAtMillis) isReplaced = false
        record = changed
    }

    /** Adopts a report of the endpoint's agent; older ones are ignored. */
    fun onReport(changed: LoadReport, nowMillis: Long) {
        val current = report
        val isOlder = current != null &&
            current.vm == changed.vm &&
            nowMillis - reportMillis < freshMillis(current) &&
            changed.sequence <= current.sequence
        if (isOlder) return
        report = changed
        reportMillis = nowMillis
        ownChangeSinceReport = 0
        dealtPlaces = dealtPlaces(changed, record.slots)
    }

    /**
     * Places that this entry may fill without others filling the same: its part of those that were
     * free at the last report, and those that its own requests have left since.
     */
    fun ownPlaces(nowMillis: Long): Int =
        if (freshReport(nowMillis) == null) 0 else dealtPlaces - ownChangeSinceReport

    /** The report, while it is fresh enough to act on. */
    fun freshReport(nowMillis: Long): LoadReport? =
        report?.takeIf { nowMillis - reportMillis < freshMillis(it) }

    private fun freshMillis(report: LoadReport): Long =
        maxOf(REPORT_FRESH_MILLIS, report.periodMillis * PERIODS_FRESH)

    /** Age of the last report, or -1 without one. */
    fun reportAgeMillis(nowMillis: Long): Long = if (report ==
        null
    ) {
        -1
    } else {
        nowMillis - reportMillis
    }

    /** Requests at the endpoint, of all [entries] entries. */
    fun occupancy(nowMillis: Long, entries: Int): Int {
        val fresh = freshReport(nowMillis) ?: return ownInFlight * maxOf(1, entries)
        val reported = fresh.running + fresh.waiting
        return maxOf(ownInFlight, reported + ownChangeSinceReport)
    }

    /** Weight version that the endpoint serves; 0 for none, null when it has no weights. */
    fun loadedVersion(nowMillis: Long): Long? {
        val fresh = freshReport(nowMillis)
        if (fresh != null) return fresh.loadedVersion
        return record.loadedVersions.values.maxOrNull()
    }

    /** Notes that a request is sent. */
    fun onSend(nowMillis: Long) {
        ownInFlight++
        ownChangeSinceReport++
        coldSends.add(nowMillis)
    }

    /** Notes that a request has ended. */
    fun onEnd() {
        ownInFlight--
        ownChangeSinceReport--
    }

    /** Whether a cold endpoint, which bears [ratePerSecond] from all entries, may get one more. */
    fun mayTakeCold(ratePerSecond: Double, entries: Int, nowMillis: Long): Boolean {
        if (ratePerSecond <= 0 || nowMillis >= coldUntilMillis + COLD_SLACK_MILLIS) return true
        return coldSends.count(nowMillis) + 1 <= maxOf(1.0, ratePerSecond / maxOf(1, entries))
    }

    /** Notes what a call showed. */
    fun onSign(sign: EndpointSign, nowMillis: Long) {
        val weight = when (sign) {
            EndpointSign.ANSWERED -> 0.0
            EndpointSign.FULL -> FULL_WEIGHT
            else -> 1.0
        }
        failureScore = score(nowMillis) * (1 - SIGN_SHARE) + weight * SIGN_SHARE
        failureMillis = nowMillis
        when (sign) {
            EndpointSign.ANSWERED -> brokenInARow = 0
            EndpointSign.BROKEN -> {
                val shift = minOf(brokenInARow++, BACKOFF_SHIFT_MAX)
                avoidUntilMillis = nowMillis + (BACKOFF_MILLIS shl shift)
            }
            EndpointSign.FULL -> avoidUntilMillis = maxOf(avoidUntilMillis, nowMillis + FULL_MILLIS)
            EndpointSign.REPLACED -> isReplaced = true
            EndpointSign.ERROR -> Unit
        }
    }

    /** Share of recent calls that failed, which fades within seconds. */
    fun score(nowMillis: Long): Double =
        failureScore * exp(-(nowMillis - failureMillis) / SCORE_FADE_MILLIS)

    /** Whether the endpoint is left alone for now because calls to it broke. */
    fun isAvoided(nowMillis: Long): Boolean = nowMillis < avoidUntilMillis || isReplaced

    /** Whether the endpoint's agent says that it takes nothing new. */
    fun isPaused(nowMillis: Long): Boolean = freshReport(nowMillis)?.isLoading == true

    /** Time until the load of weights that the endpoint's agent plans; null when none is known. */
    fun nextLoadMillis(nowMillis: Long): Long? =
        freshReport(nowMillis)?.nextLoadMillis?.takeIf { it >= 0 }
            ?.let { maxOf(0, reportMillis + it - nowMillis) }

    private companion object {
        // Reports are datagrams, of which some may be lost.
        const val PERIODS_FRESH = 4
        const val REPORT_FRESH_MILLIS = 500L
        const val COLD_WINDOW_MILLIS = 1000L

        // The listing gives the remaining time with the delay of one heartbeat.
        const val COLD_SLACK_MILLIS = 1500L
        const val SIGN_SHARE = 0.2
        const val FULL_WEIGHT = 0.3
        const val SCORE_FADE_MILLIS = 4000.0
        const val BACKOFF_MILLIS = 200L
        const val BACKOFF_SHIFT_MAX = 4
        const val FULL_MILLIS = 60L
    }
}

// Deals the free places of an endpoint to the entries in turn, beginning with another one at each
// report, so that each free place has one entry that fills it.
private fun dealtPlaces(report: LoadReport, slots: Int): Int {
    val free = maxOf(0, slots - report.running - report.waiting)
    val entries = maxOf(1, report.entries)
    val turn = Math.floorMod(report.entryIndex - report.sequence, entries.toLong()).toInt()
    return free / entries + if (turn < free % entries) 1 else 0
}

/** All endpoints by id. */
class Fleet(private val missingGraceMillis: Long = MISSING_GRACE_MILLIS) {
    private val endpoints = LinkedHashMap<EndpointId, FleetEndpoint>()
    private val byService = HashMap<ServiceId, MutableList<FleetEndpoint>>()
    private val missingSince = HashMap<EndpointId, Long>()
    private var storeReturnMillis = -1L

    /** Endpoints of [service], also leaving ones. */
    fun of(service: ServiceId): List<FleetEndpoint> = byService[service].orEmpty()

    /** The endpoint with [id]. */
    fun find(id: EndpointId): FleetEndpoint? = endpoints[id]

    /** All endpoints. */
    fun all(): Collection<FleetEndpoint> = endpoints.values

    /** Notes that the store answers again after an outage. */
    fun onStoreReturn(nowMillis: Long) {
        storeReturnMillis = nowMillis
    }

    /** Adds or changes a listed endpoint. */
    fun put(record: EndpointRecord, nowMillis: Long) {
        missingSince.remove(record.id)
        val known = endpoints[record.id]
        if (known != null && known.record.service == record.service) {
            known.update(record, nowMillis)
            supersede(known)
            return
        }
        if (known != null) drop(record.id)
        val endpoint = FleetEndpoint(record, nowMillis)
        endpoints[record.id] = endpoint
        byService.getOrPut(record.service) { mutableListOf() } += endpoint
        supersede(endpoint)
    }

    // After a loss of power the entries of former lives stay listed for some heartbeats.
    private fun supersede(added: FleetEndpoint) {
        val sameAddress = endpoints.values.filter {
            it.record.host == added.record.host && it.record.port == added.record.port
        }
        val newest = sameAddress.maxOf { it.record.startedAtMillis }
        sameAddress.forEach { it.isSuperseded = it.record.startedAtMillis < newest }
    }

    /**
     * Notes that an endpoint is no longer listed. Right after an outage of the store its entry may
     * have lapsed although it lives, so it stays usable until its entry should be back.
     */
    fun remove(id: EndpointId, nowMillis: Long) {
        if (id !in endpoints) return
        val isAfterOutage =
            storeReturnMillis >= 0 && nowMillis - storeReturnMillis < missingGraceMillis
        if (isAfterOutage) missingSince[id] = nowMillis else drop(id)
    }

    /** Adopts a complete listing: what is not in it is removed. */
    fun replaceAll(records: List<EndpointRecord>, nowMillis: Long) {
        val listed = records.map { it.id }.toSet()
        endpoints.keys.filter { it !in listed }.forEach { remove(it, nowMillis) }
        records.forEach { put(it, nowMillis) }
    }

    /** Drops endpoints whose entries have not come back; returns them. */
    fun expire(nowMillis: Long): List<EndpointId> {
        val due = storeReturnMillis + missingGraceMillis
        if (missingSince.isEmpty() || nowMillis < due) return emptyList()
        val gone = missingSince.keys.toList()
        gone.forEach(::drop)
        missingSince.clear()
        return gone
    }

    private fun drop(id: EndpointId) {
        val endpoint = endpoints.remove(id) ?: return
        byService[endpoint.record.service]?.remove(endpoint)
    }

    private companion object {
        // Entries that lapsed in an outage are back within about two seconds.
        const val MISSING_GRACE_MILLIS = 2000L
    }
}
