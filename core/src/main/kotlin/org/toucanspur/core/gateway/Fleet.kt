/*
 * The endpoints known to one entry process: the endpoint records in the platform's store, the load
 * reports of the agents, and this entry's own in-flight requests and observed failures.
 * Not thread-safe.
 */
package org.toucanspur.core.gateway

import kotlin.math.exp
import kotlin.math.roundToInt
import kotlin.random.Random
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.EndpointLimit
import org.toucanspur.schema.LoadReport
import org.toucanspur.schema.ModelId
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.ZoneId

/** Listing of an endpoint in the platform's store. */
data class EndpointRecord(
    val id: EndpointId,
    val service: ServiceId,
    val host: String,
    val port: Int,
    val zone: ZoneId,
    val region: RegionId?,
    val slots: Int,
    /** False once the endpoint is draining. */
    val isReady: Boolean,
    val coldRemainingMillis: Long,
    /** Loaded weight version per model. */
    val loadedVersions: Map<ModelId, Long>,
    /** Start time of the endpoint's current incarnation. */
    val startedAtMillis: Long
)

/** Health signal that a call gives about an endpoint; [isResponse] if the endpoint responded. */
enum class EndpointSignal(val isResponse: Boolean) {
    /** A successful response started. */
    SUCCEEDED(true),

    /** The endpoint refused the request for lack of capacity and did not execute it. */
    OVERLOADED(true),

    /** The connection failed, or the response stalled, broke off or was invalid. */
    TRANSPORT_FAILURE(false),

    /** The endpoint returned a server error. */
    SERVER_ERROR(true),

    /** A different endpoint now uses the address. */
    ADDRESS_REUSED(false),

    /** The endpoint refused the expected weight version, or a different one uses the address. */
    OTHER_VERSION(false)
}

/** State of one endpoint. Counts cover this entry only, unless they come from a load report. */
class FleetEndpoint(
    record: EndpointRecord,
    val firstSeenMillis: Long,
    random: Random = Random.Default,
    serviceTimes: ServiceTimes = ServiceTimes(),
    private val serviceArrivals: ServiceArrivals = ServiceArrivals()
) {
    /** Usual times of the endpoint's service. */
    val usualTimes: ServiceTimes = serviceTimes

    /** Learned speed of the endpoint. */
    val times = EndpointTimes(serviceTimes)

    /** Requests of this entry and, as far as it expects them, of the others. */
    val arrivals = EndpointArrivals()

    /** The latest endpoint record. */
    var record: EndpointRecord = record
        private set

    /** Requests of this entry in flight at the endpoint. */
    var ownInFlight = 0
        private set

    private var report: LoadReport? = null
    private var reportReceivedMillis = 0L
    private var inFlightChangeSinceReport = 0
    private var allottedFreeSlots = 0
    private var coldUntilMillis = firstSeenMillis + record.coldRemainingMillis
    private val rateLimit = EndpointRateLimit(random)
    private val requestedBackoff = RequestedBackoff()
    private val recentAttempts = SlidingWindowCounter(COLD_WINDOW_MILLIS)
    private var failureScore = 0.0
    private var scoreUpdatedMillis = firstSeenMillis
    private var consecutiveTransportFailures = 0
    private var backoffUntilMillis = 0L
    private var isAddressReused = false
    private var slowPathUntilMillis = 0L
    private var unresponsiveMillis = Long.MIN_VALUE
    private var connectionRefusedMillis = Long.MIN_VALUE
    private var respondedMillis = Long.MIN_VALUE
    private var heardMillis = Long.MIN_VALUE

    /** Whether a more recently started endpoint is listed at the same address. */
    var isSuperseded = false
        internal set

    /** Whether the current run of the endpoint has said that it is leaving. */
    var isLeaving = false
        private set

    /** Whether the endpoint takes new requests, by its record and by its own responses. */
    val isAccepting: Boolean get() = record.isReady && !isLeaving

    /** Applies a newer endpoint record. */
    fun update(changed: EndpointRecord, nowMillis: Long) {
        if (changed.coldRemainingMillis > 0) {
            coldUntilMillis = maxOf(coldUntilMillis, nowMillis + changed.coldRemainingMillis)
        }
        if (changed.startedAtMillis != record.startedAtMillis) {
            isAddressReused = false
            slowPathUntilMillis = 0
            rateLimit.reset()
            requestedBackoff.reset()
            times.reset()
            isLeaving = false
        }
        record = changed
    }

    /** Applies a load report from the endpoint's agent. Outdated reports are ignored. */
    fun onReport(changed: LoadReport, nowMillis: Long) {
        val current = report
        val isOlder = current != null &&
            current.vm == changed.vm &&
            nowMillis - reportReceivedMillis < freshnessMillis(current) &&
            changed.sequence <= current.sequence
        if (isOlder) return
        report = changed
        reportReceivedMillis = nowMillis
        if (!changed.isResponding) unresponsiveMillis = nowMillis
        inFlightChangeSinceReport = 0
        allottedFreeSlots = allottedFreeSlots(changed, record.slots)
    }

    /**
     * Free slots that this entry may fill without competing with other entries: its share of the
     * slots that were free at the last report, plus those released by its own requests since.
     */
    fun ownFreeSlots(nowMillis: Long): Int =
        if (freshReport(nowMillis) == null) 0 else allottedFreeSlots - inFlightChangeSinceReport

    /** The last load report, or null when there is none or it is too old to use. */
    fun freshReport(nowMillis: Long): LoadReport? =
        report?.takeIf { nowMillis - reportReceivedMillis < freshnessMillis(it) }

    private fun freshnessMillis(report: LoadReport): Long =
        maxOf(REPORT_FRESHNESS_MIN_MILLIS, report.periodMillis * FRESH_REPORT_PERIODS)

    /** Age of the last load report, or -1 when there is none. */
    fun reportAgeMillis(nowMillis: Long): Long = if (report ==
        null
    ) {
        -1
    } else {
        nowMillis - reportReceivedMillis
    }

    /**
     * Estimated number of requests at the endpoint from all [entryCount] entries. A report that is
     * no longer fresh still shows the least number until the endpoint counts as silent.
     */
    fun occupancy(nowMillis: Long, entryCount: Int): Int {
        val fresh = freshReport(nowMillis)
        val reported = (fresh ?: report?.takeIf { nowMillis < silentFromMillis(it) })
            ?.let { it.running + it.waiting + inFlightChangeSinceReport } ?: 0
        val own = if (fresh == null) ownInFlight * maxOf(1, entryCount) else ownInFlight
        return maxOf(own, reported)
    }

    /**
     * Expected number of requests at an endpoint of a service without an engine. It has no agent
     * that reports, so the other entries are assumed to have as many there as this one has on
     * average. The present number of this entry, multiplied, would show one request as many.
     */
    fun plainOccupancy(nowMillis: Long, entryCount: Int): Double {
        if (report != null || entryCount < SHARING_ENTRIES_MIN) {
            return occupancy(nowMillis, entryCount).toDouble()
        }
        return ownInFlight + (entryCount - 1) * meanOwn(nowMillis)
    }

    /**
     * Like [plainOccupancy], to compare endpoints. Others are assumed to have half of the present
     * number of this entry and half of its average: without the former, the entries spread
     * their requests less evenly, and endpoints that slow down at three requests get more of them.
     */
    fun spreadOccupancy(nowMillis: Long, entryCount: Int): Double {
        if (report != null || entryCount < SHARING_ENTRIES_MIN) {
            return occupancy(nowMillis, entryCount).toDouble()
        }
        return ownInFlight + (entryCount - 1) * (ownInFlight + meanOwn(nowMillis)) / 2
    }

    private fun meanOwn(nowMillis: Long): Double =
        arrivals.meanOwn(usualTimes.callMillis * times.slowdown(nowMillis), nowMillis)

    /** Estimated number of requests at the endpoint, which belongs to [service]. */
    fun concurrency(service: TrafficService, nowMillis: Long, entryCount: Int): Int =
        if (service.engine == null) {
            plainOccupancy(nowMillis, entryCount).roundToInt()
        } else {
            occupancy(nowMillis, entryCount)
        }

    /**
     * Expected number of requests at an engine whose last report is fresh, including what other
     * entries have sent since; null without such a report.
     */
    fun expectedOccupancy(engine: EngineTiming, nowMillis: Long): Double? {
        val fresh = freshReport(nowMillis) ?: return null
        return arrivals.expectedRequests(
            fresh.running + fresh.waiting,
            ownInFlight,
            nowMillis - reportReceivedMillis + ENGINE_REPORT_AGE_MILLIS,
            responseMillis(engine, minOf(fresh.running, engine.slots)),
            nowMillis
        )
    }

    /** Whether the endpoint has sent data to this entry since [millis]. */
    fun hasSentSince(millis: Long): Boolean = heardMillis >= millis

    /** Records that the endpoint has sent data to this entry. */
    fun onHeard(nowMillis: Long) {
        heardMillis = nowMillis
    }

    /** Whether the agent, which did report, has stopped, and the endpoint sends nothing either. */
    fun isSilent(nowMillis: Long): Boolean =
        report?.let { nowMillis >= silentFromMillis(it) } ?: false

    private fun silentFromMillis(report: LoadReport): Long =
        maxOf(reportReceivedMillis, heardMillis) + freshnessMillis(report) * 2

    /** Weight version that the endpoint serves; 0 when it reports none, null when it lists none. */
    fun loadedVersion(nowMillis: Long): Long? {
        val fresh = freshReport(nowMillis)
        if (fresh != null) return fresh.loadedVersion
        return record.loadedVersions.values.maxOrNull()
    }

    /** Records that a request is sent to the endpoint. */
    fun onAttempt(nowMillis: Long) {
        ownInFlight++
        inFlightChangeSinceReport++
        recentAttempts.add(nowMillis)
        arrivals.onSend(nowMillis)
        serviceArrivals.onSend(nowMillis)
        rateLimit.onSend(nowMillis)
    }

    /** Requests a second that the endpoint takes from all entries together; null for any. */
    val limitPerSecond: Double? get() = rateLimit.perSecond

    /** Applies the limit [named] in the response to a request sent at [sentMillis]. */
    fun onNamedLimit(named: NamedLimit, sentMillis: Long, nowMillis: Long) =
        rateLimit.onNamed(named, sentMillis, nowMillis)

    /** Records that the endpoint has said that it is leaving. */
    fun onLeaving() {
        isLeaving = true
    }

    /** Records that the endpoint wants no requests from this entry for [backoffMillis]. */
    fun onBackoffRequested(backoffMillis: Long, nowMillis: Long) =
        requestedBackoff.onRefused(backoffMillis, nowMillis)

    /** Time for which the endpoint still wants no requests from this entry. */
    fun requestedBackoffMillis(nowMillis: Long): Long = requestedBackoff.remainingMillis(nowMillis)

    /** Applies the limit [reported] by another entry. */
    fun onReportedLimit(reported: EndpointLimit, nowMillis: Long) = rateLimit.onReported(
        (reported.milliPerSecond / MILLIS_PER_SECOND).takeIf { it >= 0 },
        nowMillis - reported.ageMillis,
        nowMillis
    )

    /** The limit as the other entries should learn it; null if there is nothing to learn. */
    fun limit(nowMillis: Long): EndpointLimit? {
        val perSecond = limitPerSecond
        if (perSecond == null && !rateLimit.isNewlyLifted(nowMillis)) return null
        return EndpointLimit(
            record.id,
            record.startedAtMillis,
            perSecond?.let { (it * MILLIS_PER_SECOND).toLong() } ?: -1,
            rateLimit.observedMillis?.let { nowMillis - it } ?: 0
        )
    }

    /** Time until what the endpoint asks for lets one of [entryCount] entries send; 0 for now. */
    fun opensInMillis(entryCount: Int, nowMillis: Long): Long =
        maxOf(rateLimit.opensInMillis(entryCount, nowMillis), requestedBackoffMillis(nowMillis))

    /** Records that a request to the endpoint has ended. */
    fun onEnd() {
        ownInFlight--
        inFlightChangeSinceReport--
    }

    /**
     * Whether one more request stays within [ratePerSecond], the limit for a cold endpoint across
     * all [entryCount] entries. Always true once the endpoint is warm.
     */
    fun isWithinColdRate(ratePerSecond: Double, entryCount: Int, nowMillis: Long): Boolean {
        if (ratePerSecond <= 0 || nowMillis >= coldUntilMillis + COLD_SLACK_MILLIS) return true
        return recentAttempts.count(nowMillis) + 1 <=
            maxOf(1.0, ratePerSecond / maxOf(1, entryCount))
    }

    /** Updates the failure score and the backoff from the outcome of a call. */
    fun onSignal(signal: EndpointSignal, nowMillis: Long) {
        val weight = when (signal) {
            EndpointSignal.SUCCEEDED -> 0.0
            EndpointSignal.OVERLOADED -> OVERLOAD_SCORE
            else -> 1.0
        }
        failureScore = score(nowMillis) * (1 - SIGNAL_WEIGHT) + weight * SIGNAL_WEIGHT
        scoreUpdatedMillis = nowMillis
        if (signal.isResponse) respondedMillis = nowMillis
        when (signal) {
            EndpointSignal.SUCCEEDED -> consecutiveTransportFailures = 0
            EndpointSignal.TRANSPORT_FAILURE, EndpointSignal.OTHER_VERSION -> {
                val shift = minOf(consecutiveTransportFailures++, BACKOFF_SHIFT_MAX)
                backoffUntilMillis = nowMillis + (BACKOFF_MILLIS shl shift)
            }
            EndpointSignal.OVERLOADED ->
                backoffUntilMillis =
                    maxOf(backoffUntilMillis, nowMillis + OVERLOAD_BACKOFF_MILLIS)
            EndpointSignal.ADDRESS_REUSED -> isAddressReused = true
            EndpointSignal.SERVER_ERROR -> Unit
        }
    }

    /** Records that nothing listens at the endpoint's address. */
    fun onConnectionRefused(nowMillis: Long) {
        connectionRefusedMillis = nowMillis
    }

    /** Whether the endpoint was down at about [lostMillis], as its agent or this entry observed. */
    fun wasDownAt(lostMillis: Long): Boolean {
        val isUnresponsive = unresponsiveMillis in
            lostMillis - CRASH_SLACK_MILLIS..lostMillis + UNRESPONSIVE_DELAY_MILLIS
        // An endpoint that refuses connections for lack of capacity still responds on others.
        val isClosed = connectionRefusedMillis >= lostMillis && respondedMillis < lostMillis
        return isUnresponsive || isClosed
    }

    /** Records that a request got no response in time, or that it could not be sent. */
    fun onSlowPath(nowMillis: Long) {
        slowPathUntilMillis = nowMillis + SLOW_PATH_MILLIS
    }

    /** Whether requests may recently have taken seconds to reach the endpoint and to start. */
    fun hasSlowPath(nowMillis: Long): Boolean = nowMillis < slowPathUntilMillis

    /** Moving average of recent failures, which decays within seconds. */
    fun score(nowMillis: Long): Double =
        failureScore * exp(-(nowMillis - scoreUpdatedMillis) / SCORE_DECAY_MILLIS)

    /** Whether the endpoint gets no requests, because it backs off or its address was reused. */
    fun isExcluded(nowMillis: Long): Boolean = nowMillis < backoffUntilMillis || isAddressReused

    /** Whether the endpoint's agent reports a weight load, during which it accepts no requests. */
    fun isPaused(nowMillis: Long): Boolean = freshReport(nowMillis)?.isLoading == true

    /** Time until the next weight load planned by the endpoint's agent; null when none is known. */
    fun nextLoadMillis(nowMillis: Long): Long? =
        freshReport(nowMillis)?.nextLoadMillis?.takeIf { it >= 0 }
            ?.let { maxOf(0, reportReceivedMillis + it - nowMillis) }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        // Load reports are datagrams, so some may be lost.
        const val FRESH_REPORT_PERIODS = 4
        const val REPORT_FRESHNESS_MIN_MILLIS = 500L
        const val COLD_WINDOW_MILLIS = 1000L

        // The remaining cold time in the endpoint record is late by up to one heartbeat.
        const val COLD_SLACK_MILLIS = 1500L
        const val SIGNAL_WEIGHT = 0.2
        const val OVERLOAD_SCORE = 0.3
        const val SCORE_DECAY_MILLIS = 4000.0
        const val BACKOFF_MILLIS = 200L
        const val BACKOFF_SHIFT_MAX = 4
        const val OVERLOAD_BACKOFF_MILLIS = 60L
        const val SLOW_PATH_MILLIS = 8000L

        // The agent may notice that its endpoint is down before the entry sees a reset.
        const val CRASH_SLACK_MILLIS = 500L

        // Reports of an agent are datagrams, some of which are lost.
        const val UNRESPONSIVE_DELAY_MILLIS = 3000L
    }
}

// Divides the free slots of an endpoint among the entries round robin, starting at a different
// entry for each report, so that exactly one entry may fill each free slot.
private fun allottedFreeSlots(report: LoadReport, slots: Int): Int {
    val free = maxOf(0, slots - report.running - report.waiting)
    val entryCount = maxOf(1, report.entries)
    val turn = Math.floorMod(report.entryIndex - report.sequence, entryCount.toLong()).toInt()
    return free / entryCount + if (turn < free % entryCount) 1 else 0
}

/** All endpoints by id. */
class Fleet(
    private val stabilityMillis: Long = STABILITY_MILLIS,
    private val random: Random = Random.Default,
    private val isLearning: Boolean = true
) {
    private val serviceTimes = HashMap<ServiceId, ServiceTimes>()
    private val serviceArrivals = HashMap<ServiceId, ServiceArrivals>()
    private val endpoints = LinkedHashMap<EndpointId, FleetEndpoint>()
    private val byService = HashMap<ServiceId, MutableList<FleetEndpoint>>()
    private val byHost = HashMap<String, MutableList<FleetEndpoint>>()
    private val unlistedUntilMillis = HashMap<EndpointId, Long>()
    private val dropped = HashMap<EndpointId, DroppedEndpoint>()
    private var keepsUnlistedUntilMillis = Long.MIN_VALUE

    /** Endpoints of [service], including those that are draining. */
    fun of(service: ServiceId): List<FleetEndpoint> = byService[service].orEmpty()

    /** Usual times of the endpoints of [service]. */
    fun usualTimes(service: ServiceId): ServiceTimes =
        serviceTimes.getOrPut(service) { ServiceTimes(isLearning) }

    /** Requests that this entry sends to [service]. */
    fun arrivals(service: ServiceId): ServiceArrivals =
        serviceArrivals.getOrPut(service) { ServiceArrivals() }

    /** Endpoints whose address is on [host]. */
    fun on(host: String): List<FleetEndpoint> = byHost[host].orEmpty()

    /** Returns the endpoint with [id], or null when it is unknown. */
    fun find(id: EndpointId): FleetEndpoint? = endpoints[id]

    /** Whether the endpoint of [attempt] went down at about the time at which it was lost. */
    fun hasCrashed(attempt: LostAttempt): Boolean {
        val known = endpoints[attempt.endpoint.id]
        return known == null ||
            known.isSuperseded ||
            known.record.startedAtMillis != attempt.endpoint.startedAtMillis ||
            known.wasDownAt(attempt.lostMillis)
    }

    /** All endpoints. */
    fun all(): Collection<FleetEndpoint> = endpoints.values

    /**
     * Records that the store is available again after [outage]. A shorter outage than the expiry of
     * an endpoint record removes none, so that it does not keep any endpoint in use. A longer one
     * may have been an outage of this entry only, in which endpoints have left. The bound on their
     * requests applies again once the store has been available for the stability time.
     */
    fun onStoreRecovered(outage: StoreOutage) {
        if (outage.lengthMillis > RECORD_EXPIRY_MILLIS) {
            keepsUnlistedUntilMillis = graceEndMillis(outage)
        }
    }

    /**
     * Records that the store has returned from an older copy, which may lack running endpoints,
     * within [outage], whatever its length.
     */
    fun onStoreRestored(outage: StoreOutage) {
        keepsUnlistedUntilMillis = maxOf(keepsUnlistedUntilMillis, graceEndMillis(outage))
    }

    private fun graceEndMillis(outage: StoreOutage): Long = minOf(
        outage.endMillis + UNLISTED_GRACE_MILLIS,
        outage.knownUntilMillis + stabilityMillis - TRANSIT_MILLIS
    )

    /** Adds or updates a listed endpoint. */
    fun put(record: EndpointRecord, nowMillis: Long) {
        unlistedUntilMillis.remove(record.id)
        val known = endpoints[record.id]
        if (known != null && known.record.service == record.service) {
            val previousHost = known.record.host
            known.update(record, nowMillis)
            if (previousHost != record.host) {
                byHost[previousHost]?.remove(known)
                addToHost(known)
            }
            markSuperseded(known)
            return
        }
        if (known != null) drop(record.id, nowMillis)
        val endpoint = recall(record, nowMillis)
            ?: FleetEndpoint(
                record,
                nowMillis,
                random,
                usualTimes(record.service),
                arrivals(record.service)
            )
        endpoints[record.id] = endpoint
        byService.getOrPut(record.service) { mutableListOf() } += endpoint
        addToHost(endpoint)
        markSuperseded(endpoint)
    }

    private fun addToHost(endpoint: FleetEndpoint) {
        byHost.getOrPut(endpoint.record.host) { mutableListOf() } += endpoint
    }

    // The record of an endpoint on a narrow link expires and comes back. What is known about the
    // endpoint, above all its requests in flight, still holds then.
    private fun recall(record: EndpointRecord, nowMillis: Long): FleetEndpoint? {
        dropped.values.removeIf { nowMillis - it.atMillis > DROPPED_KEPT_MILLIS }
        val endpoint = dropped.remove(record.id)?.endpoint ?: return null
        val isSame = endpoint.record.service == record.service &&
            endpoint.record.startedAtMillis == record.startedAtMillis
        if (!isSame) return null
        endpoint.update(record, nowMillis)
        return endpoint
    }

    // After a power loss, previous incarnations remain listed for a few heartbeats.
    private fun markSuperseded(added: FleetEndpoint) {
        val sameAddress = on(added.record.host).filter { it.record.port == added.record.port }
        val newest = sameAddress.maxOf { it.record.startedAtMillis }
        sameAddress.forEach { it.isSuperseded = it.record.startedAtMillis < newest }
    }

    /**
     * Removes an endpoint that is no longer listed. Shortly after a store outage the listing of a
     * running endpoint may have expired, so the endpoint stays usable for the grace period.
     */
    fun remove(id: EndpointId, nowMillis: Long) {
        if (id !in endpoints) return
        val untilMillis = unlistedUntilMillis.getOrPut(id) { keepsUnlistedUntilMillis }
        if (nowMillis >= untilMillis) drop(id, nowMillis)
    }

    /**
     * Applies a complete listing and removes the endpoints that are not in it. If the listing is
     * from an older copy ([isRestored]), a run of an endpoint that is draining stays so, also if
     * its record has been removed since.
     */
    fun replaceAll(records: List<EndpointRecord>, nowMillis: Long, isRestored: Boolean = false) {
        val listed = records.map { it.id }.toSet()
        endpoints.keys.filter { it !in listed }.forEach { remove(it, nowMillis) }
        records.forEach { put(if (isRestored) newer(it) else it, nowMillis) }
    }

    private fun newer(listed: EndpointRecord): EndpointRecord {
        val known = (endpoints[listed.id] ?: dropped[listed.id]?.endpoint)?.record
        val isDraining = known != null &&
            known.startedAtMillis == listed.startedAtMillis &&
            !known.isReady
        return if (isDraining) listed.copy(isReady = false) else listed
    }

    /** Removes and returns the endpoints that were not listed again within the grace period. */
    fun expire(nowMillis: Long): List<EndpointId> {
        val gone = unlistedUntilMillis.filterValues { nowMillis >= it }.keys.toList()
        gone.forEach { drop(it, nowMillis) }
        return gone
    }

    private fun drop(id: EndpointId, nowMillis: Long) {
        unlistedUntilMillis.remove(id)
        val endpoint = endpoints.remove(id) ?: return
        dropped[id] = DroppedEndpoint(endpoint, nowMillis)
        byService[endpoint.record.service]?.remove(endpoint)
        val host = endpoint.record.host
        byHost[host]?.remove(endpoint)
        if (byHost[host]?.isEmpty() == true) byHost -= host
    }

    private class DroppedEndpoint(val endpoint: FleetEndpoint, val atMillis: Long)

    private companion object {
        const val DROPPED_KEPT_MILLIS = 30_000L

        // Endpoint records expire after three missed heartbeats.
        const val RECORD_EXPIRY_MILLIS = 500L

        // Listings that expired during a store outage are renewed within about two seconds.
        const val UNLISTED_GRACE_MILLIS = 2000L

        // Time that a request takes to reach an endpoint.
        const val TRANSIT_MILLIS = 300L
        const val STABILITY_MILLIS = 3000L
    }
}
