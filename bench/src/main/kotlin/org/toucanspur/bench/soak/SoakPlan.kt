/*
 * The faults of one soak run, drawn from its seed. Faults overlap and come in series; the same seed
 * gives the same plan.
 */
package org.toucanspur.bench.soak

import kotlin.random.Random

/** What a fault does. */
enum class FaultKind(val target: TargetKind) {
    /** SIGSTOP, and SIGCONT at the end. */
    PAUSE(TargetKind.PROCESS),

    /** SIGKILL, and a new start at the end. */
    KILL(TargetKind.PROCESS),

    /** SIGTERM, and a new start when the process has ended. */
    TERMINATE(TargetKind.PROCESS),

    /** SIGHUP. */
    RELOAD(TargetKind.PROCESS),

    /** One process's link to the store misbehaves. */
    STORE_LINK(TargetKind.PROCESS),

    /** The links of all to an endpoint misbehave. */
    ENDPOINT_LINK(TargetKind.ENDPOINT),

    /** An endpoint dies, and comes back as a new life without weights. */
    CRASH(TargetKind.ENDPOINT),

    /** An endpoint reports that it leaves, and is replaced. */
    DRAIN(TargetKind.ENDPOINT),

    /** The store turns all calls away. */
    STORE_DOWN(TargetKind.SHARED),

    /** The store drops its history. */
    STORE_COMPACTED(TargetKind.SHARED),

    /** The origin of weights does not answer. */
    ORIGIN_DOWN(TargetKind.SHARED),

    /** Staged pieces turn bad at an engine. */
    STAGED_PIECE_SPOILT(TargetKind.ENDPOINT),

    /** The operator takes a key away and adds another. */
    KEY_REVOKED(TargetKind.SHARED),

    /** The operator names a new weight version. */
    VERSION_NAMED(TargetKind.SHARED)
}

/** What a fault hits. */
enum class TargetKind { PROCESS, ENDPOINT, SHARED }

/** How a link misbehaves. */
enum class LinkMode {
    /** Bytes pass. */
    SOUND,

    /** Bytes pass late. */
    DELAYED,

    /** Connections are reset. */
    RESET,

    /** Nothing passes; connections stay open. */
    SILENT,

    /** Nothing passes from the side that connected. */
    REQUESTS_CUT,

    /** Nothing passes back to the side that connected. */
    ANSWERS_CUT
}

/** One fault, from [atMillis] after the start of traffic for [lastsMillis]. */
data class SoakFault(
    val kind: FaultKind,
    val atMillis: Long,
    val lastsMillis: Long,
    /** Index of the process or endpoint; 0 for what is shared. */
    val target: Int,
    /** How a link misbehaves, for faults of links. */
    val mode: LinkMode
) {
    val endMillis: Long get() = atMillis + lastsMillis
}

/** What a run has for faults to hit; processes are numbered with the entries first. */
data class SoakTargets(val entries: Int, val agents: Int, val endpoints: Int)

/**
 * Draws the faults of a run of [lengthMillis]. Seeds from [STEADY_SEEDS_FROM] on spare the
 * entries, the store and the links, so that entries have to keep their bounds while agents and
 * endpoints fail for longer.
 */
fun soakPlan(seed: Long, lengthMillis: Long, targets: SoakTargets): List<SoakFault> {
    val random = Random(seed)
    val isSteady = seed >= STEADY_SEEDS_FROM
    val kinds = if (isSteady) FaultKind.entries - unsteadyKinds else FaultKind.entries
    val lastsMaxMillis = if (isSteady) STEADY_LASTS_MAX_MILLIS else LASTS_MAX_MILLIS
    val linkModes = LinkMode.entries - LinkMode.SOUND
    val faults = mutableListOf<SoakFault>()
    var atMillis = random.nextLong(GAP_MAX_MILLIS)
    while (atMillis < lengthMillis) {
        val kind = kinds.random(random)
        val range = targetsOf(kind, targets, isSteady)
        // Some faults hit several targets at once, as a lost zone does.
        val hits = if (random.nextInt(SERIES_ONE_IN) == 0) range.count() else 1
        val first = random.nextInt(range.count())
        val mode = linkModes.random(random)
        val lasts = random.nextLong(LASTS_MIN_MILLIS, lastsMaxMillis)
        repeat(hits) {
            val target = range.first + (first + it) % range.count()
            faults += SoakFault(kind, atMillis, lasts, target, mode)
        }
        atMillis += random.nextLong(GAP_MAX_MILLIS)
    }
    return faults
}

private fun targetsOf(kind: FaultKind, targets: SoakTargets, isSteady: Boolean): IntRange {
    val processes = targets.entries + targets.agents
    return when (kind.target) {
        TargetKind.PROCESS -> (if (isSteady) targets.entries else 0) until processes
        TargetKind.ENDPOINT -> 0 until targets.endpoints
        TargetKind.SHARED -> 0..0
    }
}

/** First of the seeds that leave entries undisturbed. */
const val STEADY_SEEDS_FROM = 1_000_000L

private val unsteadyKinds =
    setOf(FaultKind.STORE_DOWN, FaultKind.STORE_COMPACTED, FaultKind.ENDPOINT_LINK)

// A fault a second on average, of a length that lets three overlap.
private const val GAP_MAX_MILLIS = 2000L
private const val LASTS_MIN_MILLIS = 200L
private const val LASTS_MAX_MILLIS = 5000L

// Longer than the bound on weight versions, so that an agent can miss it.
private const val STEADY_LASTS_MAX_MILLIS = 14_000L
private const val SERIES_ONE_IN = 8
