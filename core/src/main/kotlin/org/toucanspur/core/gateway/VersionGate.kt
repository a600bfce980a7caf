/*
 * Which weight versions requests may begin on. A version that the operator names must be in use
 * everywhere within a bound; shortly before it ends, only endpoints that confirmed the version get
 * requests, and each request names it, so that an endpoint that is behind refuses it unrun.
 */
package org.toucanspur.core.gateway

import org.toucanspur.schema.ModelId

/** Named versions of all models. */
class VersionGate(private val boundMillis: Long) {
    private val named = HashMap<ModelId, ArrayDeque<Named>>()

    /**
     * Notes that [version] of [model] is named, as seen at [nowMillis]. When the age of that name
     * is not known, as after a start, the bound may be over as soon as some endpoint has it.
     */
    fun onNamed(
        model: ModelId,
        version: Long,
        nowMillis: Long,
        isAgeKnown: Boolean = true
    ) {
        val versions = named.getOrPut(model) { ArrayDeque() }
        if (versions.isNotEmpty() && versions.last().version >= version) return
        versions.addLast(Named(version, nowMillis, isAgeKnown))
        while (versions.size > KEPT_MAX) versions.removeFirst()
    }

    /** The newest named version of [model], or 0. */
    fun newest(model: ModelId): Long = named[model]?.lastOrNull()?.version ?: 0

    /**
     * Lowest version that a request for [model] may begin on at [nowMillis], where the endpoints
     * have versions up to [loadedMax]; 0 for any.
     */
    fun versionMin(model: ModelId?, nowMillis: Long, loadedMax: Long): Long {
        if (boundMillis <= 0 || model == null) return 0
        return named[model]?.lastOrNull { isDue(it, nowMillis, loadedMax) }?.version ?: 0
    }

    private fun isDue(version: Named, nowMillis: Long, loadedMax: Long): Boolean {
        val ageMillis = nowMillis - version.seenMillis
        val isLikelyOld = !version.isAgeKnown && loadedMax >= version.version
        return ageMillis >= boundMillis - MARGIN_MILLIS ||
            (isLikelyOld && ageMillis >= START_MILLIS)
    }

    private class Named(val version: Long, val seenMillis: Long, val isAgeKnown: Boolean)

    private companion object {
        // News of the version, and the wait of a request in an endpoint's queue.
        const val MARGIN_MILLIS = 1200L

        // An entry that has just started is still given a moment for endpoints to report.
        const val START_MILLIS = 1500L
        const val KEPT_MAX = 8
    }
}
