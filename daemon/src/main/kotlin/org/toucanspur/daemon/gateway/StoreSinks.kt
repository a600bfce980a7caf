/*
 * Brings what the platform's store says into the beliefs of an entry, with a log line for each
 * belief that changes.
 */
package org.toucanspur.daemon.gateway

import com.github.michaelbull.result.fold
import kotlinx.serialization.json.put
import org.toucanspur.core.events.EventCode
import org.toucanspur.core.gateway.ClockReading
import org.toucanspur.core.gateway.EndpointRecord
import org.toucanspur.core.gateway.VersionDiscovery
import org.toucanspur.core.platform.ObjectChange
import org.toucanspur.core.platform.ObjectKind
import org.toucanspur.core.platform.StoredObject
import org.toucanspur.daemon.log.DecisionLog
import org.toucanspur.daemon.monotonicMillis
import org.toucanspur.platform.NamedVersion
import org.toucanspur.platform.decodeConfiguration
import org.toucanspur.platform.decodeEndpoint
import org.toucanspur.platform.decodeNamedVersion
import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.ZoneId

/** Logs when the store is lost and regained, for one kind. */
abstract class LoggingSink(private val kind: ObjectKind, protected val log: DecisionLog) :
    KindSink {
    override fun onLost(reason: String) = log.event(EventCode.STORE_UNAVAILABLE) {
        put("kind", kind.name)
        put("reason", reason)
    }

    override fun onRegained(outageMillis: Long) = log.event(EventCode.STORE_RECOVERED) {
        put("kind", kind.name)
        put("outageMillis", outageMillis)
    }
}

/** Adopts configurations whose version is higher than the one in force. */
class ConfigurationSink(
    private val state: GatewayState,
    log: DecisionLog,
    private val onRegained: () -> Unit
) : LoggingSink(ObjectKind.CONFIGURATION, log) {
    override fun onListing(objects: List<StoredObject>) = objects.forEach(::adopt)

    override fun onChanges(changes: List<ObjectChange>) =
        changes.filterNot { it.isRemoved }.forEach { adopt(it.stored) }

    override fun onCurrent(at: ClockReading) = state.proof.renew(at)

    override fun onRegained(outageMillis: Long) {
        super.onRegained(outageMillis)
        onRegained()
    }

    private fun adopt(stored: StoredObject) {
        decodeConfiguration(stored.text.orEmpty()).fold(
            success = { changed ->
                if (changed.version <= (state.configuration?.version ?: Long.MIN_VALUE)) return
                state.configuration = changed
                log.event(EventCode.CONFIGURATION_ADOPTED) {
                    put("version", changed.version)
                    put("revision", stored.revision)
                    put("routes", changed.routes.size)
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

/** Keeps the list of endpoints. */
class EndpointSink(
    private val state: GatewayState,
    log: DecisionLog,
    private val onChanged: () -> Unit
) : LoggingSink(ObjectKind.ENDPOINTS, log) {
    override fun onListing(objects: List<StoredObject>) {
        state.fleet.replaceAll(objects.mapNotNull(::decode), monotonicMillis())
        log.event(EventCode.ENDPOINT_LISTED) { put("listed", objects.size) }
        onChanged()
    }

    override fun onChanges(changes: List<ObjectChange>) {
        changes.forEach { if (it.isRemoved) remove(it.stored.name) else put(it.stored) }
        onChanged()
    }

    override fun onRegained(outageMillis: Long) {
        super.onRegained(outageMillis)
        if (outageMillis > LAPSE_MILLIS) state.fleet.onStoreRecovered(monotonicMillis())
    }

    private fun remove(name: String) {
        state.fleet.remove(EndpointId(name), monotonicMillis())
        log.event(EventCode.ENDPOINT_REMOVED) { put("endpoint", name) }
    }

    private fun put(stored: StoredObject) {
        val record = decode(stored)
        if (record == null) {
            remove(stored.name)
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
        val record = decodeEndpoint(stored, state.regions::get)
        if (record == null) {
            log.event(EventCode.ENDPOINT_UNREADABLE) { put("endpoint", stored.name) }
        }
        return record
    }

    private companion object {
        // Entries lapse after three missed heartbeats, so that a shorter outage loses none.
        const val LAPSE_MILLIS = 500L
    }
}

/** Keeps the zones that get no requests. */
class EvacuationSink(private val state: GatewayState, log: DecisionLog) :
    LoggingSink(ObjectKind.EVACUATIONS, log) {
    override fun onListing(objects: List<StoredObject>) {
        state.listedKinds += ObjectKind.EVACUATIONS
        val listed = objects.map { ZoneId(it.name) }.toSet()
        (state.excludedZones - listed).forEach(::takeBack)
        (listed - state.excludedZones).forEach(::evacuate)
    }

    override fun onChanges(changes: List<ObjectChange>) = changes.forEach {
        val zone = ZoneId(it.stored.name)
        if (it.isRemoved) takeBack(zone) else evacuate(zone)
    }

    private fun evacuate(zone: ZoneId) {
        if (state.excludedZones.add(zone)) {
            log.event(EventCode.ZONE_EVACUATED) { put("zone", zone.value) }
        }
    }

    private fun takeBack(zone: ZoneId) {
        if (state.excludedZones.remove(zone)) {
            log.event(EventCode.ZONE_RESTORED) { put("zone", zone.value) }
        }
    }
}

/** Keeps the weight versions that the operator names; [listingAge] gives the age of listed ones. */
class VersionSink(
    log: DecisionLog,
    private val listingAge: ListingAge,
    private val onNamed: (NamedVersion, VersionDiscovery) -> Unit
) : LoggingSink(ObjectKind.WEIGHT_VERSIONS, log) {
    override fun onListing(objects: List<StoredObject>) {
        val age = listingAge.next()
        objects.forEach { adopt(it, age) }
    }

    override fun onChanges(changes: List<ObjectChange>) =
        changes.filterNot { it.isRemoved }.forEach { adopt(it.stored, VersionDiscovery.NEW) }

    private fun adopt(stored: StoredObject, age: VersionDiscovery) {
        val named = decodeNamedVersion(stored) ?: return
        log.event(EventCode.VERSION_NAMED) {
            put("model", named.model.value)
            put("version", named.version)
            put("age", age.name)
        }
        onNamed(named, age)
    }
}

/** The age of names in listings: before the first one the process has just started. */
class ListingAge(private val onListed: () -> Unit = {}) {
    private var isFirst = true

    /** The age of the names in the listing that has just come. */
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
