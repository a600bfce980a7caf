/*
 * How often an agent reports the load of its endpoint. Load pattern: every report goes to every
 * entry. With more entries each sends less to the endpoint meanwhile, so that they get reports less
 * often and an agent sends about the same number whatever their number.
 */
package org.toucanspur.core.gateway

private const val MILLIS_PER_SECOND = 1000L

// An engine begins one request in 80 ms at its highest rate.
private const val PERIOD_MIN_MILLIS = 100L

// Datagrams a second of one agent, as many as four entries get at the shortest period.
private const val DATAGRAMS_MAX = 40

/** Time between two reports to [entries] entries while the load changes. */
fun reportPeriodMillis(entries: Int): Long =
    maxOf(PERIOD_MIN_MILLIS, entries * MILLIS_PER_SECOND / DATAGRAMS_MAX)
