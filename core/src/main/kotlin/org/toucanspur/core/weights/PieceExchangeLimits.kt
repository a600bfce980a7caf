/*
 * Limits of the exchange of weight versions in pieces, which have to be everywhere within seconds.
 */
package org.toucanspur.core.weights

/** Limits of one agent; [storeFetchesMax] is its share of the origin's connections. */
fun pieceExchangeLimits(storeFetchesMax: Int) = ExchangeLimits(
    neighbours = 12,
    // Pieces on their way to a VM queue before the requests to its endpoint.
    fetchesMax = 2,
    fetchesPerPeerMax = 1,
    // Most of these wait for another region's importer.
    importsMax = 6,
    storeFetchesMax = storeFetchesMax,
    // A region learns of a piece every 40 ms while the origin serves.
    importTimeoutMillis = 600,
    importRetryMillis = 250,
    fetchTimeoutMillis = 3000,
    importFetchTimeoutMillis = 3000,
    chokeMillis = 500,
    // Agents tell what they hold ten times a second.
    silenceMillis = 600
)
