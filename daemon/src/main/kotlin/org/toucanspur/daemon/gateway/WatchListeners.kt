/*
 * Watch listeners that apply objects of the platform's store to the state of an entry and log each
 * state change.
 */
package org.toucanspur.daemon.gateway

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.ClockPair
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.core.gateway.EndpointRecord
import org.toucanspur.core.gateway.StoreOutage
import org.toucanspur.core.gateway.VersionDiscovery
import org.toucanspur.core.platform.ObjectChange
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.core.platform.StoredObject
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.platform.RecordFault
import org.toucanspur.platform.TargetVersion
import org.toucanspur.platform.decodeConfiguration
import org.toucanspur.platform.decodeEndpoint
import org.toucanspur.platform.decodeTargetVersion
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.ModelId
import org.toucanspur.schema.ZoneId

/** Logs when watching [kind] fails because the store is unavailable, and when it recovers. */
abstract class LoggingWatchListener(private val kind: ObjectKind, protected val log: DecisionLog) :
    ObjectWatchListener {
    override fun onStoreUnavailable(reason: String) = log.event(EventCode.STORE_UNAVAILABLE) {
        put("kind", kind.name)
        put("reason", reason)
    }

    override fun onStoreAvailable(outage: StoreOutage) = log.event(EventCode.STORE_RECOVERED) {
        put("kind", kind.name)
        put("outageMillis", outage.lengthMillis)
        put("unseenEndMillis", outage.endMillis - outage.knownUntilMillis)
    }
}

/** Activates a configuration if its version is higher than that of the active one. */
class ConfigurationListener(
    private val state: GatewayState,
    log: DecisionLog,
    private val onStoreAvailableAgain: (StoreOutage) -> Unit
) : LoggingWatchListener(ObjectKind.CONFIGURATION, log) {
    override fun onListing(objects: List<StoredObject>, unseenSince: ClockReading) =
        objects.forEach { adopt(it, unseenSince) }

    override fun onChanges(changes: List<ObjectChange>, unseenSince: ClockReading) =
        changes.filterNot { it.isRemoved }.forEach { adopt(it.stored, unseenSince) }

    override fun onStoreAvailable(outage: StoreOutage) {
        super.onStoreAvailable(outage)
        onStoreAvailableAgain(outage)
    }

    private fun adopt(stored: StoredObject, unseenSince: ClockReading) {
        val startMillis = monotonicMillis()
        decodeConfiguration(stored.text.orEmpty()).fold(
            success = { changed ->
                if (changed.version <= (state.configuration?.version ?: Long.MIN_VALUE)) return
                state.configuration = changed
                log.event(EventCode.CONFIGURATION_ADOPTED) {
                    put("version", changed.version)
                    put("revision", stored.revision)
                    put("unseenMillis", systemClocks.now().ageMillis(unseenSince))
                    put("routes", changed.routes.size)
                    put("headerTimeoutMillis", changed.limits.headerTimeoutMillis)
                    put("idleTimeoutMillis", changed.limits.idleTimeoutMillis)
                    put("decodeMillis", monotonicMillis() - startMillis)
                }
            },
            failure = { reason ->
                log.event(EventCode.CONFIGURATION_REJECTED) {
                    put("reason", reason)
                    put("revision", stored.revision)
                }
            }
        )
    }
}

/**
 * Maintains the list of endpoints. An older copy of the store may list an endpoint as ready that
 * has said that it is leaving, and may lack endpoints that write their records again soon.
 */
class EndpointListener(
    private val state: GatewayState,
    log: DecisionLog,
    private val onChanged: () -> Unit
) : LoggingWatchListener(ObjectKind.ENDPOINTS, log) {
    private var previousEraMillis = 0L

    override fun onListing(objects: List<StoredObject>, unseenSince: ClockReading) {
        val now = monotonicMillis()
        state.unreadableRecords.keys.retainAll(objects.map { it.name }.toSet())
        val isRestored = state.restores.takeRestored(ObjectKind.ENDPOINTS)
        if (isRestored) {
            state.fleet.onStoreRestored(StoreOutage(previousEraMillis, previousEraMillis, now))
        }
        state.fleet.replaceAll(objects.mapNotNull(::decode), now, isRestored)
        log.event(EventCode.ENDPOINT_LISTED) { put("listed", objects.size) }
        onChanged()
    }

    override fun onEra(era: Long) {
        state.restores.onEra(ObjectKind.ENDPOINTS, era)
        val previous = state.storeFreshness.lastRespondedBefore(era)
        previousEraMillis = previous?.monotonicMillis ?: monotonicMillis()
    }

    override fun onChanges(changes: List<ObjectChange>, unseenSince: ClockReading) {
        changes.forEach { if (it.isRemoved) remove(it.stored.name) else upsert(it.stored) }
        onChanged()
    }

    override fun onStoreAvailable(outage: StoreOutage) {
        super.onStoreAvailable(outage)
        state.fleet.onStoreRecovered(outage)
    }

    private fun remove(name: String) {
        state.unreadableRecords -= name
        drop(name)
    }

    private fun drop(name: String) {
        val id = EndpointId(name)
        state.fleet.remove(id, monotonicMillis())
        log.event(EventCode.ENDPOINT_REMOVED) {
            put("endpoint", name)
            put("isKept", state.fleet.find(id) != null)
        }
    }

    private fun upsert(stored: StoredObject) {
        val record = decode(stored)
        if (record == null) {
            if (state.fleet.find(EndpointId(stored.name)) != null) drop(stored.name)
            return
        }
        state.fleet.put(record, monotonicMillis())
        log.event(EventCode.ENDPOINT_LISTED) {
            put("endpoint", record.id.value)
            put("service", record.service.value)
            put("zone", record.zone.value)
            put("isReady", record.isReady)
            put("coldMillis", record.coldRemainingMillis)
            put("weights", record.loadedVersions.values.maxOrNull() ?: 0)
            put("revision", stored.revision)
        }
    }

    private fun decode(stored: StoredObject): EndpointRecord? {
        val decoded = decodeEndpoint(stored, state.regions::get)
        decoded.onSuccess { state.unreadableRecords -= stored.name }
        decoded.onFailure { onUnreadable(stored, it) }
        return decoded.get()
    }

    private fun onUnreadable(stored: StoredObject, fault: RecordFault) {
        if (state.unreadableRecords.put(stored.name, fault) == fault) return
        log.event(EventCode.ENDPOINT_UNREADABLE) {
            put("endpoint", stored.name)
            put("revision", stored.revision)
            put("reason", fault.message)
        }
    }
}

/** Maintains the set of evacuated availability zones. */
class EvacuationListener(private val state: GatewayState, log: DecisionLog) :
    LoggingWatchListener(ObjectKind.EVACUATIONS, log) {
    override fun onListing(objects: List<StoredObject>, unseenSince: ClockReading) {
        state.listedKinds += ObjectKind.EVACUATIONS
        val listed = objects.map { ZoneId(it.name) }.toSet()
        val missing = state.evacuatedZones - listed
        if (state.restores.takeRestored(ObjectKind.EVACUATIONS)) {
            val untilMillis = monotonicMillis() + REWRITE_MILLIS
            missing.forEach { state.unconfirmedEvacuations[it] = untilMillis }
        } else {
            missing.filterNot(state.unconfirmedEvacuations::containsKey).forEach(::reinstate)
        }
        listed.forEach(state.unconfirmedEvacuations::remove)
        (listed - state.evacuatedZones).forEach(::evacuate)
    }

    override fun onEra(era: Long) = state.restores.onEra(ObjectKind.EVACUATIONS, era)

    /** Ends the evacuations that an older copy of the store lacked and that were not renewed. */
    fun expire(nowMillis: Long) {
        val due = state.unconfirmedEvacuations.filterValues { nowMillis >= it }.keys.toList()
        due.forEach(::reinstate)
    }

    override fun onChanges(changes: List<ObjectChange>, unseenSince: ClockReading) =
        changes.forEach {
            val zone = ZoneId(it.stored.name)
            if (it.isRemoved) reinstate(zone) else evacuate(zone)
        }

    private fun evacuate(zone: ZoneId) {
        state.unconfirmedEvacuations -= zone
        if (state.evacuatedZones.add(zone)) {
            log.event(EventCode.ZONE_EVACUATED) { put("zone", zone.value) }
        }
    }

    private fun reinstate(zone: ZoneId) {
        state.unconfirmedEvacuations -= zone
        if (state.evacuatedZones.remove(zone)) {
            log.event(EventCode.ZONE_RESTORED) { put("zone", zone.value) }
        }
    }

    private companion object {
        // The operator writes again what an older copy of the store lacks.
        const val REWRITE_MILLIS = 2000L
    }
}

/**
 * Passes on target weight versions; [listingAge] classifies those found by a listing. The log shows
 * how late a version may have been found: the time since the watch was last up to date, and the
 * latest of the [pauses].
 */
class WeightVersionListener(
    log: DecisionLog,
    private val clocks: ClockPair,
    private val pauses: PauseMonitor,
    private val listingAge: ListingAgeTracker,
    private val onTargetVersion: (TargetVersion, ClockReading, VersionDiscovery) -> Unit
) : LoggingWatchListener(ObjectKind.WEIGHT_VERSIONS, log) {
    private var upToDateAt: ClockReading? = null
    private val newestVersions = HashMap<ModelId, Long>()
    private val unreadableRecords = HashMap<String, RecordFault>()

    override fun onListing(objects: List<StoredObject>, unseenSince: ClockReading) {
        val age = listingAge.next()
        objects.forEach { adopt(it, unseenSince, age) }
    }

    override fun onChanges(changes: List<ObjectChange>, unseenSince: ClockReading) =
        changes.filterNot { it.isRemoved }
            .forEach { adopt(it.stored, unseenSince, VersionDiscovery.NEW) }

    override fun onUpToDate(revision: Long, at: ClockReading, era: Long?) {
        upToDateAt = at
    }

    private fun onUnreadable(stored: StoredObject, fault: RecordFault) {
        if (unreadableRecords.put(stored.name, fault) == fault) return
        log.event(EventCode.VERSION_UNREADABLE) {
            put("object", stored.name)
            put("revision", stored.revision)
            put("reason", fault.message)
        }
    }

    private fun adopt(stored: StoredObject, since: ClockReading, age: VersionDiscovery) {
        val target = decodeTargetVersion(stored).getOrElse { fault ->
            onUnreadable(stored, fault)
            return
        }
        val pause = pauses.recent()
        val now = clocks.now()
        val previous = newestVersions[target.model] ?: 0
        log.event(EventCode.VERSION_NAMED) {
            put("model", target.model.value)
            put("version", target.version)
            put("previousVersion", previous)
            put("age", age.name)
            put("revision", stored.revision)
            put("upToDateAgoMillis", upToDateAt?.let(now::ageMillis) ?: -1)
            pause?.let {
                put("pauseMillis", it.lengthMillis)
                put("pauseAgoMillis", now.ageMillis(it.endedAt))
            }
        }
        newestVersions[target.model] = maxOf(previous, target.version)
        onTargetVersion(target, since, age)
    }
}

/** Classifies listings: the versions in the first one were set before the process started. */
class ListingAgeTracker(private val onListed: () -> Unit = {}) {
    private var isFirst = true

    /** Returns how the versions in the current listing were discovered. */
    fun next(): VersionDiscovery {
        val age = if (isFirst) {
            VersionDiscovery.FOUND_AT_START
        } else {
            VersionDiscovery.FOUND_AFTER_OUTAGE
        }
        isFirst = false
        onListed()
        return age
    }
}
