/*
 * The faults of one soak run, drawn from its seed. Faults can overlap and hit several targets at
 * once; the same seed gives the same plan.
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
    VERSION_NAMED(TargetKind.SHARED)
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
    /** Index of the process or endpoint; 0 for shared targets. */
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
 * must keep their bounds while agents and endpoints fail.
 */
fun soakPlan(seed: Long, lengthMillis: Long, targets: SoakTargets): List<SoakFault> {
    val random = Random(seed)
    val sparesEntries = seed >= ENTRY_SPARING_SEEDS_FROM
    val kinds = if (sparesEntries) FaultKind.entries - entryDisturbingKinds else FaultKind.entries
    val maxDurationMillis =
        if (sparesEntries) SPARING_MAX_DURATION_MILLIS else MAX_DURATION_MILLIS
    val linkModes = LinkMode.entries - LinkMode.NORMAL
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

/** First of the seeds whose faults spare the entries, the store and the endpoint links. */
const val ENTRY_SPARING_SEEDS_FROM = 1_000_000L

private val entryDisturbingKinds =
    setOf(FaultKind.STORE_DOWN, FaultKind.STORE_COMPACTED, FaultKind.ENDPOINT_LINK)

// One fault per second on average, long enough for about three to overlap.
private const val MAX_GAP_MILLIS = 2000L
private const val MIN_DURATION_MILLIS = 200L
private const val MAX_DURATION_MILLIS = 5000L

// Longer than the bound on weight versions, so that an outage of an agent can span it.
private const val SPARING_MAX_DURATION_MILLIS = 14_000L
private const val MULTI_TARGET_ONE_IN = 8
