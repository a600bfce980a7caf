/*
 * State of an entry node as read from the store: configuration, endpoints, evacuated availability
 * zones, named weight versions, and the freshness of the configuration.
 */
package org.toucanspur.daemon.gateway

import java.util.EnumSet
import kotlin.random.Random
import org.toucanspur.core.gateway.CallerLimits
import org.toucanspur.core.gateway.CallerTimeouts
import org.toucanspur.core.gateway.ClockPair
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.core.gateway.CrashSuspectLimits
import org.toucanspur.core.gateway.CrashSuspects
import org.toucanspur.core.gateway.Fleet
import org.toucanspur.core.gateway.Freshness
import org.toucanspur.core.gateway.LimitExchange
import org.toucanspur.core.gateway.MinimumRate
import org.toucanspur.core.gateway.RequestPlacer
import org.toucanspur.core.gateway.RetryBudgetLimits
import org.toucanspur.core.gateway.RetryBudgetShare
import org.toucanspur.core.gateway.StoreCallPlan
import org.toucanspur.core.gateway.StoreFreshness
import org.toucanspur.core.gateway.StoreRestores
import org.toucanspur.core.gateway.TrafficConfiguration
import org.toucanspur.core.gateway.VersionGate
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.daemon.duties.isEnabled
import org.toucanspur.daemon.duties.usageWindowMillis
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.node.zoneRegions
import org.toucanspur.daemon.wallMillis
import org.toucanspur.platform.RecordFault
import org.toucanspur.schema.NodeConfiguration
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.RoutingLearning
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.ZoneId

/** Minimum number of entries assumed to share budgets while no recent count is known. */
private const val DEFAULT_ENTRY_COUNT = 4

// Agents report the number of entries that query them; a reported count is valid for this long.
private const val ENTRY_COUNT_VALID_MILLIS = 3000L
private const val MILLIS_PER_SECOND = 1000L

// Records expire after three heartbeats without a renewal; the rest is for the watch of the store.
private const val CONFIRMATION_HEARTBEATS = 5L

// A watch is not checked more often than the watch of the configuration returns.
private const val LIMIT_MIN_MILLIS = 2000L

// Limits on callers before the first configuration is loaded.
private val initialLimits = CallerLimits(
    headerMaxBytes = 16_384,
    bodyMaxBytes = 4_194_304,
    headerTimeoutMillis = 3000,
    idleTimeoutMillis = 15_000
)

/** Monotonic and wall clock of this VM. */
val systemClocks = ClockPair { ClockReading(monotonicMillis(), wallMillis()) }

/** State of one entry; confined to the event loop. */
class GatewayState(val settings: NodeConfiguration, random: Random) {
    /** Random choices of this entry. */
    val random = DetachableRandom(random)

    /** Active configuration; null until the first one is loaded. */
    var configuration: TrafficConfiguration? = null
        set(value) {
            value?.limits?.let { onLimits(it, isFirst = field == null) }
            field = value
        }

    /** Limits on callers that are in force. */
    val callerLimits: CallerLimits get() = configuration?.limits ?: initialLimits

    /** Time-outs of callers' connections. */
    var callerTimeouts = callerTimeouts(initialLimits)
        private set

    private fun callerTimeouts(limits: CallerLimits) = CallerTimeouts(
        limits,
        MinimumRate(
            settings.limits.bodyGraceMillis.toLong(),
            settings.limits.bodyMinBytesPerSecond.toLong()
        )
    )

    private fun onLimits(limits: CallerLimits, isFirst: Boolean) = if (isFirst) {
        callerTimeouts = callerTimeouts(limits)
    } else {
        callerTimeouts.onLimits(limits, monotonicMillis())
    }

    /** Object kinds that have been listed at least once. */
    val listedKinds: MutableSet<ObjectKind> = EnumSet.noneOf(ObjectKind::class.java)

    /**
     * Whether all state that restricts routing is loaded. Before an entry has listed evacuations
     * and target versions, it could send a request to an endpoint that must not receive it.
     */
    val isComplete: Boolean
        get() = configuration != null &&
            ObjectKind.EVACUATIONS in listedKinds &&
            ObjectKind.WEIGHT_VERSIONS in listedKinds

    /** All known endpoints. */
    val fleet = Fleet(
        settings.bounds.stabilityMillis.toLong(),
        this.random,
        settings.routing.learning == RoutingLearning.ON
    )

    /** Objects in the list of endpoints that name no endpoint, by name. */
    val unreadableRecords = HashMap<String, RecordFault>()

    /** Limits that endpoints name, known to all entries. */
    val limits = LimitExchange(fleet)

    /** Requests that crash endpoints. */
    val crashSuspects = CrashSuspects(
        CrashSuspectLimits(
            confirmationMillis = settings.store.heartbeatMillis * CONFIRMATION_HEARTBEATS
        )
    )

    /** Age up to which API keys are accepted by the configuration, and the entry is ready. */
    val evidenceMaxAgeMillis = settings.bounds.revocationMillis - Freshness.MARGIN_MILLIS

    /** Freshness of what is known of the store. */
    val storeFreshness = StoreFreshness(
        mapOf(
            ObjectKind.CONFIGURATION to evidenceMaxAgeMillis,
            ObjectKind.ENDPOINTS to evidenceLimitMillis(settings.bounds.drainMillis),
            ObjectKind.EVACUATIONS to evidenceLimitMillis(settings.bounds.evacuationMillis),
            ObjectKind.WEIGHT_VERSIONS to evidenceLimitMillis(settings.bounds.versionMillis)
        )
    )

    private fun evidenceLimitMillis(boundMillis: Int): Long =
        maxOf(minOf(boundMillis.toLong(), evidenceMaxAgeMillis), LIMIT_MIN_MILLIS)

    /** Calls to the store. */
    val storeCallPlan = StoreCallPlan(
        settings.bounds.drainMillis.toLong(),
        evidenceLimitMillis(settings.bounds.evacuationMillis),
        evidenceLimitMillis(settings.bounds.versionMillis),
        minOf(evidenceMaxAgeMillis, settings.bounds.configurationMillis.toLong())
    )

    /** Freshness of the configuration. */
    val freshness: Freshness get() = storeFreshness[ObjectKind.CONFIGURATION]

    /**
     * Whether the configuration lacks no change that has to be in force at [now]. What is refused
     * because the configuration does not have it, is refused for good by a current one only.
     */
    fun isConfigurationCurrent(now: ClockReading): Boolean =
        freshness.ageMillis(now)?.let { it < settings.bounds.configurationMillis } ?: false

    /** Weight versions named by the operator. */
    val versions = VersionGate(settings.bounds.versionMillis.toLong())

    /** Availability zones that receive no requests. */
    val evacuatedZones = mutableSetOf<ZoneId>()

    /** Evacuations that an older copy of the store lacks, and until when they are kept. */
    val unconfirmedEvacuations = HashMap<ZoneId, Long>()

    /** Kinds whose next listing is the first one from an older copy of the store. */
    val restores = StoreRestores()

    /** Selects an endpoint for each request. */
    val placer = RequestPlacer(
        fleet,
        settings.node.zone,
        settings.node.region,
        settings.bounds.coldAllowance,
        this.random
    )

    /** Region of each availability zone. */
    val regions: Map<ZoneId, RegionId> = zoneRegions(settings)

    /** What the entries tell each other: clocks, usage counts and demand. */
    val exchange = EntryExchange(
        settings.node.vm,
        systemClocks,
        if (settings.duties.isEnabled) settings.duties.usageWindowMillis else null,
        ::entryCount
    )

    private val retryAllowances = HashMap<ServiceId, RetryBudgetShare>()
    private var reportedEntryCount = 0
    private var reportedAtMillis = 0L

    /** Records the number of entries reported by an agent. */
    fun onEntryCount(count: Int, nowMillis: Long) {
        val isStale = nowMillis - reportedAtMillis > ENTRY_COUNT_VALID_MILLIS
        if (isStale || count >= reportedEntryCount) {
            reportedEntryCount = count
            reportedAtMillis = nowMillis
        }
    }

    /** Number of entries that share budgets and endpoints. */
    fun entryCount(nowMillis: Long): Int {
        val isStale = nowMillis - reportedAtMillis > ENTRY_COUNT_VALID_MILLIS
        return if (isStale) {
            maxOf(reportedEntryCount, DEFAULT_ENTRY_COUNT)
        } else {
            maxOf(1, reportedEntryCount)
        }
    }

    /** Retry budget of [service]. */
    fun retryAllowance(service: ServiceId): RetryBudgetShare = retryAllowances.getOrPut(service) {
        val bounds = settings.bounds
        RetryBudgetShare(
            RetryBudgetLimits(
                bounds.retryBudgetRatio,
                bounds.retryBudgetWindowSeconds * MILLIS_PER_SECOND,
                bounds.retryBudgetAllowance
            )
        )
    }
}
