/*
 * Time sources of the daemon. Deadlines and leases use the monotonic clock only; the wall clock
 * stamps events.
 */
package org.toucanspur.daemon

import java.time.Clock

private const val NANOS_PER_MILLI = 1_000_000L

/** Milliseconds that never jump, since an arbitrary start. */
fun monotonicMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

/** Milliseconds since the epoch; may jump. */
fun wallMillis(): Long = Clock.systemUTC().millis()
