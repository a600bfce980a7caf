/*
 * Interval between the load reports of an agent. Every report goes to every entry. With more
 * entries each one sends fewer requests to the endpoint, so the interval grows with the number of
 * entries, which keeps an agent's datagram rate about constant.
 */
package org.toucanspur.core.gateway

private const val MILLIS_PER_SECOND = 1000L

// At its highest rate an engine starts one request every 80 ms.
private const val PERIOD_MIN_MILLIS = 100L

// Rate limit of one agent, which four entries reach at the minimum interval.
private const val DATAGRAMS_PER_SECOND_MAX = 40

/** Interval between two reports to [entryCount] entries while the load changes. */
fun reportPeriodMillis(entryCount: Int): Long =
    maxOf(PERIOD_MIN_MILLIS, entryCount * MILLIS_PER_SECOND / DATAGRAMS_PER_SECOND_MAX)
