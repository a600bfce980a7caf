/*
 * Charges the requests that were running when an endpoint crashed. A charged request is a suspect
 * and runs alone; one that was charged twice is refused. Finishing clears a suspect, so innocent
 * neighbours of a crash are not refused.
 */
package org.toucanspur.core.requests

/** How a request with a fingerprint is treated. */
enum class PoisonStatus { NONE, RUNS_EXCLUSIVELY, REFUSED }

/** Number of crashes after which a fingerprint is refused. */
const val POISON_CHARGES_MAX = 2

/** Charges by fingerprint, the newest [capacity] kept. Safe for use by several threads. */
class PoisonRequestTable(private val capacity: Int = 10_000) {
    private val charges = LinkedHashMap<String, Int>()

    /** How a request with [fingerprint] is treated now. */
    @Synchronized
    fun poisonStatusOf(fingerprint: String): PoisonStatus {
        val count = charges[fingerprint] ?: 0
        return when {
            count >= POISON_CHARGES_MAX -> PoisonStatus.REFUSED
            count > 0 -> PoisonStatus.RUNS_EXCLUSIVELY
            else -> PoisonStatus.NONE
        }
    }

    /** Sets the charges of [fingerprint] as recorded in the object API. */
    @Synchronized
    fun learn(fingerprint: String, count: Int) {
        if (count <= 0) {
            charges.remove(fingerprint)
            return
        }
        charges[fingerprint] = count
        while (charges.size > capacity) charges.remove(charges.keys.first())
    }
}
