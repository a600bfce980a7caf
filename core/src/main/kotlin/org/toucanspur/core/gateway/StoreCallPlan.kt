/*
 * When an entry calls the store, and how long its watch calls wait. Each call costs, and every
 * entry watches every kind, so with more entries each one calls as seldom as the bounds permit.
 *
 * While the store changes, a kind is known only up to the revision of its own last response. A
 * watch call therefore ends by itself before the kind would have to be checked, which takes two
 * calls: one that does not wait, and the one that waits again.
 *
 * A response proves the state at the start of its call. What is known is therefore up to two waits
 * old when the next response arrives.
 */
package org.toucanspur.core.gateway

import org.toucanspur.core.platform.ObjectKind

/**
 * Pauses and waits of the watches, for a deployment in which a draining endpoint must get no
 * request [drainMillis] after it was marked, and an entry may act on evacuations up to
 * [evacuationLimitMillis] old, on weight versions up to [versionLimitMillis], and on the
 * configuration up to [configurationLimitMillis].
 */
class StoreCallPlan(
    private val drainMillis: Long,
    private val evacuationLimitMillis: Long,
    private val versionLimitMillis: Long = evacuationLimitMillis,
    configurationLimitMillis: Long = evacuationLimitMillis
) {
    /** Wait of a watch call for the configuration. */
    val configurationWaitMillis: Long =
        (configurationLimitMillis * CONFIGURATION_WAIT_PERCENT / PERCENT)
            .coerceIn(WAIT_MIN_MILLIS, CONFIGURATION_WAIT_MAX_MILLIS)

    /**
     * Pause after a change of the endpoints, at one of [entryCount] entries. [isJoinUrgent] if
     * requests wait for an endpoint that serves as soon as it is known.
     */
    fun pauseMillis(entryCount: Int, isJoinUrgent: Boolean): Long {
        if (!isSpaced(entryCount)) return PAUSE_MIN_MILLIS
        val maxMillis = drainMillis * PAUSE_MAX_PERCENT / PERCENT
        val limitMillis = if (isJoinUrgent) minOf(maxMillis, JOIN_MILLIS) else maxMillis
        return minOf(PAUSE_MIN_MILLIS * entryCount / ENTRIES_UNSPACED, limitMillis)
            .coerceAtLeast(PAUSE_MIN_MILLIS)
    }

    /**
     * Wait of the next watch call for [kind], whose last response is [ageMillis] old; null if
     * nothing limits it. [isStoreChanging] if the store has had changes recently: otherwise the
     * responses for other kinds confirm this one as well.
     */
    fun waitMillis(
        kind: ObjectKind,
        entryCount: Int,
        isStoreChanging: Boolean,
        ageMillis: Long
    ): Long? {
        val isLimited = kind == ObjectKind.WEIGHT_VERSIONS || isSpaced(entryCount)
        if (!isLimited || !isStoreChanging) return null
        val endAgeMillis = endAgeMillis(kind)?.takeIf { it >= WAIT_MIN_MILLIS } ?: return null
        return maxOf(WAIT_MIN_MILLIS, endAgeMillis - ageMillis)
    }

    // Age of the last response when the call ends.
    private fun endAgeMillis(kind: ObjectKind): Long? = when (kind) {
        ObjectKind.ENDPOINTS -> drainMillis * END_PERCENT / PERCENT
        ObjectKind.EVACUATIONS -> (evacuationLimitMillis - SILENT_CALL_MILLIS) / 2
        ObjectKind.WEIGHT_VERSIONS -> (versionLimitMillis - SILENT_CALL_MILLIS) / 2
        else -> null
    }

    private fun isSpaced(entryCount: Int): Boolean = entryCount > ENTRIES_UNSPACED

    private companion object {
        // Up to this number of entries the calls cost little.
        const val ENTRIES_UNSPACED = 5
        const val PAUSE_MIN_MILLIS = 250L

        // Mean time until a new endpoint is known is half of the pause.
        const val JOIN_MILLIS = 500L

        const val PERCENT = 100

        // The shortest wait after the longest pause ends at half of the bound, when the kind is
        // checked. The other half is for a silent connection, a slow store and requests on the way.
        const val PAUSE_MAX_PERCENT = 35
        const val END_PERCENT = 45
        const val WAIT_MIN_MILLIS = 200L

        // Two waits and the two responses end within the limit.
        const val CONFIGURATION_WAIT_PERCENT = 40
        const val CONFIGURATION_WAIT_MAX_MILLIS = 1000L

        // A call on a connection that has gone silent ends 800 ms after its wait, and is repeated
        // after a backoff of 150 ms at most. The rest is for a slow store.
        const val SILENT_CALL_MILLIS = 1100L
    }
}
