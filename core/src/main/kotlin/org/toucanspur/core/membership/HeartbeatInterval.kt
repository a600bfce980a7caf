/*
 * Interval of heartbeats and status reports. It grows with the number of connections, so that the
 * control traffic of a process stays within its bandwidth budget.
 */
package org.toucanspur.core.membership

private const val HEARTBEAT_BYTES = 160L
private const val BUDGET_BYTES_PER_SECOND = 5000L
private const val INTERVAL_MIN_MILLIS = 500L
private const val MILLIS_PER_SECOND = 1000L

/** Interval between two heartbeats on each of [connections] connections. */
fun heartbeatIntervalMillis(connections: Int): Long {
    val budgetMillis = connections * HEARTBEAT_BYTES * MILLIS_PER_SECOND / BUDGET_BYTES_PER_SECOND
    return maxOf(INTERVAL_MIN_MILLIS, budgetMillis)
}
