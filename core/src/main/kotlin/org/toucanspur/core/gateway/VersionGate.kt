/*
 * Determines the weight versions on which requests may start. A target version set by the operator
 * must be in use everywhere within a time bound. Shortly before the bound ends, only endpoints that
 * confirmed the version receive requests, and each request states the version, so that an endpoint
 * with an older version refuses it without executing it.
 */
package org.toucanspur.core.gateway

import org.toucanspur.schema.ModelId

/** How a target version was discovered, which limits what is known about its age. */
enum class VersionDiscovery {
    /** It was set while this process watched the store. */
    NEW,

    /** It was set during a store outage; if endpoints already serve it, it is not recent. */
    FOUND_AFTER_OUTAGE,

    /** It was set before this process started, so its bound may already have passed. */
    FOUND_AT_START
}

/** Target versions of all models. */
class VersionGate(private val boundMillis: Long) {
    private val targets = HashMap<ModelId, ArrayDeque<TargetVersion>>()

    /** Records that [version] is set as a target of [model]; its bound starts at [since]. */
    fun onTargetVersion(
        model: ModelId,
        version: Long,
        since: ClockReading,
        discovery: VersionDiscovery = VersionDiscovery.NEW
    ) {
        val versions = targets.getOrPut(model) { ArrayDeque() }
        if (versions.isNotEmpty() && versions.last().version >= version) return
        versions.addLast(TargetVersion(version, since, discovery))
        while (versions.size > TARGET_VERSIONS_MAX) mergeOldest(versions)
    }

    // The second oldest version takes over the bound of the oldest one.
    private fun mergeOldest(versions: ArrayDeque<TargetVersion>) {
        val oldest = versions.removeFirst()
        val next = versions.removeFirst()
        versions.addFirst(TargetVersion(next.version, oldest.since, oldest.discovery))
    }

    /** The newest target version of [model], or 0 when there is none. */
    fun newest(model: ModelId): Long = targets[model]?.lastOrNull()?.version ?: 0

    /** Age of the bound of [version] at [now]; null if the version is unknown or no longer kept. */
    fun ageMillis(model: ModelId, version: Long, now: ClockReading): Long? =
        targets[model]?.lastOrNull { it.version == version }?.let { now.ageMillis(it.since) }

    /**
     * Lowest version on which a request for [model] may start at [now]; 0 for any.
     * [loadedMax] is the highest version that an endpoint has loaded.
     */
    fun versionMin(model: ModelId?, now: ClockReading, loadedMax: Long): Long =
        versionMin(model, now, loadedMax, MARGIN_MILLIS)

    /** Like [versionMin], for an endpoint that requests may take seconds to reach. */
    fun versionMinForSlowPath(model: ModelId?, now: ClockReading, loadedMax: Long): Long =
        versionMin(model, now, loadedMax, SLOW_PATH_MARGIN_MILLIS)

    private fun versionMin(
        model: ModelId?,
        now: ClockReading,
        loadedMax: Long,
        marginMillis: Long
    ): Long {
        if (boundMillis <= 0 || model == null) return 0
        return targets[model]
            ?.lastOrNull { isRequired(it, now, loadedMax, marginMillis) }
            ?.version ?: 0
    }

    /**
     * Highest version of [model] whose bound ends shortly after [now]; 0 when there is none. A
     * request that has not started by then must not start on an older version.
     */
    fun versionDue(model: ModelId?, now: ClockReading): Long {
        if (boundMillis <= 0 || model == null) return 0
        return targets[model]
            ?.lastOrNull { now.ageMillis(it.since) >= boundMillis - WITHDRAWAL_MILLIS }
            ?.version ?: 0
    }

    private fun isRequired(
        target: TargetVersion,
        now: ClockReading,
        loadedMax: Long,
        marginMillis: Long
    ): Boolean {
        val ageMillis = now.ageMillis(target.since)
        return ageMillis >= boundMillis - marginMillis ||
            when (target.discovery) {
                VersionDiscovery.NEW -> false
                VersionDiscovery.FOUND_AFTER_OUTAGE ->
                    loadedMax >= target.version && ageMillis >= REPORT_WAIT_MILLIS
                VersionDiscovery.FOUND_AT_START -> true
            }
    }

    private class TargetVersion(
        val version: Long,
        val since: ClockReading,
        val discovery: VersionDiscovery
    )

    private companion object {
        // Covers the propagation of the version and the queueing time of a request at an endpoint.
        const val MARGIN_MILLIS = 1200L

        // Callers leave after two to three seconds, so a link holds no older requests.
        const val SLOW_PATH_MARGIN_MILLIS = 4500L

        // Time for a withdrawal to reach the endpoint before the bound ends, after a pause of this
        // process that is too short to be detected.
        const val WITHDRAWAL_MILLIS = 600L

        // Time allowed for endpoints to report their versions after a store outage.
        const val REPORT_WAIT_MILLIS = 500L
        const val TARGET_VERSIONS_MAX = 8
    }
}
