/*
 * Which weight versions requests may begin on. A version that the operator names must be in use
 * everywhere within a bound; shortly before it ends, only endpoints that confirmed the version get
 * requests, and each request names it, so that an endpoint that is behind refuses it unrun.
 */
package org.toucanspur.core.gateway

import org.toucanspur.schema.ModelId

/** What is known of the time at which a version was named. */
enum class NameAge {
    /** It was named while this process watched. */
    NEW,

    /** It was named during an outage of the store; endpoints that have it show that it is old. */
    FOUND_AFTER_OUTAGE,

    /** It was named before this process started; its bound may be over. */
    FOUND_AT_START
}

/** Named versions of all models. */
class VersionGate(private val boundMillis: Long) {
    private val named = HashMap<ModelId, ArrayDeque<Named>>()

    /** Notes that [version] of [model] is named, as seen at [nowMillis]. */
    fun onNamed(model: ModelId, version: Long, nowMillis: Long, age: NameAge = NameAge.NEW) {
        val versions = named.getOrPut(model) { ArrayDeque() }
        if (versions.isNotEmpty() && versions.last().version >= version) return
        versions.addLast(Named(version, nowMillis, age))
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
        val seenForMillis = nowMillis - version.seenMillis
        return seenForMillis >= boundMillis - MARGIN_MILLIS ||
            when (version.age) {
                NameAge.NEW -> false
                NameAge.FOUND_AFTER_OUTAGE ->
                    loadedMax >= version.version && seenForMillis >= FOUND_MILLIS
                NameAge.FOUND_AT_START -> true
            }
    }

    private class Named(val version: Long, val seenMillis: Long, val age: NameAge)

    private companion object {
        // News of the version, and the wait of a request in an endpoint's queue.
        const val MARGIN_MILLIS = 1200L

        // Time for endpoints to report after an outage.
        const val FOUND_MILLIS = 500L
        const val KEPT_MAX = 8
    }
}
