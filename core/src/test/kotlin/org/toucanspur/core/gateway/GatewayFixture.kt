package org.toucanspur.core.gateway

import org.toucanspur.schema.EndpointId
import org.toucanspur.schema.LoadReport
import org.toucanspur.schema.ModelId
import org.toucanspur.schema.RegionId
import org.toucanspur.schema.ServiceId
import org.toucanspur.schema.VmId
import org.toucanspur.schema.ZoneId

val writers = ServiceId("writers")
val model = ModelId("m")

val engine = EngineTiming(
    slots = 16,
    stepMillis = 7.4,
    perSequenceMillis = 0.0387,
    contextPerThousandTokensMillis = 0.0203,
    promptTokensPerSecond = 31_900.0,
    stepsPerPass = 6,
    typicalPromptTokens = 973,
    typicalOutputTokens = 106,
    kvCacheTokens = 685_000
)

/** Records a complete response of [service] with [fingerprints]. */
fun CrashSuspects.onComplete(service: ServiceId, fingerprints: List<Fingerprint>, nowMillis: Long) {
    onResponse(service, nowMillis)
    clear(fingerprints, nowMillis)
}

fun service(
    id: ServiceId = writers,
    timing: EngineTiming? = engine,
    connectionsMax: Int = 400,
    coldRate: Double = 0.0
) = TrafficService(id, "/health", connectionsMax, coldRate, timing, emptyList(), null)

fun record(
    id: String,
    zone: String = "a",
    region: String = "r",
    version: Long = 1,
    slots: Int = 16,
    isReady: Boolean = true,
    coldMillis: Long = 0,
    service: ServiceId = writers
) = EndpointRecord(
    EndpointId(id),
    service,
    "10.0.0.1",
    port = 80,
    ZoneId(zone),
    RegionId(region),
    slots,
    isReady,
    coldMillis,
    if (version > 0) mapOf(model to version) else emptyMap(),
    startedAtMillis = 0
)

fun report(
    running: Int,
    waiting: Int = 0,
    sequence: Long = 1,
    version: Long = 1,
    isLoading: Boolean = false,
    pacePercent: Int = 100,
    entryIndex: Int = 0,
    nextLoadMillis: Long = -1,
    periodMillis: Long = 100
) = LoadReport(
    VmId("vm"),
    0,
    sequence,
    running,
    waiting,
    version,
    isLoading,
    nextLoadMillis,
    pacePercent,
    periodMillis,
    entries = 4,
    entryIndex = entryIndex
)

fun route(
    prefix: String,
    host: String = "h.example",
    kind: CallKind = CallKind.IDEMPOTENT,
    service: ServiceId = writers,
    isResumable: Boolean = false,
    endpointsMax: Int = 2
) = TrafficRoute(
    name = prefix,
    host = host,
    pathPrefix = prefix,
    kind = kind,
    targets = listOf(RouteTarget(service, 1)),
    timeoutMillis = 6000,
    targetMillis = 400,
    eventGapTargetMillis = 300,
    priority = 1,
    endpointsMax = endpointsMax,
    isAnonymousAllowed = false,
    isResumable = isResumable,
    homeRegions = emptySet()
)
