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

/** Draws the faults of a run of [lengthMillis] over [processes] processes and [endpoints]. */
fun soakPlan(seed: Long, lengthMillis: Long, processes: Int, endpoints: Int): List<SoakFault> {
    val random = Random(seed)
    val linkModes = LinkMode.entries - LinkMode.SOUND
    val faults = mutableListOf<SoakFault>()
    var atMillis = random.nextLong(GAP_MAX_MILLIS)
    while (atMillis < lengthMillis) {
        val kind = FaultKind.entries.random(random)
        val targets = when (kind.target) {
            TargetKind.PROCESS -> processes
            TargetKind.ENDPOINT -> endpoints
            TargetKind.SHARED -> 1
        }
        // Some faults hit several targets at once, as a lost zone does.
        val hits = if (random.nextInt(SERIES_ONE_IN) == 0) targets else 1
        val first = random.nextInt(targets)
        val mode = linkModes.random(random)
        val lasts = random.nextLong(LASTS_MIN_MILLIS, LASTS_MAX_MILLIS)
        repeat(hits) { faults += SoakFault(kind, atMillis, lasts, (first + it) % targets, mode) }
        atMillis += random.nextLong(GAP_MAX_MILLIS)
    }
    return faults
}

// A fault a second on average, of a length that lets three overlap.
private const val GAP_MAX_MILLIS = 2000L
private const val LASTS_MIN_MILLIS = 200L
private const val LASTS_MAX_MILLIS = 5000L
private const val SERIES_ONE_IN = 8
