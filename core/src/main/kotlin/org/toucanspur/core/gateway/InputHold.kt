/*
 * Whether an entry that could not run for a while asks the store before it reads what callers have
 * sent meanwhile. Without that, it would refuse all requests with an API key that have arrived, as
 * it no longer knows whether the keys are valid; the store usually responds within milliseconds.
 */
package org.toucanspur.core.gateway

// A pause that ended earlier has nothing to do with what arrives now.
private const val PAUSE_ENDED_MAX_MILLIS = 100L

// Beyond that, the store is slow or unavailable, and callers are refused.
private const val HOLD_MAX_MILLIS = 300L

/**
 * Time for which an entry at [now] reads nothing from callers, unless the configuration is
 * confirmed earlier; 0 if it reads at once. [latest] is its latest pause; [areKeysChecked] if its
 * configuration has API keys.
 */
fun inputHoldMillis(latest: Pause?, now: ClockReading, areKeysChecked: Boolean): Long {
    if (latest == null || !areKeysChecked) return 0
    return if (now.ageMillis(latest.endedAt) <= PAUSE_ENDED_MAX_MILLIS) HOLD_MAX_MILLIS else 0
}
