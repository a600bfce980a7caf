/*
 * Time sources of the daemon. Deadlines and leases use the monotonic clock only; the wall clock
 * provides the timestamps of events.
 */
package org.toucanspur.daemon

import java.time.Clock

private const val NANOS_PER_MILLI = 1_000_000L

/** Monotonic time in milliseconds since an arbitrary origin. */
fun monotonicMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

/** Wall-clock time in milliseconds since the epoch; clock adjustments can move it back. */
fun wallMillis(): Long = Clock.systemUTC().millis()
