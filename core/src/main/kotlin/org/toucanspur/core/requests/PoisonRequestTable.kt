/*
 * Counts, per request fingerprint, the endpoint crashes during which the request was running. After
 * one crash the request runs exclusively, after two it is refused. A request that completes is
 * cleared, so that requests which were merely executed at the same time are not refused.
 */
package org.toucanspur.core.requests

/** Treatment of the requests with a fingerprint. */
enum class PoisonStatus { NONE, RUNS_EXCLUSIVELY, REFUSED }

/** Number of crashes after which a fingerprint is refused. */
const val POISON_CRASHES_MAX = 2

/** Crash counts by fingerprint; evicts the earliest added ones beyond [capacity]. Thread-safe. */
class PoisonRequestTable(private val capacity: Int = 10_000) {
    private val crashCounts = LinkedHashMap<String, Int>()

    /** Current treatment of the requests with [fingerprint]. */
    @Synchronized
    fun poisonStatusOf(fingerprint: String): PoisonStatus {
        val count = crashCounts[fingerprint] ?: 0
        return when {
            count >= POISON_CRASHES_MAX -> PoisonStatus.REFUSED
            count > 0 -> PoisonStatus.RUNS_EXCLUSIVELY
            else -> PoisonStatus.NONE
        }
    }

    /** Sets the crash count of [fingerprint] as recorded in the object API; 0 clears it. */
    @Synchronized
    fun setCrashCount(fingerprint: String, count: Int) {
        if (count <= 0) {
            crashCounts.remove(fingerprint)
            return
        }
        crashCounts[fingerprint] = count
        while (crashCounts.size > capacity) crashCounts.remove(crashCounts.keys.first())
    }
}
