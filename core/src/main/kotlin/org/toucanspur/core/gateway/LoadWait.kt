/*
 * Requests to a service whose engines all load weights. The load: two versions that follow each
 * other within seconds, so that all engines load at the same time and take no requests for longer
 * than a request otherwise waits. A load takes about a second.
 */
package org.toucanspur.core.gateway

// A load takes about a second with the running requests that it waits for. Engines that are to load
// but lack the weights may take much longer, so requests do not wait for these.
private const val LOAD_WAIT_MAX_MILLIS = 2000L

/** Whether an endpoint that could serve the request of [query] takes it once its load has ended. */
fun Fleet.isAwaitingLoad(query: PlacementQuery, nowMillis: Long): Boolean =
    query.service.engine != null &&
        of(query.service.id).any { endpoint ->
            val record = endpoint.record
            endpoint.isAccepting &&
                !endpoint.isSuperseded &&
                record.zone !in query.excludedZones &&
                record.id !in query.tried &&
                (query.regions == null || record.region in query.regions) &&
                !endpoint.isExcluded(nowMillis) &&
                isLoading(endpoint, nowMillis)
        }

// The agent also reports an engine that does not respond as one that takes no requests.
private fun isLoading(endpoint: FleetEndpoint, nowMillis: Long): Boolean {
    val report = endpoint.freshReport(nowMillis) ?: return false
    return report.isResponding && report.isLoading
}

/**
 * Time for which a request with [remainingMillis] left may wait for a weight load to end, so that
 * [engine] can still complete the response.
 */
fun loadWaitMillis(remainingMillis: Long, engine: EngineTiming): Long =
    (remainingMillis - typicalResponseMillis(engine).toLong()).coerceIn(0L, LOAD_WAIT_MAX_MILLIS)
