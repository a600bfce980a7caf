/*
 * The faults of one soak run, drawn from its seed. Faults can overlap and hit several targets at
 * once; the same seed gives the same plan. Planned work is drawn for seeds of its own, so that the
 * plans of older seeds stay as they are.
 */
package org.toucanspur.bench.soak

import kotlin.random.Random

/** Kind of a fault, with the kind of target that it hits. */
enum class FaultKind(val target: TargetKind) {
    /** Sends SIGSTOP, and SIGCONT at the end of the fault. */
    PAUSE(TargetKind.PROCESS),

    /** Sends SIGKILL, and restarts the process at the end of the fault. */
    KILL(TargetKind.PROCESS),

    /** Sends SIGTERM, and restarts the process once it has exited. */
    TERMINATE(TargetKind.PROCESS),

    /** Sends SIGHUP. */
    RELOAD(TargetKind.PROCESS),

    /** Disturbs the link of one process to the store. */
    STORE_LINK(TargetKind.PROCESS),

    /** Disturbs the link of all entries to one endpoint. */
    ENDPOINT_LINK(TargetKind.ENDPOINT),

    /** Crashes an endpoint, and restarts it as a new incarnation without weights. */
    CRASH(TargetKind.ENDPOINT),

    /** Drains an endpoint, and replaces it by a new incarnation. */
    DRAIN(TargetKind.ENDPOINT),

    /** The store refuses all calls. */
    STORE_DOWN(TargetKind.SHARED),

    /** The store discards its change history. */
    STORE_COMPACTED(TargetKind.SHARED),

    /** The weight origin refuses all calls. */
    ORIGIN_DOWN(TargetKind.SHARED),

    /** Corrupts a staged weight piece at an engine. */
    STAGED_PIECE_SPOILT(TargetKind.ENDPOINT),

    /** The operator revokes an API key and adds another. */
    KEY_REVOKED(TargetKind.SHARED),

    /** The operator publishes a new weight version. */
    VERSION_NAMED(TargetKind.SHARED),

    /** The operator changes the idle time-out of callers' connections, and restores it. */
    IDLE_TIMEOUT(TargetKind.SHARED),

    /** The operator changes the time-out for the rest of a request, and restores it. */
    HEADER_TIMEOUT(TargetKind.SHARED),

    /** The operator changes the time-out of the routes, and restores it. */
    ROUTE_TIMEOUT(TargetKind.SHARED),

    /** The operator moves the routes of plain requests to another service, and back. */
    ROUTE_MOVED(TargetKind.SHARED),

    /** The operator adds hundreds of routes, and removes them. */
    ROUTES_ADDED(TargetKind.SHARED),

    /** Responses of an endpoint pause once per connection, at any byte, and go on. */
    SILENCE(TargetKind.ENDPOINT)
}

/** Kind of target that a fault hits. */
enum class TargetKind { PROCESS, ENDPOINT, SHARED }

/** Behaviour of a link. */
enum class LinkMode {
    /** Bytes are forwarded. */
    NORMAL,

    /** Bytes are forwarded after a delay. */
    DELAYED,

    /** Existing and new connections are reset. */
    RESET,

    /** No bytes are forwarded in either direction; connections stay open. */
    SILENT,

    /** No bytes are forwarded from the client to the server. */
    REQUESTS_CUT,

    /** No bytes are forwarded from the server to the client. */
    ANSWERS_CUT
}

/** One fault, which starts [atMillis] after the start of traffic and lasts for [lastsMillis]. */
data class SoakFault(
    val kind: FaultKind,
    val atMillis: Long,
    val lastsMillis: Long,
    /** Index of the process or endpoint; for changed time-outs that of the value, otherwise 0. */
    val target: Int,
    /** Behaviour of the link during the fault; used by link faults only. */
    val mode: LinkMode
) {
    val endMillis: Long get() = atMillis + lastsMillis
}

/** Numbers of possible targets; process indexes count the entries first, then the agents. */
data class SoakTargets(val entries: Int, val agents: Int, val endpoints: Int)

/**
 * Draws the faults of a run of [lengthMillis]. Seeds from [ENTRY_SPARING_SEEDS_FROM] on exclude
 * faults of the entries, the store and the endpoint links, and draw longer faults, so that entries
 * must keep their bounds while agents and endpoints fail. Seeds from [PLANNED_WORK_SEEDS_FROM] on
 * draw series of planned work, so that entries must respond to each request.
 */
fun soakPlan(seed: Long, lengthMillis: Long, targets: SoakTargets): List<SoakFault> {
    val random = Random(seed)
    if (isPlannedWorkSeed(seed)) return plannedWorkPlan(random, lengthMillis, targets)
    val sparesEntries = seed >= ENTRY_SPARING_SEEDS_FROM
    val kinds = if (sparesEntries) disturbingKinds - entryDisturbingKinds else disturbingKinds
    val maxDurationMillis =
        if (sparesEntries) SPARING_MAX_DURATION_MILLIS else MAX_DURATION_MILLIS
    val faults = mutableListOf<SoakFault>()
    var atMillis = random.nextLong(MAX_GAP_MILLIS)
    while (atMillis < lengthMillis) {
        val kind = kinds.random(random)
        val range = targetRange(kind, targets, sparesEntries)
        // Some faults hit all targets of their kind at once, as the loss of a zone does.
        val targetCount = if (random.nextInt(MULTI_TARGET_ONE_IN) == 0) range.count() else 1
        val first = random.nextInt(range.count())
        val mode = linkModes.random(random)
        val durationMillis = random.nextLong(MIN_DURATION_MILLIS, maxDurationMillis)
        repeat(targetCount) {
            val target = range.first + (first + it) % range.count()
            faults += SoakFault(kind, atMillis, durationMillis, target, mode)
        }
        atMillis += random.nextLong(MAX_GAP_MILLIS)
    }
    return faults
}

private fun targetRange(kind: FaultKind, targets: SoakTargets, sparesEntries: Boolean): IntRange {
    val processes = targets.entries + targets.agents
    return when (kind.target) {
        TargetKind.PROCESS -> (if (sparesEntries) targets.entries else 0) until processes
        TargetKind.ENDPOINT -> 0 until targets.endpoints
        TargetKind.SHARED -> 0..0
    }
}

private fun plannedWorkPlan(
    random: Random,
    lengthMillis: Long,
    targets: SoakTargets
): List<SoakFault> {
    val faults = mutableListOf<SoakFault>()
    var atMillis = random.nextLong(MAX_GAP_MILLIS)
    while (atMillis < lengthMillis) {
        // A series of one kind is a storm of changes; other series mix changes and signals.
        val storm = configurationKinds.random(random).takeIf { random.nextInt(STORM_ONE_IN) == 0 }
        repeat(if (storm == null) random.nextInt(1, MAX_SERIES) else STORM_CHANGES) {
            val kind = storm ?: plannedKinds.random(random)
            faults += plannedFault(random, kind, atMillis, targets)
            atMillis +=
                random.nextLong(if (storm == null) MAX_SERIES_GAP_MILLIS else STORM_GAP_MILLIS)
        }
        if (random.nextInt(UNPLANNED_ONE_IN) == 0) {
            faults += plannedFault(random, unplannedKinds.random(random), atMillis, targets)
        }
        atMillis += random.nextLong(MAX_GAP_MILLIS)
    }
    return faults.filter { it.atMillis < lengthMillis }
}

private fun plannedFault(
    random: Random,
    kind: FaultKind,
    atMillis: Long,
    targets: SoakTargets
): SoakFault {
    val target = when (kind) {
        FaultKind.IDLE_TIMEOUT -> random.nextInt(idleTimeoutsMillis.size)
        FaultKind.HEADER_TIMEOUT -> random.nextInt(headerTimeoutsMillis.size)
        FaultKind.ROUTE_TIMEOUT -> random.nextInt(routeTimeoutsMillis.size)
        else -> when (kind.target) {
            TargetKind.PROCESS -> random.nextInt(targets.entries)
            TargetKind.ENDPOINT -> random.nextInt(targets.endpoints)
            TargetKind.SHARED -> 0
        }
    }
    val lastsMillis = random.nextLong(MIN_DURATION_MILLIS, MAX_DURATION_MILLIS)
    return SoakFault(kind, atMillis, lastsMillis, target, linkModes.random(random))
}

/** Whether [seed] draws planned work. */
fun isPlannedWorkSeed(seed: Long): Boolean = seed >= PLANNED_WORK_SEEDS_FROM

/** First of the seeds whose faults spare the entries, the store and the endpoint links. */
const val ENTRY_SPARING_SEEDS_FROM = 1_000_000L

/** First of the seeds that draw planned work and few other faults. */
const val PLANNED_WORK_SEEDS_FROM = 2_000_000L

/** Idle time-outs that [FaultKind.IDLE_TIMEOUT] sets. */
val idleTimeoutsMillis = listOf(500L, 1000L, 3000L, 30_000L)

/** Header time-outs that [FaultKind.HEADER_TIMEOUT] sets. */
val headerTimeoutsMillis = listOf(500L, 1500L, 10_000L)

/** Time-outs of routes that [FaultKind.ROUTE_TIMEOUT] sets. */
val routeTimeoutsMillis = listOf(1500L, 3000L, 10_000L)

/** Changes of the configuration that are drawn for seeds of planned work only. */
val configurationKinds = listOf(
    FaultKind.IDLE_TIMEOUT,
    FaultKind.HEADER_TIMEOUT,
    FaultKind.ROUTE_TIMEOUT,
    FaultKind.ROUTE_MOVED,
    FaultKind.ROUTES_ADDED
)

private val disturbingKinds = FaultKind.entries - configurationKinds - FaultKind.SILENCE

private val linkModes = LinkMode.entries - LinkMode.NORMAL

// Changes of the configuration are three times as likely as other kinds.
private val plannedKinds = List(CHANGE_WEIGHT) { configurationKinds }.flatten() +
    listOf(FaultKind.KEY_REVOKED, FaultKind.RELOAD, FaultKind.TERMINATE, FaultKind.SILENCE)

private val unplannedKinds =
    listOf(FaultKind.PAUSE, FaultKind.CRASH, FaultKind.ENDPOINT_LINK, FaultKind.STORE_LINK)

private val entryDisturbingKinds =
    setOf(FaultKind.STORE_DOWN, FaultKind.STORE_COMPACTED, FaultKind.ENDPOINT_LINK)

// One fault per second on average, long enough for about three to overlap.
private const val MAX_GAP_MILLIS = 2000L
private const val MIN_DURATION_MILLIS = 200L
private const val MAX_DURATION_MILLIS = 5000L

// Longer than the bound on weight versions, so that an outage of an agent can span it.
private const val SPARING_MAX_DURATION_MILLIS = 14_000L
private const val MULTI_TARGET_ONE_IN = 8

private const val CHANGE_WEIGHT = 3
private const val MAX_SERIES = 5
private const val MAX_SERIES_GAP_MILLIS = 400L
private const val STORM_ONE_IN = 6
private const val STORM_CHANGES = 10
private const val STORM_GAP_MILLIS = 60L

// Rare, because requests beside an unplanned fault may be lost.
private const val UNPLANNED_ONE_IN = 8
