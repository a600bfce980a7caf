/*
 * What an entry believes: configuration, endpoints, zones that are out, named weight versions, and
 * how recent all of that is.
 */
package org.toucanspur.daemon.gateway

import java.util.EnumSet
import kotlin.random.Random
import org.toucanspur.core.gateway.ClockPair
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.core.gateway.ConfigurationFreshness
import org.toucanspur.core.gateway.Fleet
import org.toucanspur.core.gateway.RequestPlacer
import org.toucanspur.core.gateway.RetryBudgetLimits
import org.toucanspur.core.gateway.RetryBudgetShare
import org.toucanspur.core.gateway.TrafficConfiguration
import org.toucanspur.core.gateway.VersionGate
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.daemon.node.zoneRegions
import org.toucanspur.daemon.wallMillis
import org.toucanspur.schema.NodeConfiguration
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.ZoneId

/** Entries that share budgets as long as nothing tells how many there are. */
private const val ENTRIES_ASSUMED = 4

// Agents count the entries that asked them for reports; their word is good for this long.
private const val ENTRIES_FRESH_MILLIS = 3000L
private const val MILLIS_PER_SECOND = 1000L

/** The clocks of this VM. */
val systemClocks = ClockPair { ClockReading(monotonicMillis(), wallMillis()) }

/** Beliefs of one entry; confined to the event loop. */
class GatewayState(val settings: NodeConfiguration, val random: Random) {
    /** The configuration in force; null before the first one. */
    var configuration: TrafficConfiguration? = null

    /** Kinds of which the store's objects are known. */
    val listedKinds: MutableSet<ObjectKind> = EnumSet.noneOf(ObjectKind::class.java)

    /**
     * Whether nothing is missing without which a request could go where it must not: an entry that
     * has just started does not know of evacuations and named versions.
     */
    val isComplete: Boolean
        get() = configuration != null &&
            ObjectKind.EVACUATIONS in listedKinds &&
            ObjectKind.WEIGHT_VERSIONS in listedKinds

    /** All endpoints. */
    val fleet = Fleet()

    /** Proof that the configuration is the newest. */
    val proof = ConfigurationFreshness(
        settings.bounds.revocationMillis.toLong() - ConfigurationFreshness.MARGIN_MILLIS
    )

    /** Named weight versions. */
    val versions = VersionGate(settings.bounds.versionMillis.toLong())

    /** Availability zones that get no requests. */
    val excludedZones = mutableSetOf<ZoneId>()

    /** Chooses endpoints. */
    val placer = RequestPlacer(
        fleet,
        settings.node.zone,
        settings.node.region,
        settings.bounds.coldAllowance,
        random
    )

    /** Region of each availability zone. */
    val regions: Map<ZoneId, RegionId> = zoneRegions(settings)

    private val allowances = HashMap<ServiceId, RetryBudgetShare>()
    private var entriesSeen = 0
    private var entriesSeenMillis = 0L

    /** Notes how many entries an agent knows of. */
    fun onEntries(count: Int, nowMillis: Long) {
        val isStale = nowMillis - entriesSeenMillis > ENTRIES_FRESH_MILLIS
        if (isStale || count >= entriesSeen) {
            entriesSeen = count
            entriesSeenMillis = nowMillis
        }
    }

    /** Entries that share budgets and endpoints. */
    fun entries(nowMillis: Long): Int {
        val isStale = nowMillis - entriesSeenMillis > ENTRIES_FRESH_MILLIS
        return if (isStale) maxOf(entriesSeen, ENTRIES_ASSUMED) else maxOf(1, entriesSeen)
    }

    /** Budget of repeated sends for [service]. */
    fun allowance(service: ServiceId): RetryBudgetShare = allowances.getOrPut(service) {
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
