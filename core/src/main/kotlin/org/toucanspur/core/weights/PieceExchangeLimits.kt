/*
 * Limits of the piece exchange, which must distribute a weight version to all VMs within seconds.
 */
package org.toucanspur.core.weights

/** Limits of one agent; [storeFetchesMax] is its share of the connections to the origin. */
fun pieceExchangeLimits(storeFetchesMax: Int) = ExchangeLimits(
    neighbours = 12,
    // Incoming pieces delay requests to the endpoint of the same VM.
    fetchesMax = 2,
    fetchesPerPeerMax = 1,
    // Most of these imports wait for the importer of another region.
    importsMax = 6,
    storeFetchesMax = storeFetchesMax,
    // While the origin is up, a region receives a new piece about every 40 ms.
    importTimeoutMillis = 600,
    importRetryMillis = 250,
    fetchTimeoutMillis = 3000,
    importFetchTimeoutMillis = 3000,
    chokeMillis = 500,
    // Agents announce the pieces they hold ten times per second.
    silenceMillis = 600
)
